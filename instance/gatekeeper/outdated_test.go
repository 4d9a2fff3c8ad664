package gatekeeper

import (
	"context"
	"testing"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/publisher"
	"github.com/matryer/is"
)

// TestBodyOutlastsAChange guards against the refusal of a request whose head was admitted, and
// whose body took longer than a change of the configuration to spread.
func TestBodyOutlastsAChange(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	rq := request("1", "")
	rq.ConfigVersion = 16
	is.True(ga.RefuseHead(context.Background(), rq) == nil)
	vi := *ga.pu.View()
	vi.ConfigStarts = publisher.AddConfigStart(nil, publisher.ConfigStart{Version: 20, At: ga.pu.Now().Add(-3 * timer.Second)})
	ga.pu.Publish(&vi)
	is.Equal(ga.RefuseHead(context.Background(), rq).GetCode(), CodeConfigOutdated)
	answer := ga.Forward(WithBody(context.Background(), assembler.New([]byte("body"))), rq)
	is.Equal(answer.GetOutcome(), uint32(OutcomeAnswered))
}

// TestOutdatedDecisionIsNotCarriedOut guards against a request that an entry instance with an
// old configuration sends to a service that is no longer the route's.
func TestOutdatedDecisionIsNotCarriedOut(t *testing.T) {
	const inForce = 20
	for name, cas := range map[string]struct {
		entry uint64
		since timer.Span
		code  string
	}{
		"older for long":       {entry: 16, since: 3 * timer.Second, code: CodeConfigOutdated},
		"older, still spreads": {entry: 16, since: timer.Second / 2},
		"same":                 {entry: inForce, since: 3 * timer.Second},
		"newer":                {entry: 24, since: 3 * timer.Second},
		"unnamed":              {since: 3 * timer.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ga := newGate(t)
			vi := *ga.pu.View()
			vi.ConfigStarts = publisher.AddConfigStart(nil, publisher.ConfigStart{Version: inForce, At: ga.pu.Now().Add(-cas.since)})
			ga.pu.Publish(&vi)
			rq := request("1", "body")
			rq.ConfigVersion = cas.entry
			answer := ga.Forward(context.Background(), rq)
			is.Equal(answer.GetCode(), cas.code)
			is.Equal(answer.GetOutcome() == OutcomeNotRun, cas.code != "")
			is.Equal(ga.calls.Load() == 0, cas.code != "")
			is.Equal(answer.GetConfigVersion(), vi.Config.Version)
		})
	}
}
