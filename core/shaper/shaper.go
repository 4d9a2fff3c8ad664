// Package shaper decides when large messages are sent on a VM's link, so that they never
// fill its queue: lease datagrams, small calls and configuration share the link and would
// wait behind them.
//
// A Shaper is one direction of one link. It is a state machine without a clock or
// goroutines, and callers must serialize access to it. Admission, in this package too,
// decides which requests may run although the link is busy.
//
// Load: downloads of 90 KB at 1.25 times the rate of the links, small calls beside.
//
// # Usage
//
//	sh, err := shaper.New(linkRate)
//	sh.Count(len(small), now) // a message below Bulk is sent at once
//	ticket := sh.Arrive(size, 0, now)
//	grants, nextAt := sh.Start(now) // again after each call, and at nextAt
//	sh.Written(ticket, now)         // after the bytes of a grant have been written
package shaper

import (
	"cmp"
	"fmt"
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
)

const (
	// Bulk is the size in bytes from which a message waits for its turn.
	Bulk = 16 << 10
	// pieceSize is the unit in which tokens are given to a bulk message, in bytes.
	pieceSize = 16 << 10
	// usableShare is the share of the link's rate that is given out. The rest is for
	// traffic that is not counted: datagrams, the store, headers below TCP.
	usableShare = 0.9
	// bodyShare is the share of the rate for bodies of requests, see NewInlet. Responses to
	// this VM's own requests use the same direction and are not counted.
	bodyShare = 0.8
	// maxTurns is how many bulk messages are sent at a time. With more, all of a burst
	// would finish late rather than some in time.
	maxTurns = 2
	// burstSpan is the content of a full bucket, as time at the usable rate, and
	// minBurst its lower bound in bytes. lateSpan is its content while messages wait:
	// timers of a VM with a sixth of a core are tens of milliseconds late, and a smaller
	// bucket loses that time.
	burstSpan = 30 * timer.Millisecond
	minBurst  = 4 * pieceSize
	lateSpan  = 80 * timer.Millisecond
	// maxDebtSpan bounds the debt that small messages leave to bulk ones, as time at the
	// usable rate. Otherwise small traffic just above the usable share would stop bulk
	// messages for as long as it lasts and longer.
	maxDebtSpan = 250 * timer.Millisecond
	// stallSpan is how long the write of a grant may take before its message gives up
	// its turn: its reader has stopped or is slow.
	stallSpan = 200 * timer.Millisecond
)

// Ticket identifies a bulk message at one Shaper.
type Ticket uint64

// Grant allows the message to write Bytes bytes now.
type Grant struct {
	Ticket Ticket
	Bytes  int64
}

// message is a bulk message that has not been written completely.
type message struct {
	ticket   Ticket
	priority cataloguer.Priority
	// left is how many bytes have not been granted.
	left int64
	// hasStarted means that it has had a grant.
	hasStarted bool
	// isWriting means that a grant of grantedAt has not been written yet.
	isWriting bool
	grantedAt timer.Instant
	// isSlow means that the write of a grant stalled. Such a message still takes tokens,
	// but holds no turn.
	isSlow bool
}

// RateError reports an invalid rate of a link, in bytes a second.
type RateError struct {
	Rate float64
}

// Error implements error.
func (er *RateError) Error() string { return fmt.Sprintf("shaper: bad rate %g bytes/s", er.Rate) }

// Shaper is one direction of one link.
type Shaper struct {
	// rate is the usable rate in bytes a second, and burst the size of the bucket.
	rate     float64
	burst    float64
	tokens   float64
	filledAt timer.Instant
	last     Ticket
	// messages are in order of their priorities, and of arrival within one. Those that have
	// started go first.
	messages []*message
	// backlog is the sum of what is left of all messages.
	backlog int64
}

// New returns a Shaper with a full bucket for a link with a rate in bytes a second. It
// returns a *RateError unless the rate is above 0.
func New(linkRate float64) (*Shaper, error) {
	if !(linkRate > 0) {
		return nil, &RateError{Rate: linkRate}
	}
	return newShaper(usableShare * linkRate), nil
}

// NewInlet returns a Shaper for the bodies of requests that arrive over a link with a rate in
// bytes a second: a grant lets the sender send so much. The error is that of New.
func NewInlet(linkRate float64) (*Shaper, error) {
	if !(linkRate > 0) {
		return nil, &RateError{Rate: linkRate}
	}
	return newShaper(bodyShare * linkRate), nil
}

func newShaper(rate float64) *Shaper {
	sh := &Shaper{rate: rate}
	sh.burst = max(minBurst, sh.bytesIn(burstSpan))
	sh.tokens = sh.burst
	return sh
}

func (sh *Shaper) bytesIn(sp timer.Span) float64 {
	return sh.rate * float64(sp) / float64(timer.Second)
}

func (sh *Shaper) spanOf(bytes float64) timer.Span {
	return timer.Span(bytes / sh.rate * float64(timer.Second))
}

func (sh *Shaper) fill(now timer.Instant) {
	if now.Before(sh.filledAt) {
		return
	}
	limit := sh.burst
	if len(sh.messages) > 0 {
		limit = max(limit, sh.bytesIn(lateSpan))
	}
	sh.tokens = min(limit, sh.tokens+sh.bytesIn(now.Sub(sh.filledAt)))
	sh.filledAt = now
}

// Count records bytes that were sent without waiting.
func (sh *Shaper) Count(bytes int64, now timer.Instant) {
	sh.fill(now)
	sh.tokens = max(sh.tokens-float64(bytes), min(sh.tokens, -sh.bytesIn(maxDebtSpan)))
}

// Arrive adds a bulk message of size bytes behind those that have started or are of the same
// or a higher priority.
func (sh *Shaper) Arrive(size int64, priority cataloguer.Priority, now timer.Instant) Ticket {
	sh.fill(now)
	sh.last++
	i := len(sh.messages)
	for i > 0 && !sh.messages[i-1].hasStarted && sh.messages[i-1].priority > priority {
		i--
	}
	sh.messages = slices.Insert(sh.messages, i, &message{ticket: sh.last, priority: priority, left: size})
	sh.backlog += size
	return sh.last
}

// Start returns the grants that are due, and when to call it again, or 0 if only another
// event can change anything.
func (sh *Shaper) Start(now timer.Instant) (grants []Grant, nextAt timer.Instant) {
	sh.fill(now)
	for _, me := range sh.active(now) {
		if me.isWriting {
			if !me.isSlow {
				nextAt = earliest(nextAt, me.grantedAt.Add(stallSpan))
			}
			continue
		}
		need := float64(min(pieceSize, me.left))
		if sh.tokens < need {
			// Rounded up, so that the tokens are there at that time.
			return grants, earliest(nextAt, now.Add(sh.spanOf(need-sh.tokens)+timer.Microsecond))
		}
		grants = append(grants, sh.grant(me, now))
	}
	return grants, nextAt
}

// active returns the messages that have a turn and the slow ones. The one whose latest
// grant is oldest is first, so that a very large message leaves others half of the link.
func (sh *Shaper) active(now timer.Instant) []*message {
	var active []*message
	turns := 0
	for _, me := range sh.messages {
		me.isSlow = me.isSlow || me.isWriting && now.Sub(me.grantedAt) >= stallSpan
		switch {
		case me.isSlow:
			active = append(active, me)
		case turns < maxTurns:
			active = append(active, me)
			turns++
		}
	}
	slices.SortStableFunc(active, func(me, other *message) int { return cmp.Compare(me.grantedAt, other.grantedAt) })
	return active
}

func earliest(at, other timer.Instant) timer.Instant {
	if at == 0 {
		return other
	}
	return min(at, other)
}

// grant gives a message as many whole pieces as there are tokens for.
func (sh *Shaper) grant(me *message, now timer.Instant) Grant {
	count := min(me.left, max(pieceSize, int64(sh.tokens)/pieceSize*pieceSize))
	me.left -= count
	sh.backlog -= count
	sh.tokens -= float64(count)
	me.hasStarted, me.isWriting, me.grantedAt = true, true, now
	return Grant{Ticket: me.ticket, Bytes: count}
}

// Written records that the latest grant of the message has been written. The message ends
// with its last byte.
func (sh *Shaper) Written(ticket Ticket, now timer.Instant) {
	sh.fill(now)
	i := sh.index(ticket)
	if i < 0 {
		return
	}
	me := sh.messages[i]
	me.isWriting = false
	if me.left == 0 {
		sh.messages = slices.Delete(sh.messages, i, i+1)
	}
}

// Leave removes a message that will not be written any further, if it has not ended.
func (sh *Shaper) Leave(ticket Ticket) {
	if i := sh.index(ticket); i >= 0 {
		sh.backlog -= sh.messages[i].left
		sh.messages = slices.Delete(sh.messages, i, i+1)
	}
}

func (sh *Shaper) index(ticket Ticket) int {
	return slices.IndexFunc(sh.messages, func(me *message) bool { return me.ticket == ticket })
}

// Backlog returns how many bytes of bulk messages wait.
func (sh *Shaper) Backlog() int64 { return sh.backlog }

// Fits reports whether a bulk message of size bytes that arrives now would be sent in time,
// or else returns the retry delay to advise.
func (sh *Shaper) Fits(size int64, wi Wish, now timer.Instant) (timer.Span, bool) {
	if sh.Finish(size, now) <= wi.latestFinish(sh.spanOf(float64(size)), now) {
		return 0, true
	}
	return retryAfter(sh.Finish(0, now), now), false
}

// Finish returns when a bulk message of the given size in bytes that arrives now would be
// completely sent.
func (sh *Shaper) Finish(bytes int64, now timer.Instant) timer.Instant {
	sh.fill(now)
	return now.Add(sh.spanOf(max(0, float64(sh.backlog+bytes)-sh.tokens)))
}
