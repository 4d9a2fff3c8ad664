package gatekeeper

import (
	"cornellanding.example/core/timer"
)

// Condition is what a backend server says of itself in an answer.
type Condition struct {
	// IsLimited means that the server takes at most RequestLimit requests a second
	// from all callers together. A limit holds until an answer names none.
	IsLimited    bool
	RequestLimit float64
	// IsLeaving means that the server will end soon and is to get no new requests.
	IsLeaving bool
}

// observedCondition is the latest condition of one start of the backend server.
type observedCondition struct {
	Condition
	serverID string
	// limitedAt is when an answer last named a limit.
	limitedAt timer.Instant
}

// observeCondition records the condition in an answer of the backend server to a request
// sent at sentAt. The answers to requests that run side by side may be read in another
// order than written, so that a limit ends only with the answer to a request sent after
// the limit was last named.
func (ga *Gatekeeper) observeCondition(cn Condition, serverID string, sentAt timer.Instant) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	if serverID != ga.condition.serverID {
		if bs := ga.pu.BackendServer(); bs != nil && bs.ID != serverID {
			return
		}
		ga.condition = observedCondition{serverID: serverID}
	}
	former := ga.condition.Condition
	switch {
	case cn.IsLimited:
		ga.condition.limitedAt = now
	case former.IsLimited && sentAt <= ga.condition.limitedAt:
		cn.IsLimited, cn.RequestLimit = true, former.RequestLimit
	}
	cn.IsLeaving = cn.IsLeaving || former.IsLeaving
	ga.condition.Condition = cn
	if cn == former {
		return
	}
	ga.lo.Info("condition of the backend server changed", "server", serverID, "isLimited", cn.IsLimited, "requestLimit", cn.RequestLimit,
		"isLeaving", cn.IsLeaving, "formerLimit", former.RequestLimit)
}
