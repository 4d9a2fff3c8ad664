package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
)

const (
	// noticeGap separates two calls of the function of WithNewerConfig.
	noticeGap = 100 * timer.Millisecond
	// newerConfigPoll is how often a request that waits for a newer configuration looks for it.
	newerConfigPoll = 5 * time.Millisecond
)

// WithNewerConfig sets the function called when the answer of a peer shows that it has a newer
// configuration than this instance, at most once per noticeGap.
func WithNewerConfig(newerConfig func(from placer.Member, version uint64)) Option {
	return func(fo *Forwarder) { fo.newerConfig = newerConfig }
}

// WithDenialLimit sets for how long after the configuration was last known to be the newest a
// request may be denied for an unknown route or key. After that it is refused for a while,
// since the configuration may have been replaced. The default 0 sets no limit.
func WithDenialLimit(span timer.Span) Option {
	return func(fo *Forwarder) { fo.denialLimit = span }
}

// deny refuses a request that the configuration does not allow.
func (fo *Forwarder) deny(status int, code, reason string) *Refusal {
	if fo.denialLimit > 0 && fo.so.Now().Sub(fo.so.ReadAt()) >= fo.denialLimit {
		return &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeNotConfirmed, RetryAfter: timer.Second,
			Reason: reason + ", and the configuration was not read for too long to be sure",
		}
	}
	return &Refusal{Status: status, Code: code, Reason: reason}
}

// noticeConfig compares the configuration of a peer that answered with this instance's.
func (fo *Forwarder) noticeConfig(from placer.Member, answer *peerproto.ForwardResponse) {
	version := answer.GetConfigVersion()
	if version <= fo.so.View().Config.Version {
		return
	}
	now := fo.so.Now()
	last := fo.noticedAt.Load()
	if now.Sub(timer.Instant(last)) >= noticeGap && fo.noticedAt.CompareAndSwap(last, int64(now)) {
		fo.newerConfig(from, version)
	}
}

// renew makes the configuration in force the one by which a call is decided, if it decides the
// same. The call may have waited for a token or for another server since its decision.
func (fo *Forwarder) renew(ca *call) {
	vi := fo.so.View()
	if vi.Config.Version == ca.config {
		return
	}
	rt, ok := fo.routeIn(vi, ca)
	isPart := func(sp cataloguer.Split) bool { return sp.Service == ca.service }
	if ok && rt.Idempotent == ca.idempotent && (rt.Service == ca.service || slices.ContainsFunc(rt.Splits, isPart)) {
		ca.config = vi.Config.Version
	}
}

// routeIn returns the route of a call in a view.
func (fo *Forwarder) routeIn(vi *publisher.View, ca *call) (cataloguer.Route, bool) {
	if ca.route.Prefix != "" {
		path, _, _ := strings.Cut(ca.target, "?")
		return fo.index.find(vi, ca.host, path)
	}
	for _, rt := range vi.Config.Catalogue.Routes {
		if rt.Prefix == "" && rt.Method == ca.route.Method && rt.Path == ca.route.Path {
			return rt, true
		}
	}
	return cataloguer.Route{}, false
}

// mustDecideAgain reports whether a request was refused since it was decided by an outdated
// configuration, once this instance has a newer one. It returns false if the request can't wait
// for that.
func (fo *Forwarder) mustDecideAgain(ctx context.Context, ca *call, rf *Refusal) bool {
	if rf == nil || rf.Code != gatekeeper.CodeConfigOutdated || ca.mayHaveRun && !ca.idempotent {
		return false
	}
	for fo.so.View().Config.Version <= ca.config {
		if !fo.so.Now().Before(ca.giveUpAt) || !timer.Sleep(ctx, newerConfigPoll) {
			return false
		}
	}
	return true
}
