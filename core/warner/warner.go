// Package warner derives the warnings shown to operators from observed conditions.
//
// A condition raises a warning once it has held for a minimum time, and clears it once
// it has been false for a minimum time, so that a flapping condition raises few
// warnings. Warnings are evaluated again whenever they are read, so that only
// conditions that still hold are shown.
//
// # Usage
//
//	wa := warner.New(warner.RaiseAfter(3*timer.Second))
//	wa.Observe(warner.Condition{Kind: "lease", Subject: "ordering-1", Holds: true, Reason: "..."}, now)
//	active := wa.Active(now)
package warner

import (
	"slices"
	"strings"

	"cornellanding.example/core/timer"
)

const (
	defaultRaiseAfter = 3 * timer.Second
	defaultClearAfter = 2 * timer.Second
	// staleAfter is how long an observation is valid if the condition is not observed
	// again.
	staleAfter = 5 * timer.Second
)

// Condition is one observation of a condition.
type Condition struct {
	// Kind and Subject identify the condition. Subject names what it is about, such
	// as a backend server.
	Kind    string
	Subject string
	// Holds reports whether the condition was true when observed.
	Holds bool
	// Reason describes the condition to operators.
	Reason string
}

// Warning is a condition that has held long enough to be reported, since Since.
type Warning struct {
	Kind    string
	Subject string
	Reason  string
	Since   timer.Instant
}

type recordKey struct {
	kind string
	name string
}

// record is the state of one condition. While its warning is raised, heldSince is kept
// even if the condition is false for less than clearAfter.
type record struct {
	reason     string
	heldSince  timer.Instant
	clearSince timer.Instant
	seenAt     timer.Instant
	holds      bool
	isRaised   bool
}

// Option sets one option of New.
type Option func(*Warner)

// RaiseAfter sets how long a condition must hold before it raises a warning. The
// default is 3 s.
func RaiseAfter(span timer.Span) Option { return func(wa *Warner) { wa.raiseAfter = span } }

// ClearAfter sets how long a condition must be false before its warning is cleared. The
// default is 2 s.
func ClearAfter(span timer.Span) Option { return func(wa *Warner) { wa.clearAfter = span } }

// Warner holds the conditions and warnings of an instance.
type Warner struct {
	raiseAfter timer.Span
	clearAfter timer.Span
	records    map[recordKey]*record
}

// New returns a warner without warnings.
func New(opts ...Option) *Warner {
	wa := &Warner{raiseAfter: defaultRaiseAfter, clearAfter: defaultClearAfter, records: map[recordKey]*record{}}
	for _, opt := range opts {
		opt(wa)
	}
	return wa
}

// Observe records an observation made at now.
func (wa *Warner) Observe(co Condition, now timer.Instant) {
	key := recordKey{kind: co.Kind, name: co.Subject}
	re := wa.records[key]
	if re == nil {
		if !co.Holds {
			return
		}
		re = &record{heldSince: now, holds: true}
		wa.records[key] = re
	}
	re.observe(co, now)
	wa.updateRaised(re, now)
	if !re.holds && !re.isRaised {
		delete(wa.records, key)
	}
}

func (re *record) observe(co Condition, now timer.Instant) {
	re.seenAt = now
	if co.Holds && !re.holds && !re.isRaised {
		re.heldSince = now
	}
	if !co.Holds && re.holds {
		re.clearSince = now
	}
	re.holds = co.Holds
	if co.Holds {
		re.reason = co.Reason
	}
}

// updateRaised raises or clears the warning of one record if it is due at now.
func (wa *Warner) updateRaised(re *record, now timer.Instant) {
	switch {
	case re.holds && now.Sub(re.heldSince) >= wa.raiseAfter:
		re.isRaised = true
	case !re.holds && now.Sub(re.clearSince) >= wa.clearAfter:
		re.isRaised = false
	}
}

// Active returns the warnings whose condition holds at now, sorted by kind and subject.
// It omits raised warnings whose condition was false when last observed, or has not
// been observed recently.
func (wa *Warner) Active(now timer.Instant) []Warning {
	var active []Warning
	for key, re := range wa.records {
		wa.updateRaised(re, now)
		if !re.isRaised || !re.holds || now.Sub(re.seenAt) > staleAfter {
			continue
		}
		active = append(active, Warning{Kind: key.kind, Subject: key.name, Reason: re.reason, Since: re.heldSince})
	}
	slices.SortFunc(active, func(le, ri Warning) int {
		return strings.Compare(le.Kind+"\x00"+le.Subject, ri.Kind+"\x00"+ri.Subject)
	})
	return active
}
