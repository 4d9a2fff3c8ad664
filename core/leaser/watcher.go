package leaser

import "cornellanding.example/core/timer"

// Vote is a watcher's answer to a request to revoke a holder, or to a probe for
// what it would answer. Watcher and Holder are incarnations.
type Vote struct {
	Watcher uint64
	Holder  uint64
	// Revoked reports that the watcher will never acknowledge the holder again or,
	// in the answer to a probe, that it would revoke it now.
	Revoked bool
	// RetryAt is when the promise expires, on the watcher's clock. It is 0 if
	// Revoked is true.
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

// WatcherStart sets when the watching instance started. It bounds the promises of
// former incarnations on the same VM, which were all made earlier.
func WatcherStart(at timer.Instant) WatcherOption {
	return func(wa *Watcher) { wa.startedAt = at }
}

// promise is a watcher's commitment not to revoke one holder before expiresAt.
type promise struct {
	expiresAt timer.Instant
	revoked   bool
	// isDismissed reports that the holder's row no longer names this watcher, so
	// that the watcher starts no takeover when the promise expires.
	isDismissed bool
}

// Watcher is the state of an instance that grants leases to others: it
// acknowledges their renewals and votes on their takeover. The state is in memory
// only, since a restarted watcher is a new incarnation that no row names. It may
// vote for a former incarnation on its VM, see RevokeForPredecessor.
type Watcher struct {
	incarnation uint64
	term        timer.Span
	startedAt   timer.Instant
	promises    map[uint64]promise
}

// NewWatcher returns a watcher without promises. The error is an *OptionError.
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

// Renew answers a renewal received at now. It extends the promise by the term
// unless the holder is revoked.
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

// Revoke votes on a takeover of the holder at now. It revokes the holder for good
// if the promise has expired or there is none.
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

// RevokeForPredecessor votes at now in place of a former incarnation on the same
// VM. The former one has ended, since this one runs: it acknowledges no further
// renewals, and its last promise expired at the latest one term after this one
// started. The vote therefore needs no record.
func (wa *Watcher) RevokeForPredecessor(holder uint64, now timer.Instant) Vote {
	vote := Vote{Watcher: wa.incarnation, Holder: holder, Revoked: true}
	if end := wa.startedAt.Add(wa.term); now.Before(end) {
		vote.Revoked = false
		vote.RetryAt = end
	}
	return vote
}

// Probe returns the vote that Revoke would give at now, without revoking. An
// instance that starts a takeover probes a majority first. Otherwise a watcher
// that was partitioned or paused, and sees all its promises expired, would revoke
// healthy holders.
func (wa *Watcher) Probe(holder uint64, now timer.Instant) Vote {
	pr := wa.promises[holder]
	vote := Vote{Watcher: wa.incarnation, Holder: holder, Revoked: true}
	if !pr.revoked && now.Before(pr.expiresAt) {
		vote.Revoked = false
		vote.RetryAt = pr.expiresAt
	}
	return vote
}

// ExpiredHolders lists the candidates for a takeover, in no particular order: the
// holders whose promise has expired at now and that are not revoked. It drops
// expired promises that were dismissed.
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

// NextExpiry returns when the first promise that is not revoked expires, or false
// if there is none.
func (wa *Watcher) NextExpiry() (timer.Instant, bool) {
	next, found := timer.Instant(0), false
	for _, pr := range wa.promises {
		if !pr.revoked && (!found || pr.expiresAt < next) {
			next, found = pr.expiresAt, true
		}
	}
	return next, found
}

// Dismiss excludes a holder whose committed row no longer names this watcher from
// ExpiredHolders, until its next renewal. The promise still lasts until it
// expires: a delayed dismissal may arrive after the row names the watcher again.
func (wa *Watcher) Dismiss(holder uint64) {
	if pr, ok := wa.promises[holder]; ok && !pr.revoked {
		pr.isDismissed = true
		wa.promises[holder] = pr
	}
}

// Forget drops the holder's promise if it has expired at now. Revocations are kept
// for good, since a paused holder may send its next renewal at any later time.
func (wa *Watcher) Forget(holder uint64, now timer.Instant) {
	pr, ok := wa.promises[holder]
	if ok && !pr.revoked && !now.Before(pr.expiresAt) {
		delete(wa.promises, holder)
	}
}
