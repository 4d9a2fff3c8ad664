package leaser

import "cornellanding.example/core/timer"

// Vote answers a request to revoke.
type Vote struct {
	Watcher uint64
	Holder  uint64
	// Revoked says that the watcher will never acknowledge the holder again.
	Revoked bool
	// RetryAt is when the promise expires, on the watcher's clock, if Revoked
	// is false.
	RetryAt timer.Instant
}

// WatcherOption sets one option of NewWatcher.
type WatcherOption func(*Watcher)

// WatcherIncarnation sets the incarnation of the watching instance.
func WatcherIncarnation(incarnation uint64) WatcherOption {
	return func(wa *Watcher) { wa.incarnation = incarnation }
}

// WatcherTerm sets how long a promise lasts after a renewal.
func WatcherTerm(term timer.Span) WatcherOption {
	return func(wa *Watcher) { wa.term = term }
}

// WatcherStart sets when the watching instance started. Whatever a former
// incarnation on the same VM promised was promised before.
func WatcherStart(at timer.Instant) WatcherOption {
	return func(wa *Watcher) { wa.startedAt = at }
}

// promise is what a watcher keeps of one holder.
type promise struct {
	expiresAt timer.Instant
	revoked   bool
	// isDismissed says that the holder needs no takeover by this watcher.
	isDismissed bool
}

// Watcher is the state of an instance that watches others. It lives in memory
// only: a restarted watcher is another incarnation, which no row names. It may
// vote for a former incarnation on its VM, see RevokeForFormer.
type Watcher struct {
	incarnation uint64
	term        timer.Span
	startedAt   timer.Instant
	promises    map[uint64]promise
}

// NewWatcher returns a watcher without promises.
func NewWatcher(opts ...WatcherOption) (*Watcher, error) {
	wa := &Watcher{term: DefaultTerm, promises: map[uint64]promise{}}
	for _, opt := range opts {
		opt(wa)
	}
	if wa.incarnation == 0 {
		return nil, &OptionError{Option: "WatcherIncarnation", Reason: "must not be 0"}
	}
	if wa.term <= 0 {
		return nil, &OptionError{Option: "WatcherTerm", Reason: "must be above 0"}
	}
	return wa, nil
}

// Renew answers a renewal received at now and extends the promise, unless the
// holder is revoked.
func (wa *Watcher) Renew(re Renewal, now timer.Instant) Ack {
	pr := wa.promises[re.Holder]
	ack := Ack{Watcher: wa.incarnation, Holder: re.Holder, SentAt: re.SentAt, Revoked: pr.revoked}
	if pr.revoked {
		return ack
	}
	pr.expiresAt = max(pr.expiresAt, now.Add(wa.term))
	pr.isDismissed = false
	wa.promises[re.Holder] = pr
	return ack
}

// Revoke votes on a takeover of the holder at now. Without a promise on record
// the watcher votes at once: it never acknowledged anything.
func (wa *Watcher) Revoke(holder uint64, now timer.Instant) Vote {
	pr := wa.promises[holder]
	vote := Vote{Watcher: wa.incarnation, Holder: holder}
	if !pr.revoked && now.Before(pr.expiresAt) {
		vote.RetryAt = pr.expiresAt
		return vote
	}
	pr.revoked = true
	wa.promises[holder] = pr
	vote.Revoked = true
	return vote
}

// RevokeForPredecessor votes at now in place of a former incarnation on the same VM,
// which has ended for good since this one runs. That one acknowledges nothing
// any more, and its last promise ended no later than a term after this one
// started. So the vote has no lasting effect to keep.
func (wa *Watcher) RevokeForPredecessor(holder uint64, now timer.Instant) Vote {
	vote := Vote{Watcher: wa.incarnation, Holder: holder, Revoked: true}
	if end := wa.startedAt.Add(wa.term); now.Before(end) {
		vote.Revoked = false
		vote.RetryAt = end
	}
	return vote
}

// Probe tells how Revoke would vote at now, without a lasting effect. A taker
// asks a majority first, so that a watcher that was cut off or paused does not
// spend its vote against healthy holders.
func (wa *Watcher) Probe(holder uint64, now timer.Instant) Vote {
	pr := wa.promises[holder]
	vote := Vote{Watcher: wa.incarnation, Holder: holder, Revoked: true}
	if !pr.revoked && now.Before(pr.expiresAt) {
		vote.Revoked = false
		vote.RetryAt = pr.expiresAt
	}
	return vote
}

// ExpiredHolders lists the holders whose promise has expired at now and that are not
// revoked yet: the candidates for a takeover.
func (wa *Watcher) ExpiredHolders(now timer.Instant) []uint64 {
	var expired []uint64
	for holder, pr := range wa.promises {
		switch {
		case pr.revoked || now.Before(pr.expiresAt):
		case pr.isDismissed:
			delete(wa.promises, holder)
		default:
			expired = append(expired, holder)
		}
	}
	return expired
}

// NextExpiry returns when the earliest promise that is not revoked expires, or
// false if there is none.
func (wa *Watcher) NextExpiry() (timer.Instant, bool) {
	next, found := timer.Instant(0), false
	for _, pr := range wa.promises {
		if !pr.revoked && (!found || pr.expiresAt < next) {
			next, found = pr.expiresAt, true
		}
	}
	return next, found
}

// Dismiss ends the watch of a holder whose committed row no longer names this
// watcher, until its next renewal. The promise itself stays until it expires: a
// dismissal that arrives late must not free a watcher that is named again.
func (wa *Watcher) Dismiss(holder uint64) {
	if pr, ok := wa.promises[holder]; ok && !pr.revoked {
		pr.isDismissed = true
		wa.promises[holder] = pr
	}
}

// Forget drops an expired promise at now. A revocation is kept for good: the
// holder may be paused and send its next renewal at any later time.
func (wa *Watcher) Forget(holder uint64, now timer.Instant) {
	pr, ok := wa.promises[holder]
	if ok && !pr.revoked && !now.Before(pr.expiresAt) {
		delete(wa.promises, holder)
	}
}
