package registrar

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// maxNotices bounds the remembered notices. A server and its successors rarely
	// leave more than one that still matters.
	maxNotices = 4
	// unboundTerm is how long a notice waits for a heartbeat that tells the start of its
	// server. Leaving servers and their late heartbeats are gone by then, and a later
	// start may use the ID again.
	unboundTerm = 30 * timer.Second
)

// ServerRun identifies one run of the server. StartedAt is as in Heartbeat, and 0 if it is
// not known.
type ServerRun struct {
	ID        string
	StartedAt int64
}

// leaveNotice records that a run of the server announced its end.
type leaveNotice struct {
	ServerRun
	// expiresAt is used only while StartedAt is not known.
	expiresAt timer.Instant
}

// MarkLeaving records that the run of the server with this ID announced its end outside a
// heartbeat. It reports whether that is the run of the latest heartbeat. The notice also
// holds for heartbeats of that run that arrive later.
func (re *Registrar) MarkLeaving(id string, now timer.Instant) bool {
	isLatest := re.isKnown && re.latest.ID == id
	run := ServerRun{ID: id}
	if isLatest {
		run.StartedAt = re.latest.StartedAt
	}
	re.addNotice(run, now)
	return isLatest
}

// RestoreLeaving adds the runs that a former instance returned from Leaving. They count as
// older than those that this one knows.
func (re *Registrar) RestoreLeaving(runs []ServerRun, now timer.Instant) {
	latest := re.notices
	re.notices = nil
	for _, ru := range runs {
		re.addNotice(ru, now)
	}
	for _, no := range latest {
		re.addNotice(no.ServerRun, now)
	}
	if re.isKnown {
		re.bindNotices(re.latest, now)
	}
}

// Leaving returns the runs of the server that have announced their end. Once that has been
// acknowledged, it must outlive this instance.
func (re *Registrar) Leaving() []ServerRun {
	var runs []ServerRun
	for _, no := range re.notices {
		runs = append(runs, no.ServerRun)
	}
	return runs
}

// HasLeaveNotice reports whether any run of the server has announced its end.
func (re *Registrar) HasLeaveNotice() bool { return len(re.notices) > 0 }

func (re *Registrar) addNotice(run ServerRun, now timer.Instant) {
	for i := range re.notices {
		no := &re.notices[i]
		if no.ID == run.ID && (run.StartedAt == 0 || no.StartedAt == run.StartedAt) {
			no.expiresAt = now.Add(unboundTerm)
			return
		}
	}
	if len(re.notices) == maxNotices {
		re.notices = slices.Delete(re.notices, 0, 1)
	}
	re.notices = append(re.notices, leaveNotice{ServerRun: run, expiresAt: now.Add(unboundTerm)})
}

// bindNotices makes a notice of unknown start that of the run that sent a heartbeat.
func (re *Registrar) bindNotices(hb Heartbeat, now timer.Instant) {
	for i := range re.notices {
		no := &re.notices[i]
		if no.ID == hb.ID && no.StartedAt == 0 && now.Before(no.expiresAt) {
			no.StartedAt = hb.StartedAt
		}
	}
}

// IsLeaving reports whether the run of the latest heartbeat has announced its end.
func (re *Registrar) IsLeaving() bool {
	return re.isKnown && re.hasNotice(ServerRun{ID: re.latest.ID, StartedAt: re.latest.StartedAt})
}

func (re *Registrar) hasNotice(run ServerRun) bool {
	return slices.ContainsFunc(re.notices, func(no leaveNotice) bool { return no.ServerRun == run })
}

// HasLeft reports whether the runs include the given one. A run of unknown start stands
// for each with its ID.
func HasLeft(runs []ServerRun, run ServerRun) bool {
	return slices.ContainsFunc(runs, func(ru ServerRun) bool {
		return ru.ID == run.ID && (ru.StartedAt == 0 || ru.StartedAt == run.StartedAt)
	})
}

// MergeRuns appends to former the runs of latest that it lacks, and keeps the last
// ones that a Registrar remembers.
func MergeRuns(former, latest []ServerRun) []ServerRun {
	merged := slices.Clone(former)
	for _, ru := range latest {
		if !slices.Contains(merged, ru) {
			merged = append(merged, ru)
		}
	}
	return merged[max(0, len(merged)-maxNotices):]
}
