package gatekeeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"github.com/matryer/is"
)

// TestTargetIsPassedOnUnchanged guards against a backend server that runs a request with
// another path or host than the caller's, such as for a path that begins with two slashes.
func TestTargetIsPassedOnUnchanged(t *testing.T) {
	var (
		mu       sync.Mutex
		received string
	)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, re *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		received = re.Host + " " + re.RequestURI
	}))
	t.Cleanup(server.Close)
	pu := publisher.New(timer.BootClock{}, publisher.Self{BackendServer: "a", Service: "pages", Incarnation: incarnation})
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "pages", Class: cataloguer.Shared, Limits: cataloguer.ServiceLimits{Slots: 2, Connections: 4, ColdStartSlots: 2}}}
	pu.Publish(publisher.NewView(config, nil))
	ga, err := New(pu, strings.TrimPrefix(server.URL, "http://"))
	is.New(t).NoErr(err)
	for target, isRefused := range map[string]bool{
		"/browse/x?a=1":        false,
		"/browse//x":           false,
		"//browse/x?a=1&b=%2F": false,
		"//browse/x%2Fy":       false,
		"//browse/x?":          false,
		"//":                   false,
		"///x":                 false,
		"//10.0.0.1:80/x":      false,
		"//user@host/x":        false,
		"//x%zz":               true,
		"//x\"y":               true,
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			rq := request("1"+target, "")
			rq.Service, rq.PathAndQuery, rq.Host = "pages", target, "x.example"
			received = ""
			answer := ga.Forward(context.Background(), rq)
			if isRefused {
				is.Equal([]any{answer.GetOutcome(), answer.GetCode(), received}, []any{uint32(OutcomeNotRun), CodeBadTarget, ""})
				return
			}
			is.Equal(answer.GetOutcome(), uint32(OutcomeAnswered))
			is.Equal(received, "x.example "+target)
		})
	}
}
