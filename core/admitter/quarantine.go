package admitter

import (
	"maps"

	"cornellanding.example/core/timer"
)

const (
	// crashesAllowed is the number of crashes after which a request is refused.
	crashesAllowed = 2
	// quarantineCapacity bounds the requests whose crashes are remembered.
	quarantineCapacity = 4096
)

// QuarantineTerm is how long a request is refused after its last crash.
const QuarantineTerm = 600 * timer.Second

// Suspect is a request that was running when backend servers crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
}

// suspect is what is remembered of a Suspect.
type suspect struct {
	crashes int
	// isLocal is set if the backend server of this instance was among those.
	isLocal   bool
	expiresAt timer.Instant
}

// Quarantine refuses requests that crash backend servers. A crash counts against
// every request that was running at the time, on this instance or, as reported by
// peers, on others. A request that was running at two crashes and has not succeeded
// since is refused, before it can crash a third server. A success clears a request.
type Quarantine struct {
	running  map[uint64]int
	suspects map[uint64]suspect
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{running: map[uint64]int{}, suspects: map[uint64]suspect{}}
}

// Clone returns a copy without the running requests, for a successor of this Quarantine.
func (qu *Quarantine) Clone() *Quarantine {
	return &Quarantine{running: map[uint64]int{}, suspects: maps.Clone(qu.suspects)}
}

// Start records that a request with the fingerprint is running.
func (qu *Quarantine) Start(fingerprint uint64) { qu.running[fingerprint]++ }

// Succeed records that the request was answered, and clears its crashes.
func (qu *Quarantine) Succeed(fingerprint uint64) {
	qu.end(fingerprint)
	delete(qu.suspects, fingerprint)
}

// Crash records that the backend server crashed while it ran the request.
func (qu *Quarantine) Crash(fingerprint uint64, now timer.Instant) {
	qu.end(fingerprint)
	qu.RecordCrashes(fingerprint, 1, now)
	if su, ok := qu.suspects[fingerprint]; ok {
		su.isLocal = true
		qu.suspects[fingerprint] = su
	}
}

// Cancel records an end of the request that shows neither a success nor a crash.
func (qu *Quarantine) Cancel(fingerprint uint64) { qu.end(fingerprint) }

func (qu *Quarantine) end(fingerprint uint64) {
	qu.running[fingerprint]--
	if qu.running[fingerprint] <= 0 {
		delete(qu.running, fingerprint)
	}
}

// RecordCrashes adds crashes to a fingerprint, such as those that a peer reports. A
// new fingerprint is ignored while quarantineCapacity others are remembered.
func (qu *Quarantine) RecordCrashes(fingerprint uint64, crashes int, now timer.Instant) {
	qu.expire(now)
	su := qu.suspects[fingerprint]
	if su.crashes == 0 && len(qu.suspects) >= quarantineCapacity {
		return
	}
	su.crashes += crashes
	su.expiresAt = now.Add(QuarantineTerm)
	qu.suspects[fingerprint] = su
}

// Learn records a request that another instance quarantined, or this one before it was
// restarted. It does not prolong the quarantine of a request that is known.
func (qu *Quarantine) Learn(su Suspect, now timer.Instant) {
	if known := qu.Crashes(su.Fingerprint, now); known < su.Crashes {
		qu.RecordCrashes(su.Fingerprint, su.Crashes-known, now)
	}
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
	su := qu.suspects[fingerprint]
	if !now.Before(su.expiresAt) {
		return 0
	}
	return su.crashes
}

// IsQuarantined reports whether the request is refused at now. Former is the number
// of crashes that the instance which forwards the request has seen.
func (qu *Quarantine) IsQuarantined(fingerprint uint64, former int, now timer.Instant) bool {
	return max(former, qu.Crashes(fingerprint, now)) >= crashesAllowed
}
