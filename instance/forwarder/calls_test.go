package forwarder

import (
	"context"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/throttler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// TestObservedCalls guards against outside callers' requests that are taken for calls of the
// backend server, and against failed calls that aren't reported as such.
func TestObservedCalls(t *testing.T) {
	is := is.New(t)
	var observed []throttler.Call
	fo, fl := newFleet(t, WithCallObserver(func(ca throttler.Call) { observed = append(observed, ca) }))
	answer := &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeAnswered, Status: 200}
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		copied := &peerproto.ForwardResponse{Outcome: answer.Outcome, Status: answer.Status, Code: answer.Code, CallRoute: answer.CallRoute}
		return copied, true, nil
	}, "a", "b")
	do := func(path, authorization string) int {
		before := len(observed)
		rq := toPath(path)
		rq.Authorization = authorization
		fo.Do(context.Background(), rq)
		return len(observed) - before
	}
	is.Equal(do("/page/x", testCredential), 0) // has a workspace
	is.Equal(do("/page/sub/x", ""), 1)         // has none where workspaces are configured
	co := cataloguer.Config{Version: 2}
	co.Catalogue.Services = fl.View().Config.Catalogue.Services
	for _, rt := range fl.View().Config.Catalogue.Routes {
		rt.Access = cataloguer.OpenAccess
		co.Catalogue.Routes = append(co.Catalogue.Routes, rt)
	}
	fl.pu.Publish(publisher.NewView(co, fl.View().Tables))
	is.Equal(do("/page/x", ""), 0)
	answer.CallRoute = true
	is.Equal(do("/page/x", ""), 1)
	answer.CallRoute = false
	is.Equal(do("/key/x", ""), 0)
	answer.Outcome, answer.Status, answer.Code = gatekeeper.OutcomeNotRun, 0, admitter.CodeOverloaded
	is.Equal(do("/page/x", ""), 1) // known from before
	last := observed[len(observed)-1]
	is.Equal([]any{last.Route, last.IsFailed, last.IsOverload}, []any{"/page/", true, true})
}
