package admitter

import (
	"maps"
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// crashesAllowed is the number of crashes after which a request is refused.
	crashesAllowed = 2
	// quarantineCapacity bounds the requests whose crashes are remembered.
	quarantineCapacity = 4096
	// maxRuns bounds the crashed runs of servers that are remembered of a request.
	maxRuns = 16
	// clearedTerm is how long a request that was cleared is remembered as such, so that an
	// older report can't bring it back.
	clearedTerm = 600 * timer.Second
	// trialTimeout is how long a trial may take to reach the server.
	trialTimeout = 2 * timer.Second
)

// QuarantineTerm is how long a request is remembered after its last crash or, once it is not
// tried any more, its last refusal.
const QuarantineTerm = 24 * 3600 * timer.Second

// trialDelays are the delays after which one copy of a request that was refused is run again,
// from crashesAllowed crashes on. A request that is refused by mistake succeeds then. One that
// crashes servers does so twice more after its third crash.
var trialDelays = []timer.Span{3 * timer.Second, 30 * timer.Second, 120 * timer.Second}

// Suspect is a request that was running when backend servers crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
}

// suspect is what is remembered of a Suspect.
type suspect struct {
	// runs are the crashed runs of servers in which it was running, and the first cleared
	// of them came before a success.
	runs    []uint32
	cleared int
	// stored counts crashes that another instance has recorded, in runs not known here.
	stored int
	// isCleared is set by a success until the next crash.
	isCleared bool
	// isLocal is set if the backend server of this instance was among those.
	isLocal   bool
	trialAt   timer.Instant
	expiresAt timer.Instant
}

func (su suspect) crashes() int { return len(su.runs) - su.cleared + su.stored }

// Quarantine refuses requests that crash backend servers. The crash of one run of a server
// counts once against every request that was running at the time, however many copies, on
// this instance or, as reported by peers, on others. A request that was running in two
// crashes and has not succeeded anywhere since is refused, before it can crash a third server,
// but for a few trials. A success clears a request.
type Quarantine struct {
	running  map[uint64]int
	suspects map[uint64]suspect
	// run is the latest run of the server that broke connections, first at brokenAt, and broken
	// the requests for which that has been counted.
	run      uint32
	brokenAt timer.Instant
	broken   map[uint64]bool
	// jitter spreads the trials of several instances, as a share of the delay from 0 to 1.
	jitter float64
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{running: map[uint64]int{}, suspects: map[uint64]suspect{}, broken: map[uint64]bool{}}
}

// SetJitter sets by which share of its delay, from 0 to 1, a trial is later here than at an
// instance without.
func (qu *Quarantine) SetJitter(share float64) { qu.jitter = share }

// Clone returns a copy without the running requests, for a successor of this Quarantine.
func (qu *Quarantine) Clone() *Quarantine {
	return &Quarantine{
		running: map[uint64]int{}, suspects: maps.Clone(qu.suspects), run: qu.run, brokenAt: qu.brokenAt,
		broken: maps.Clone(qu.broken), jitter: qu.jitter,
	}
}

// Start records that a request with the fingerprint is running.
func (qu *Quarantine) Start(fingerprint uint64) { qu.running[fingerprint]++ }

// Succeed records that the request was answered, and clears its crashes. It reports whether
// there were any, so that other instances must be told.
func (qu *Quarantine) Succeed(fingerprint uint64, now timer.Instant) bool {
	qu.end(fingerprint)
	su, ok := qu.suspects[fingerprint]
	if !ok || su.crashes() == 0 {
		return false
	}
	qu.Clear(fingerprint, now)
	return true
}

// Clear records that the request was answered, here or by the server of a peer.
func (qu *Quarantine) Clear(fingerprint uint64, now timer.Instant) {
	su := qu.suspects[fingerprint]
	su.cleared, su.stored, su.isCleared, su.isLocal = len(su.runs), 0, true, false
	su.expiresAt = now.Add(clearedTerm)
	qu.remember(fingerprint, su)
}

// Crash records that the connection of the request, which was sent at sentAt, broke in a run of
// the backend server, 0 if the server does not announce its runs. Requests that were sent
// before the first break of a run are then of that run. It reports whether the break is the
// first of the run for the request. Other instances must then be told of a crash in the run
// that it returns, which is a number of its own if the server announces none.
func (qu *Quarantine) Crash(fingerprint uint64, run uint32, sentAt, now timer.Instant) (recorded uint32, isFirst bool) {
	qu.end(fingerprint)
	isSameRun := run == qu.run && (run != 0 || sentAt < qu.brokenAt)
	if !isSameRun {
		qu.EndRun()
		qu.run, qu.brokenAt = run, now
	}
	if qu.broken[fingerprint] {
		return run, false
	}
	qu.broken[fingerprint] = true
	if run == 0 {
		run = max(1, uint32(now)) // any two crashes differ
	}
	qu.RecordCrash(fingerprint, run, now)
	if su, ok := qu.suspects[fingerprint]; ok {
		su.isLocal = true
		qu.suspects[fingerprint] = su
	}
	return run, true
}

// EndRun records that the latest run of the server has ended: the next break is a crash of
// another one.
func (qu *Quarantine) EndRun() { qu.broken = map[uint64]bool{} }

// Cancel records an end of the request that shows neither a success nor a crash.
func (qu *Quarantine) Cancel(fingerprint uint64) { qu.end(fingerprint) }

func (qu *Quarantine) end(fingerprint uint64) {
	qu.running[fingerprint]--
	if qu.running[fingerprint] <= 0 {
		delete(qu.running, fingerprint)
	}
}

// RecordCrash records that a run of a server crashed in which the request was running, such as
// one that a peer reports. A run that is known counts once.
func (qu *Quarantine) RecordCrash(fingerprint uint64, run uint32, now timer.Instant) {
	qu.expire(now)
	su := qu.suspects[fingerprint]
	if slices.Contains(su.runs, run) {
		return
	}
	su.runs = append(slices.Clone(su.runs), run)
	if len(su.runs) > maxRuns {
		su.runs, su.stored = su.runs[1:], su.stored+1
		if su.cleared > 0 {
			su.cleared, su.stored = su.cleared-1, su.stored-1
		}
	}
	su.isCleared = false
	qu.hold(fingerprint, su, now)
}

// hold remembers a suspect after a crash.
func (qu *Quarantine) hold(fingerprint uint64, su suspect, now timer.Instant) {
	su.expiresAt = now.Add(QuarantineTerm)
	if at := su.crashes() - crashesAllowed; at >= 0 && at < len(trialDelays) {
		delay := trialDelays[at]
		su.trialAt = now.Add(delay + timer.Span(qu.jitter*float64(delay)))
	}
	qu.remember(fingerprint, su)
}

// remember stores a suspect. If too many are remembered, one with the fewest crashes makes room.
func (qu *Quarantine) remember(fingerprint uint64, su suspect) {
	if _, ok := qu.suspects[fingerprint]; !ok && len(qu.suspects) >= quarantineCapacity {
		qu.forgetOne()
	}
	qu.suspects[fingerprint] = su
}

func (qu *Quarantine) forgetOne() {
	var weakest uint64
	least := -1
	for fingerprint, su := range qu.suspects {
		isWeaker := least < 0 || su.crashes() < least || su.crashes() == least && su.expiresAt < qu.suspects[weakest].expiresAt
		if isWeaker {
			weakest, least = fingerprint, su.crashes()
		}
	}
	delete(qu.suspects, weakest)
}

// Learn records a request that another instance quarantined, or this one before it was
// restarted. It does not prolong the quarantine of a request that is known, nor bring back one
// that was cleared since.
func (qu *Quarantine) Learn(le Suspect, now timer.Instant) {
	qu.expire(now)
	su := qu.suspects[le.Fingerprint]
	missing := le.Crashes - su.crashes()
	if su.isCleared || missing <= 0 {
		return
	}
	su.stored += missing
	qu.hold(le.Fingerprint, su, now)
}

// LocalSuspect returns a request that is quarantined and crashed the backend server of
// this instance. It returns false for any other request.
func (qu *Quarantine) LocalSuspect(fingerprint uint64, now timer.Instant) (Suspect, bool) {
	su := Suspect{Fingerprint: fingerprint, Crashes: qu.Crashes(fingerprint, now)}
	return su, su.Crashes >= crashesAllowed && qu.suspects[fingerprint].isLocal
}

func (qu *Quarantine) expire(now timer.Instant) {
	for fingerprint, su := range qu.suspects {
		if !now.Before(su.expiresAt) {
			delete(qu.suspects, fingerprint)
		}
	}
}

// Crashes returns the crashes recorded for a fingerprint, 0 once they have expired.
func (qu *Quarantine) Crashes(fingerprint uint64, now timer.Instant) int {
	su, ok := qu.suspects[fingerprint]
	if !ok || !now.Before(su.expiresAt) {
		return 0
	}
	return su.crashes()
}

// IsQuarantined reports whether the request is refused at now, unless Try permits it. Former is
// the number of crashes that the instance which forwards the request has seen.
func (qu *Quarantine) IsQuarantined(fingerprint uint64, former int, now timer.Instant) bool {
	return max(former, qu.Crashes(fingerprint, now)) >= crashesAllowed
}

// Try reports whether a quarantined request may run at now as a trial, and if so counts on the
// caller to run it. One copy at a time does, and none that has crashed servers itself.
func (qu *Quarantine) Try(fingerprint uint64, former int, now timer.Instant) bool {
	su := qu.suspects[fingerprint]
	if su.crashes()-crashesAllowed >= len(trialDelays) {
		su.expiresAt = now.Add(QuarantineTerm)
		qu.suspects[fingerprint] = su
		return false
	}
	if former > 0 || now.Before(su.trialAt) || qu.running[fingerprint] > 0 {
		return false
	}
	su.trialAt = now.Add(trialTimeout)
	qu.suspects[fingerprint] = su
	return true
}
