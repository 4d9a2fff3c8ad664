// Package freshener decides whether an instance's knowledge of withdrawn keys
// is recent enough.
//
// A few pollers in each data centre read the table. What they learn spreads
// with the datagrams between instances, as ages. Knowledge is fresh if a
// successful read that is recent enough has reached the instance. It also
// counts as fresh if recent attempts of a majority of all data centres have
// reached it, though they failed: then the table is down, or nobody in contact
// with a majority reaches it. Changes are committed only by an instance that
// itself has recent attempts of a majority. Two majorities share a data centre,
// through which a change would have arrived.
//
// So an outage of the table stops nothing, and an instance that is cut off, or
// on the smaller side of a split, refuses within the limit.
//
// # Usage
//
//	fr := freshener.New(centres, limit)
//	fr.Attempt(own, sentAt, isSuccess)
//	fr.Merge(freshener.Report{Age: age, Attempts: attempts}, renewalSentAt)
//	until := fr.Until()
package freshener

import (
	"slices"

	"cornellanding.example/core/timer"
)

// unit is the resolution of the ages of attempts in a report.
const unit = 100 * timer.Millisecond

// unknownAge stands for an attempt that is too old to tell.
const unknownAge = 255

// Report is what an instance tells another.
type Report struct {
	// HasRead says that Age is known.
	HasRead bool
	// ReadAge is how long ago the latest successful read was sent.
	ReadAge timer.Span
	// Attempts holds one byte for each data centre, in the catalogue's order:
	// the age of its latest attempt in units of 100 ms, rounded up, or 255.
	Attempts []byte
}

// Freshener is the state of an instance's knowledge of the table.
type Freshener struct {
	limit    timer.Span
	centres  []string
	hasRead  bool
	readAt   timer.Instant
	attempts []timer.Instant
	known    []bool
}

// New returns a freshener that knows nothing, for the data centres of those
// names.
func New(centres []string, limit timer.Span) *Freshener {
	fr := &Freshener{limit: limit}
	fr.SetDataCentres(centres)
	return fr
}

// SetDataCentres takes a changed list of data centres. What was known of attempts is
// dropped, since they go by position.
func (fr *Freshener) SetDataCentres(centres []string) {
	if fr.attempts != nil && slices.Equal(centres, fr.centres) {
		return
	}
	fr.centres = slices.Clone(centres)
	fr.attempts, fr.known = make([]timer.Instant, len(centres)), make([]bool, len(centres))
}

// RecordAttempt takes a read of the table that a poller in the data centre sent at
// the instant.
func (fr *Freshener) RecordAttempt(centre string, sentAt timer.Instant, isSuccess bool) {
	fr.noteAttempt(slices.Index(fr.centres, centre), sentAt)
	if isSuccess {
		fr.noteRead(sentAt)
	}
}

func (fr *Freshener) noteAttempt(centre int, at timer.Instant) {
	if centre < 0 || centre >= len(fr.attempts) || fr.known[centre] && fr.attempts[centre] >= at {
		return
	}
	fr.attempts[centre], fr.known[centre] = at, true
}

func (fr *Freshener) noteRead(at timer.Instant) {
	if !fr.hasRead || fr.readAt < at {
		fr.readAt, fr.hasRead = at, true
	}
}

// Report returns what to tell others at now.
func (fr *Freshener) Report(now timer.Instant) Report {
	re := Report{HasRead: fr.hasRead, ReadAge: now.Sub(fr.readAt), Attempts: make([]byte, len(fr.attempts))}
	for i, at := range fr.attempts {
		age := (now.Sub(at) + unit - 1) / unit
		if !fr.known[i] || age >= unknownAge {
			age = unknownAge
		}
		re.Attempts[i] = byte(age)
	}
	return re
}

// Merge takes a report that was sent after the instant. Counting from there, a
// delayed report can't make old knowledge look new. Both sides must hold the
// same documents.
func (fr *Freshener) Merge(re Report, sentAfter timer.Instant) {
	if re.HasRead {
		fr.noteRead(sentAfter.Add(-re.ReadAge))
	}
	if len(re.Attempts) != len(fr.attempts) {
		return
	}
	for i, age := range re.Attempts {
		if age != unknownAge {
			fr.noteAttempt(i, sentAfter.Add(-timer.Span(age)*unit))
		}
	}
}

// FreshUntil returns until when the knowledge counts as fresh, or 0.
func (fr *Freshener) FreshUntil() timer.Instant {
	until := timer.Instant(0)
	if fr.hasRead {
		until = fr.readAt.Add(fr.limit)
	}
	if at, ok := fr.contact(); ok {
		until = max(until, at.Add(fr.limit))
	}
	return until
}

// contact returns the instant since which attempts of a majority of data
// centres have arrived.
func (fr *Freshener) contact() (timer.Instant, bool) {
	var known []timer.Instant
	for i, at := range fr.attempts {
		if fr.known[i] {
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

// HasContact reports whether recent attempts of a majority of data centres have
// arrived, so that a change may be committed.
func (fr *Freshener) HasContact(now timer.Instant) bool {
	at, ok := fr.contact()
	return ok && now.Sub(at) < fr.limit
}

// ReadAge returns how old the latest successful read is, or false.
func (fr *Freshener) ReadAge(now timer.Instant) (timer.Span, bool) {
	return now.Sub(fr.readAt), fr.hasRead
}
