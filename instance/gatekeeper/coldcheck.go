package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"time"

	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
)

const (
	// coldCheckTimeout bounds a health check, and maxHealthBody the body of its answer in
	// bytes.
	coldCheckTimeout = time.Second
	maxHealthBody    = 64 << 10
)

// ColdReader is implemented by a Codec whose protocol says in answers to health checks how
// much longer the server is cold.
type ColdReader interface {
	// ColdRemaining returns the time until the server is warm, 0 if it is. It returns
	// false if the answer is not by the start of the server with the ID, or doesn't say.
	ColdRemaining(answer *http.Response, serverID string) (timer.Span, bool)
}

// CheckCold checks until ctx ends whether the backend server has turned cold, while
// requests start on it at a rate that a cold one doesn't bear. Other servers are not
// checked. It returns at once without WithPacing or WithColdBound, or if the Codec is no
// ColdReader.
func (ga *Gatekeeper) CheckCold(ctx context.Context) {
	reader, ok := ga.bs.codec.(ColdReader)
	if !ok || ga.pa == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ga.coldChecks:
		}
		path, run, ok := ga.checkedServer()
		if !ok {
			continue
		}
		if left, ok := ga.bs.checkCold(ctx, reader, path, run.ID); ok {
			ga.noteCold(left, run)
		}
	}
}

// requestColdCheck lets CheckCold check the server if enough requests have started on it since
// the latest check: each takes the server's time. The lock must be held.
func (ga *Gatekeeper) requestColdCheck(now timer.Instant) {
	if ga.pa == nil || ga.limits.ColdRate <= 0 || ga.gate.IsCold(now) || !ga.pa.IsCheckDue(ga.coldCheckedAt, now) {
		return
	}
	select {
	case ga.coldChecks <- struct{}{}:
		ga.coldCheckedAt = now
	default:
		// The check before is not done yet.
	}
}

// checkedServer returns the health path and the run of the server, or false if one is not known.
func (ga *Gatekeeper) checkedServer() (path string, run registrar.ServerRun, ok bool) {
	sv := ga.pu.View().Services[ga.pu.Self().Service]
	bs := ga.pu.BackendServer()
	if sv.HealthPath == "" || bs == nil || bs.ID == "" {
		return "", registrar.ServerRun{}, false
	}
	return sv.HealthPath, serverRun(bs), true
}

// noteCold applies the answer to a health check. It never ends a cold period, which began
// with a heartbeat or an overload. Nor does a heartbeat end the one that it begins, since
// that may have been sent before.
func (ga *Gatekeeper) noteCold(left timer.Span, run registrar.ServerRun) {
	bs := ga.pu.BackendServer()
	if left <= 0 || bs == nil || serverRun(bs) != run {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.gate == nil || ga.gate.IsCold(ga.pu.Now()) {
		return
	}
	ga.reportedAt = ga.pu.Now()
	ga.checkedCold = checkedCold{run: run, until: ga.reportedAt.Add(left)}
	ga.gate.SetColdUntil(ga.checkedCold.until)
	ga.lo.Info("backend server has turned cold", "server", run.ID, "coldFor", left.Duration().String())
}

// checkedCold is until when a server is cold by its own answer to a health check.
type checkedCold struct {
	run   registrar.ServerRun
	until timer.Instant
}

// coldUntil returns until when the server is cold by its heartbeat and the latest check. The
// lock must be held.
func (ga *Gatekeeper) coldUntil(bs *publisher.BackendServer) timer.Instant {
	if ga.checkedCold.run != serverRun(bs) {
		return bs.ColdUntil
	}
	return max(bs.ColdUntil, ga.checkedCold.until)
}

// checkCold sends a health check and returns how much longer the server is cold.
func (bs *backend) checkCold(ctx context.Context, reader ColdReader, path, serverID string) (timer.Span, bool) {
	ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
	defer cancel()
	re := (&http.Request{Method: http.MethodGet, URL: targetURL(bs.address, path), Host: bs.address, Header: http.Header{"User-Agent": {""}}}).WithContext(ctx)
	answer, err := bs.kept.RoundTrip(re)
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	// The body says nothing, but without its end the answer is not whole.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, answer.Body, maxHealthBody)); err != nil {
		return 0, false
	}
	return reader.ColdRemaining(answer, serverID)
}
