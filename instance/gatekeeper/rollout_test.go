package gatekeeper

import (
	"context"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/roller"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// TestVersions guards against requests that reach a server of another version than the one in
// force: at an instance that knows no state yet, beyond a grant, and after a rollback. None of
// them may be reported as run.
func TestVersions(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	WithRollOuts()(ga.Gatekeeper)
	ga.pu.SetBackendServer(publisher.BackendServer{ID: "a-1", Version: "v2", Slots: 2})
	publish := func(st roller.State) {
		vi := *ga.pu.View()
		vi.RollOuts = map[string]roller.State{"counter": st}
		ga.pu.Publish(&vi)
	}
	codeOf := func(id string) string {
		answer := ga.Forward(context.Background(), request(id, id))
		is.Equal(answer.GetOutcome() == OutcomeNotRun, answer.GetCode() != "")
		return answer.GetCode()
	}
	is.Equal(codeOf("unknown"), admitter.CodeVersion)
	st := roller.State{Service: "counter", Version: 1, InForce: "v1", Phase: roller.Stable}
	publish(st)
	is.Equal(codeOf("before"), admitter.CodeVersion)
	st.Version, st.Phase, st.Order, st.Canaries, st.Share = 2, roller.Canary, roller.Order{ID: 5, To: "v2"}, []string{"a"}, 8
	publish(st)
	is.Equal(codeOf("ungranted"), admitter.CodeExposure)
	answer := &peerproto.RollOutResponse{}
	ga.RollOut(roller.Grant{Ceiling: 1}, answer)
	is.Equal(codeOf("granted"), "")
	is.Equal(codeOf("beyond"), admitter.CodeExposure)
	ga.RollOut(roller.Grant{Ceiling: 9, IsStopped: true}, answer)
	is.Equal(answer.GetStarted(), uint64(1))
	is.Equal(codeOf("stopped"), admitter.CodeExposure)
	st.Version, st.Phase, st.InForce = 3, roller.Stable, "v2"
	publish(st)
	is.Equal(codeOf("in force"), "")
	is.Equal(ga.calls.Load(), int32(2))
}
