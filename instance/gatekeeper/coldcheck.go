package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"time"

	"cornellanding.example/core/pacer"
	"cornellanding.example/core/timer"
)

const (
	// coldCheckTimeout bounds a health check, and maxHealthBody how much of its answer is
	// read, so that the connection can be reused.
	coldCheckTimeout = time.Second
	maxHealthBody    = 4 << 10
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
// checked. It returns at once without WithPacing, or if the Codec is no ColdReader.
func (ga *Gatekeeper) CheckCold(ctx context.Context) {
	reader, ok := ga.bs.codec.(ColdReader)
	if !ok || ga.pa == nil {
		return
	}
	checkedAt := ga.pu.Now()
	for timer.Sleep(ctx, pacer.CheckInterval.Duration()) {
		if path, serverID, isDue := ga.coldCheckDue(checkedAt); isDue {
			checkedAt = ga.pu.Now()
			if left, ok := ga.bs.checkCold(ctx, reader, path, serverID); ok {
				ga.noteCold(left, serverID)
			}
		}
	}
}

// coldCheckDue returns the path and the server to check, or false if none is needed: each
// check takes the server's time, so that it is made only when enough requests have started
// since the last one.
func (ga *Gatekeeper) coldCheckDue(checkedAt timer.Instant) (path, serverID string, isDue bool) {
	sv := ga.pu.View().Services[ga.pu.Self().Service]
	bs := ga.pu.BackendServer()
	if sv.HealthPath == "" || bs == nil || bs.ID == "" {
		return "", "", false
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	isBounded := ga.gate != nil && ga.limits.ColdRate > 0
	isDue = isBounded && !ga.gate.IsCold(now) && ga.pa.IsCheckDue(checkedAt, now)
	return sv.HealthPath, bs.ID, isDue
}

// noteCold applies the answer to a health check. It never ends a cold period, which began
// with a heartbeat or an overload.
func (ga *Gatekeeper) noteCold(left timer.Span, serverID string) {
	bs := ga.pu.BackendServer()
	if left <= 0 || bs == nil || bs.ID != serverID {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.gate == nil || ga.gate.IsCold(ga.pu.Now()) {
		return
	}
	// A heartbeat from before may still say that the server is warm.
	ga.reportedAt = ga.pu.Now()
	ga.gate.SetColdUntil(ga.reportedAt.Add(left))
	ga.lo.Info("backend server has turned cold", "server", serverID, "coldFor", left.Duration().String())
}

// checkCold sends a health check and returns how much longer the server is cold.
func (bs *backend) checkCold(ctx context.Context, reader ColdReader, path, serverID string) (timer.Span, bool) {
	ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
	defer cancel()
	re := (&http.Request{Method: http.MethodGet, URL: targetURL(bs.address, path), Host: bs.address, Header: http.Header{"User-Agent": {""}}}).WithContext(ctx)
	answer, err := bs.transport.RoundTrip(re)
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	// What the body says doesn't matter, and an unread one only closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBody))
	return reader.ColdRemaining(answer, serverID)
}
