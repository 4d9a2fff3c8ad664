package admitter

import "cornellanding.example/core/timer"

const (
	// crashesAllowed is how many backend servers a request may be blamed for
	// before it is refused.
	crashesAllowed   = 2
	quarantineTerm   = 600 * timer.Second
	quarantineLength = 4096
)

type suspect struct {
	crashes   int
	expiresAt timer.Instant
}

// Quarantine refuses requests that crash backend servers. A crash is blamed on
// every request that ran at that moment, here or, as told by peers, elsewhere.
// One that ran at two crashes and never since succeeded is refused, before it
// takes a third server. Innocent ones clear themselves by a success.
type Quarantine struct {
	running  map[uint64]int
	suspects map[uint64]suspect
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{running: map[uint64]int{}, suspects: map[uint64]suspect{}}
}

// Start counts a request with that fingerprint under way.
func (qu *Quarantine) Start(fingerprint uint64) { qu.running[fingerprint]++ }

// Succeed ends a request that was answered.
func (qu *Quarantine) Succeed(fingerprint uint64) {
	qu.end(fingerprint)
	delete(qu.suspects, fingerprint)
}

// Crash ends a request whose backend server crashed.
func (qu *Quarantine) Crash(fingerprint uint64, now timer.Instant) {
	qu.end(fingerprint)
	qu.RecordCrashes(fingerprint, 1, now)
}

// Cancel ends a request that tells nothing.
func (qu *Quarantine) Cancel(fingerprint uint64) { qu.end(fingerprint) }

func (qu *Quarantine) end(fingerprint uint64) {
	qu.running[fingerprint]--
	if qu.running[fingerprint] <= 0 {
		delete(qu.running, fingerprint)
	}
}

// RecordCrashes adds crashes, as reported by a peer, to a fingerprint.
func (qu *Quarantine) RecordCrashes(fingerprint uint64, crashes int, now timer.Instant) {
	qu.expire(now)
	su := qu.suspects[fingerprint]
	if su.crashes == 0 && len(qu.suspects) >= quarantineLength {
		return
	}
	su.crashes += crashes
	su.expiresAt = now.Add(quarantineTerm)
	qu.suspects[fingerprint] = su
}

func (qu *Quarantine) expire(now timer.Instant) {
	for fingerprint, su := range qu.suspects {
		if !now.Before(su.expiresAt) {
			delete(qu.suspects, fingerprint)
		}
	}
}

// Crashes returns how many crashes a fingerprint is blamed for at now.
func (qu *Quarantine) Crashes(fingerprint uint64, now timer.Instant) int {
	su := qu.suspects[fingerprint]
	if !now.Before(su.expiresAt) {
		return 0
	}
	return su.crashes
}

// IsQuarantined reports whether a request is refused at now. Former counts crashes
// that its caller's entry knows of.
func (qu *Quarantine) IsQuarantined(fingerprint uint64, former int, now timer.Instant) bool {
	return max(former, qu.Crashes(fingerprint, now)) >= crashesAllowed
}
