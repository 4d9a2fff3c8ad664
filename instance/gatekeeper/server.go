package gatekeeper

import (
	"fmt"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/wire/peerproto"
)

// refuseForServer refuses if the backend server must get no new work.
func (ga *Gatekeeper) refuseForServer() *peerproto.ForwardResponse {
	bs := ga.pu.BackendServer()
	switch {
	case bs == nil:
		return nil
	case bs.ID == "":
		return refuse(CodeNoServer, "the backend server has not been heard of")
	case bs.RefuseAt != 0 && !ga.pu.Now().Before(bs.RefuseAt):
		return refuse(admitter.CodeDraining, "the backend server is leaving")
	default:
		return nil
	}
}

// followServer takes what the backend server says of itself, and refuses if it
// must get no new work. The lock must be held.
func (ga *Gatekeeper) followServer() *peerproto.ForwardResponse {
	if refusal := ga.refuseForServer(); refusal != nil {
		return refusal
	}
	bs := ga.pu.BackendServer()
	if bs == nil {
		return nil
	}
	if bs.LastHeartbeatAt > ga.heardAt && bs.LastHeartbeatAt > ga.fellAt {
		ga.heardAt = bs.LastHeartbeatAt
		ga.gate.SetColdUntil(bs.ColdUntil)
	}
	return nil
}

// scheduleStart starts waiting requests when a cold server bears another one,
// though no run ends. The lock must be held.
func (ga *Gatekeeper) scheduleStart() {
	now := ga.pu.Now()
	at, isWaiting := ga.gate.NextStartAt(now)
	if !isWaiting || ga.isStartDue {
		return
	}
	ga.isStartDue = true
	time.AfterFunc(at.Sub(now).Duration(), func() {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		ga.isStartDue = false
		ga.wakeAll(ga.gate.StartQueued(ga.pu.Now()))
		ga.scheduleStart()
	})
}

// follow takes the catalogue's limits when they change, with the slots that the
// backend server itself names.
func (ga *Gatekeeper) follow(li cataloguer.ServiceLimits) {
	if bs := ga.pu.BackendServer(); bs != nil && bs.Slots > 0 {
		li.Slots = bs.Slots
		li.ColdStartSlots = bs.Slots
		li.Queue = queuePerSlot * bs.Slots
	}
	if ga.gate != nil && li == ga.limits {
		return
	}
	ga.limits = li
	if ga.gate != nil {
		ga.gate.SetLimits(li.Slots, li.ColdStartSlots, li.Queue)
		ga.gate.SetColdRate(li.ColdRate)
		return
	}
	ga.bs.setConnections(li.Connections)
	gate, err := admitter.New(
		admitter.Slots(li.Slots), admitter.QueueLength(li.Queue),
		admitter.ColdStart(li.ColdStartSlots, ga.pu.Now().Add(li.ColdStart)), admitter.ColdSpan(li.ColdStart),
	)
	if err != nil {
		panic(fmt.Sprintf("gatekeeper: a validated catalogue has bad limits: %v", err))
	}
	gate.SetColdRate(li.ColdRate)
	ga.gate = gate
}
