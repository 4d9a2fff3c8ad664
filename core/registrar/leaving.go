package registrar

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cornellanding.example/core/timer"
)

const (
	// MaxNotices bounds the remembered notices. A server and its successors rarely
	// leave more than one that still matters.
	MaxNotices = 4
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

// Run returns the run of the server that sent the heartbeat.
func (hb Heartbeat) Run() ServerRun { return ServerRun{ID: hb.ID, StartedAt: hb.StartedAt} }

// leaveNotice records that a run of the server announced its end.
type leaveNotice struct {
	ServerRun
	// expiresAt is used only while StartedAt is not known.
	expiresAt timer.Instant
	// laterRunsUntil is until when a later run with the ID that is first heard counts as the
	// one that gave the notice, 0 if none does.
	laterRunsUntil timer.Instant
	// givenAt is when the notice was given, as StartedAt of a run, and 0 if that is not known.
	// A later run that had started by then may be the one that gave it, however late it is
	// heard.
	givenAt int64
}

// isOpen reports whether the run that gave the notice is not known yet at now.
func (no leaveNotice) isOpen(now timer.Instant) bool {
	return no.StartedAt == 0 && now.Before(no.expiresAt)
}

// MarkLeaving records that the run of the server with this ID announced its end outside a
// heartbeat. It reports whether that is the run of the latest heartbeat. The notice also
// holds for heartbeats of that run that arrive later.
//
// The call names no start. If the run that was heard under the ID has ended or is silent,
// the notice may be that of a later run whose heartbeats are late: it stays open for the
// next heartbeat with the ID, and until then whatever serves under that ID is leaving. A
// server serves on for at least DrainServeSpan after its first notice, so that another run
// that is heard within that time was running when the notice was given. So was one that had
// started at givenAt, in milliseconds since 1970 by the clock of the VM, 0 if not known: the
// run that was heard may have crashed in silence.
func (re *Registrar) MarkLeaving(id string, givenAt int64, now timer.Instant) bool {
	latest := re.latest.Run()
	isHeard := re.isKnown && latest.ID == id && !re.isDown
	switch {
	case isHeard && re.hasNotice(latest):
		// A server that drains also says when it exits.
		re.addNotice(leaveNotice{ServerRun: latest})
	case isHeard && now.Sub(re.heartbeatAt) <= silentAfter:
		re.addNotice(leaveNotice{ServerRun: latest, laterRunsUntil: now.Add(DrainServeSpan), givenAt: givenAt})
	default:
		re.addNotice(leaveNotice{ServerRun: ServerRun{ID: id}, expiresAt: now.Add(unboundTerm)})
		return false
	}
	return true
}

// RestoreLeaving adds the runs that a former instance returned from Leaving. They count as
// older than those that this one knows.
func (re *Registrar) RestoreLeaving(runs []ServerRun, now timer.Instant) {
	latest := re.notices
	re.notices = nil
	for _, ru := range runs {
		re.addNotice(leaveNotice{ServerRun: ru, expiresAt: now.Add(unboundTerm)})
	}
	for _, no := range latest {
		re.addNotice(no)
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

// addNotice adds a notice, or extends the one of the same run.
func (re *Registrar) addNotice(no leaveNotice) {
	for i := range re.notices {
		if known := &re.notices[i]; known.ServerRun == no.ServerRun {
			known.expiresAt = max(known.expiresAt, no.expiresAt)
			known.laterRunsUntil = max(known.laterRunsUntil, no.laterRunsUntil)
			known.givenAt = max(known.givenAt, no.givenAt)
			return
		}
	}
	if len(re.notices) == MaxNotices {
		re.notices = slices.Delete(re.notices, 0, 1)
	}
	re.notices = append(re.notices, no)
}

// bindNotices makes a notice of unknown start, or one that may be of a later run, also that of the
// run that sent a heartbeat.
func (re *Registrar) bindNotices(hb Heartbeat, now timer.Instant) {
	isLeaving := false
	re.notices = slices.DeleteFunc(re.notices, func(no leaveNotice) bool {
		if no.ID != hb.ID {
			return false
		}
		isOfLaterRun := no.StartedAt < hb.StartedAt && (now.Before(no.laterRunsUntil) || hb.StartedAt <= no.givenAt)
		isLeaving = isLeaving || no.isOpen(now) || isOfLaterRun
		return no.isOpen(now)
	})
	if isLeaving {
		re.addNotice(leaveNotice{ServerRun: hb.Run()})
	}
}

// IsLeaving reports whether the run of the latest heartbeat has announced its end at now, or
// a run with its ID has that is not known yet.
func (re *Registrar) IsLeaving(now timer.Instant) bool {
	if !re.isKnown {
		return false
	}
	return slices.ContainsFunc(re.notices, func(no leaveNotice) bool {
		return no.ID == re.latest.ID && (no.isOpen(now) || no.StartedAt == re.latest.StartedAt)
	})
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

// HasID reports whether any of the runs has the ID.
func HasID(runs []ServerRun, id string) bool {
	return slices.ContainsFunc(runs, func(ru ServerRun) bool { return ru.ID == id })
}

// FormatRuns returns runs as one line of text: "id@startedAt" each, separated by spaces.
func FormatRuns(runs []ServerRun) string {
	var texts []string
	for _, ru := range runs {
		texts = append(texts, url.QueryEscape(ru.ID)+"@"+strconv.FormatInt(ru.StartedAt, 10))
	}
	return strings.Join(texts, " ")
}

// ParseRuns returns the runs in a text of FormatRuns. It leaves out what is malformed.
func ParseRuns(text string) []ServerRun {
	var runs []ServerRun
	for _, field := range strings.Fields(text) {
		escaped, start, _ := strings.Cut(field, "@")
		id, idErr := url.QueryUnescape(escaped)
		startedAt, startErr := strconv.ParseInt(start, 10, 64)
		if idErr == nil && startErr == nil {
			runs = append(runs, ServerRun{ID: id, StartedAt: startedAt})
		}
	}
	return runs
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
	return merged[max(0, len(merged)-MaxNotices):]
}
