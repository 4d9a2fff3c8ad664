package gatekeeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// publishOut publishes that the VM has been out for the span.
func (ga *gate) publishOut(class cataloguer.ServiceClass, span timer.Span) {
	former := ga.pu.View()
	config := former.Config
	config.Catalogue.Services = append([]cataloguer.Service(nil), config.Catalogue.Services...)
	config.Catalogue.Services[0].Class = class
	vi := publisher.NewView(config, former.Tables)
	if span >= 0 {
		vi.OutSince = ga.pu.Now().Add(-span)
	}
	ga.pu.Publish(vi)
}

// TestQueuedRequestsDontStartOnceOut guards against requests that wait for a slot and start in
// a data centre that was evacuated meanwhile. They must be refused while the slot is still
// taken, so that another server can run them.
func TestQueuedRequestsDontStartOnceOut(t *testing.T) {
	for class, span := range map[cataloguer.ServiceClass]timer.Span{cataloguer.Shared: publisher.OutServeSpan, cataloguer.Exclusive: publisher.OutKeysSpan} {
		t.Run(string(class), func(t *testing.T) {
			is := is.New(t)
			ga := newGate(t, emulator.WithServiceTime(2*time.Second))
			ga.publishOut(class, -1)
			answers := make(chan *peerproto.ForwardResponse, 4)
			for i := range cap(answers) {
				go func() { answers <- ga.Forward(context.Background(), request(fmt.Sprint(i), "")) }()
			}
			for ga.waitingCount() < cap(answers)-1 {
				time.Sleep(time.Millisecond)
			}
			ga.publishOut(class, span)
			for range cap(answers) - 1 {
				answer := <-answers
				is.Equal(answer.GetCode(), CodeOut)
				is.Equal(answer.GetOutcome(), uint32(OutcomeNotRun))
			}
			is.Equal((<-answers).GetOutcome(), uint32(OutcomeAnswered)) // it ran before
			is.Equal(ga.calls.Load(), int32(1))
		})
	}
}

func (ga *gate) waitingCount() int {
	_, waiting, _ := ga.Load()
	return waiting
}

// TestOutVMRefuses checks when a request that arrives at a VM that was taken out is refused.
func TestOutVMRefuses(t *testing.T) {
	for name, cas := range map[string]struct {
		class cataloguer.ServiceClass
		span  timer.Span
		code  string
	}{
		"shared, in force":              {class: cataloguer.Shared, span: -1},
		"shared, just taken out":        {class: cataloguer.Shared, span: timer.Second},
		"shared, out":                   {class: cataloguer.Shared, span: 2 * timer.Second, code: CodeOut},
		"exclusive, keys still move":    {class: cataloguer.Exclusive, span: 2 * timer.Second},
		"exclusive, keys did not move":  {class: cataloguer.Exclusive, span: 4 * timer.Second, code: CodeOut},
		"exclusive, taken back already": {class: cataloguer.Exclusive, span: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ga := newGate(t)
			ga.publishOut(cas.class, cas.span)
			head := ga.RefuseHead(context.Background(), request("1", ""))
			is.Equal(head.GetCode(), cas.code)
			answer := ga.Forward(context.Background(), request("1", ""))
			is.Equal(answer.GetCode(), cas.code)
			is.Equal(ga.calls.Load() == 0, cas.code != "")
		})
	}
}
