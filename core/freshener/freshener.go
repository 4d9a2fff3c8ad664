// Package freshener decides whether an instance's knowledge of withdrawn workspace
// keys is recent enough to admit requests.
//
// A few instances in each data centre poll the table. The ages of their latest reads
// spread to all others in the datagrams between instances. An instance's knowledge is
// fresh in two cases:
//
//   - It has learned of a successful read within the limit.
//   - It has learned of read attempts within the limit from a majority of all data
//     centres, even if these failed. Then the table is down, or no instance that is
//     in contact with a majority can reach it. A change is committed only by an
//     instance that has itself learned of recent attempts from a majority. Any two
//     majorities share a data centre, through which the instance would have learned
//     of the change.
//
// An outage of the table therefore stops no requests, and an instance that is
// partitioned from the majority refuses requests once the limit has passed.
//
// Where changes are not committed by an instance, a table that refuses all instances
// may still accept a change. With the option Strict only the first case counts, and an
// outage stops requests once the limit has passed.
//
// # Usage
//
//	fr := freshener.New(centres, limit)
//	fr.RecordAttempt(centre, sentAt, isSuccess)
//	fr.Merge(freshener.Report{HasRead: true, ReadAge: age, Attempts: attempts}, renewalSentAt)
//	until := fr.FreshUntil()
package freshener

import (
	"slices"

	"cornellanding.example/core/timer"
)

// ageUnit is the resolution of the ages of attempts in a report.
const ageUnit = 100 * timer.Millisecond

// unknownAge in a report stands for no attempt, or one too old to be encoded.
const unknownAge = 255

// Report carries an instance's knowledge of reads of the table to another instance.
type Report struct {
	// HasRead reports whether a successful read is known. ReadAge has no meaning
	// otherwise.
	HasRead bool
	// ReadAge is the time since the latest successful read was sent.
	ReadAge timer.Span
	// Attempts holds one byte for each data centre, in the catalogue's order: the
	// age of its latest read attempt in units of 100 ms, rounded up. 255 stands for
	// none or an older one.
	Attempts []byte
}

// Freshener tracks the latest reads of the table that an instance knows of.
type Freshener struct {
	limit      timer.Span
	isStrict   bool
	centres    []string
	hasRead    bool
	readAt     timer.Instant
	attempts   []timer.Instant
	hasAttempt []bool
}

// Option sets one option of New.
type Option func(*Freshener)

// Strict makes only successful reads count as fresh knowledge.
func Strict(isStrict bool) Option { return func(fr *Freshener) { fr.isStrict = isStrict } }

// New returns a freshener without any reads. Centres are the names of all data
// centres, and limit is the maximum age of fresh knowledge.
func New(centres []string, limit timer.Span, opts ...Option) *Freshener {
	fr := &Freshener{limit: limit}
	for _, opt := range opts {
		opt(fr)
	}
	fr.SetDataCentres(centres)
	return fr
}

// SetDataCentres sets the list of data centres. If it differs from the former list,
// all attempts are dropped, since reports identify data centres by position.
func (fr *Freshener) SetDataCentres(centres []string) {
	if fr.attempts != nil && slices.Equal(centres, fr.centres) {
		return
	}
	fr.centres = slices.Clone(centres)
	fr.attempts, fr.hasAttempt = make([]timer.Instant, len(centres)), make([]bool, len(centres))
}

// RecordAttempt records that a poller in the data centre sent a read of the table at
// sentAt, and whether it succeeded.
func (fr *Freshener) RecordAttempt(centre string, sentAt timer.Instant, isSuccess bool) {
	fr.updateAttempt(slices.Index(fr.centres, centre), sentAt)
	if isSuccess {
		fr.updateRead(sentAt)
	}
}

func (fr *Freshener) updateAttempt(centre int, at timer.Instant) {
	if centre < 0 || centre >= len(fr.attempts) || fr.hasAttempt[centre] && fr.attempts[centre] >= at {
		return
	}
	fr.attempts[centre], fr.hasAttempt[centre] = at, true
}

func (fr *Freshener) updateRead(at timer.Instant) {
	if !fr.hasRead || fr.readAt < at {
		fr.readAt, fr.hasRead = at, true
	}
}

// Report returns the report to send to other instances at now.
func (fr *Freshener) Report(now timer.Instant) Report {
	re := Report{HasRead: fr.hasRead, ReadAge: now.Sub(fr.readAt), Attempts: make([]byte, len(fr.attempts))}
	for i, at := range fr.attempts {
		age := (now.Sub(at) + ageUnit - 1) / ageUnit
		if !fr.hasAttempt[i] || age >= unknownAge {
			age = unknownAge
		}
		re.Attempts[i] = byte(age)
	}
	return re
}

// Merge records the reads in a report that was sent after sentAfter. Ages count from
// that instant, so that a delayed report cannot make reads look more recent than they
// are. The caller must drop the report of an instance that has other versions of the
// configuration or the maps, since its reads do not show that those held here are
// current.
func (fr *Freshener) Merge(re Report, sentAfter timer.Instant) {
	if re.HasRead {
		fr.updateRead(sentAfter.Add(-re.ReadAge))
	}
	if len(re.Attempts) != len(fr.attempts) {
		return
	}
	for i, age := range re.Attempts {
		if age != unknownAge {
			fr.updateAttempt(i, sentAfter.Add(-timer.Span(age)*ageUnit))
		}
	}
}

// FreshUntil returns the instant at which the knowledge stops being fresh, or 0 if no
// reads are known.
func (fr *Freshener) FreshUntil() timer.Instant {
	until := timer.Instant(0)
	if fr.hasRead {
		until = fr.readAt.Add(fr.limit)
	}
	if at, ok := fr.majorityAttemptAt(); ok && !fr.isStrict {
		until = max(until, at.Add(fr.limit))
	}
	return until
}

// majorityAttemptAt returns the latest instant since which a majority of the data
// centres has attempted a read, or false without a majority.
func (fr *Freshener) majorityAttemptAt() (timer.Instant, bool) {
	var known []timer.Instant
	for i, at := range fr.attempts {
		if fr.hasAttempt[i] {
			known = append(known, at)
		}
	}
	need := len(fr.attempts)/2 + 1
	if len(known) < need {
		return 0, false
	}
	slices.Sort(known)
	return known[len(known)-need], true
}

// HasContact reports whether read attempts by a majority of the data centres, made
// within the limit before now, are known. Only then may the instance commit a change.
func (fr *Freshener) HasContact(now timer.Instant) bool {
	return fr.hasAttempts(now, fr.limit)
}

// hasAttempts reports whether read attempts by a majority of the data centres, made within
// the span before now, are known.
func (fr *Freshener) hasAttempts(now timer.Instant, span timer.Span) bool {
	at, ok := fr.majorityAttemptAt()
	return ok && now.Sub(at) < span
}

// IsUninformed reports whether neither a successful read nor read attempts by a majority of
// the data centres are known that were made within the span before now. No instance that
// reads the table has then told of it, whether the table answers or not.
func (fr *Freshener) IsUninformed(now timer.Instant, span timer.Span) bool {
	age, hasRead := fr.ReadAge(now)
	return (!hasRead || age >= span) && !fr.hasAttempts(now, span)
}

// ReadAt returns when the latest known successful read was sent, 0 if none is known.
func (fr *Freshener) ReadAt() timer.Instant { return fr.readAt }

// ReadAge returns the time from the latest successful read to now, or false if none is
// known.
func (fr *Freshener) ReadAge(now timer.Instant) (timer.Span, bool) {
	return now.Sub(fr.readAt), fr.hasRead
}
