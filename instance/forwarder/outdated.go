package forwarder

import (
	"context"
	"time"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
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
