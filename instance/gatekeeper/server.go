package gatekeeper

import (
	"fmt"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
)

// serverRun returns the run of the backend server that the latest heartbeat came from. A
// server may start again under its ID.
func serverRun(bs *publisher.BackendServer) registrar.ServerRun {
	return registrar.ServerRun{ID: bs.ID, StartedAt: bs.StartedAt}
}

// refuseIfServerUnavailable returns a refusal if the backend server is expected to
// announce itself and has not done so yet, or is shutting down, or else nil. The lock must
// be held.
func (ga *Gatekeeper) refuseIfServerUnavailable() *peerproto.ForwardResponse {
	bs := ga.pu.BackendServer()
	switch {
	case bs == nil:
		return nil
	case bs.ID == "":
		return refuse(CodeServerUnknown, "the backend server has not been heard of")
	case bs.RefuseAt != 0 && !ga.pu.Now().Before(bs.RefuseAt), ga.isServerLeft(bs):
		return refuse(admitter.CodeDraining, "the backend server is leaving")
	default:
		return nil
	}
}

// refuseByServer returns a refusal if this VM, the backend server or its version gets no request
// of the service now, or else nil. The lock must be held.
func (ga *Gatekeeper) refuseByServer(sv cataloguer.Service) *peerproto.ForwardResponse {
	if refusal := ga.refuseOut(sv); refusal != nil {
		return refusal
	}
	if refusal := ga.refuseIfServerUnavailable(); refusal != nil {
		return refusal
	}
	return ga.refuseVersion()
}

// applyServerState applies the end of the cold start that the backend server
// announces. A heartbeat from before the latest overload is ignored, as it would
// replace the cold period that began with the overload. It returns a refusal if the
// server accepts no new requests. The lock must be held.
func (ga *Gatekeeper) applyServerState() *peerproto.ForwardResponse {
	if refusal := ga.refuseIfServerUnavailable(); refusal != nil {
		return refusal
	}
	bs := ga.pu.BackendServer()
	if bs == nil {
		return nil
	}
	ga.forgetFormerServer(bs)
	if bs.LastHeartbeatAt > ga.reportedAt && bs.LastHeartbeatAt > ga.overloadedAt {
		ga.reportedAt = bs.LastHeartbeatAt
		ga.gate.SetColdUntil(ga.coldUntil(bs))
	}
	return nil
}

// scheduleStart sets a timer for the next queued request if only the start rate of a
// cold server holds it up. The lock must be held.
func (ga *Gatekeeper) scheduleStart() {
	now := ga.pu.Now()
	at, isWaiting := ga.gate.NextStartAt(now)
	if !isWaiting || ga.isStartScheduled {
		return
	}
	ga.isStartScheduled = true
	time.AfterFunc(at.Sub(now).Duration(), func() {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		ga.isStartScheduled = false
		ga.wakeAll(ga.gate.StartQueued(ga.pu.Now()))
		ga.scheduleStart()
	})
}

// applyLimits applies changed limits of the catalogue. The number of slots that the
// backend server announces takes precedence. The lock must be held.
func (ga *Gatekeeper) applyLimits(li cataloguer.ServiceLimits) {
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
		ga.paceGate(li.ColdRate)
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
	if !ga.condition.isHeard {
		gate.AwaitAnswer()
	}
	ga.gate = gate
	ga.paceGate(li.ColdRate)
	ga.applyServerLimit()
}
