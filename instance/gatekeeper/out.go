package gatekeeper

import (
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// outCheckInterval is how often a queue is checked while requests wait in it: that is how
// much longer than needed they wait after the VM has been taken out.
const outCheckInterval = 250 * timer.Millisecond

// refuseOut returns a refusal if the VM has been taken out, by its data centre or its backend
// server, and requests of the service are not to start here any more, or else nil.
func (ga *Gatekeeper) refuseOut(sv cataloguer.Service) *peerproto.ForwardResponse {
	if !ga.pu.View().IsOut(sv.Class, ga.pu.Now()) {
		return nil
	}
	return refuseTakenOut()
}

func refuseTakenOut() *peerproto.ForwardResponse {
	return refuse(CodeOut, "the data centre or the backend server has been taken out")
}

// refuseQueueIfOut refuses all queued requests once none of them is to start here any more, so
// that other servers can run them. The lock must be held.
func (ga *Gatekeeper) refuseQueueIfOut() {
	sv, ok := ga.pu.View().Services[ga.pu.Self().Service]
	if !ok || len(ga.waiting) == 0 || ga.refuseOut(sv) == nil {
		return
	}
	for ticket := range ga.waiting {
		if ga.gate.Abandon(ticket) {
			ga.wake(ticket, turnOut)
		}
	}
}

// scheduleOut checks the queue again as long as requests wait in it. The lock must be held.
func (ga *Gatekeeper) scheduleOut() {
	if ga.isOutScheduled {
		return
	}
	ga.isOutScheduled = true
	time.AfterFunc(outCheckInterval.Duration(), func() {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		ga.isOutScheduled = false
		ga.refuseQueueIfOut()
		if len(ga.waiting) > 0 {
			ga.scheduleOut()
		}
	})
}
