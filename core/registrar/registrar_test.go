package registrar

import (
	"fmt"
	"testing"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const (
	second = timer.Instant(timer.Second)
	term   = 3 * timer.Second
)

// newRegistrar returns a registrar that started at second 10, with four ranges.
func newRegistrar(t *testing.T) *Registrar {
	t.Helper()
	re, err := New(Start(10*second), Term(term))
	is.New(t).NoErr(err)
	re.SetRanges([]placer.Range{{From: 0, To: 9}, {From: 10, To: 19}, {From: 20, To: 29}, {From: 30, To: 39}})
	return re
}

func beat(sequence uint64, holds ...Hold) Heartbeat {
	return Heartbeat{ID: "s1", StartedAt: 1, Sequence: sequence, Slots: 4, Holds: holds}
}

func wants(epoch uint64, partitions ...uint32) []WantedPartition {
	var list []WantedPartition
	for _, pt := range partitions {
		list = append(list, WantedPartition{Partition: pt, Epoch: epoch})
	}
	return list
}

// TestOrder takes heartbeats that cross each other.
func TestOrder(t *testing.T) {
	other := Heartbeat{ID: "s2", StartedAt: 2, Sequence: 1}
	cases := map[string]struct {
		first, next Heartbeat
		isTaken     bool
	}{
		"the next":                       {first: beat(1), next: beat(2), isTaken: true},
		"the same again":                 {first: beat(2), next: beat(2)},
		"a late one":                     {first: beat(2), next: beat(1)},
		"another start":                  {first: beat(9), next: other, isTaken: true},
		"a late one of a former start":   {first: other, next: beat(9)},
		"a start again under one name":   {first: beat(9), next: Heartbeat{ID: "s1", StartedAt: 5, Sequence: 1}, isTaken: true},
		"a late one from before a start": {first: Heartbeat{ID: "s1", StartedAt: 5, Sequence: 1}, next: beat(9)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			re := newRegistrar(t)
			is.True(re.ApplyHeartbeat(tc.first, 11*second))
			is.Equal(re.ApplyHeartbeat(tc.next, 12*second), tc.isTaken)
		})
	}
}

// TestFree tells when a partition may pass on to another server.
func TestFree(t *testing.T) {
	held := Hold{Range: placer.Range{From: 0, To: 9}, FencingToken: 7}
	cases := map[string]struct {
		do     func(re *Registrar)
		at     timer.Instant
		isFree bool
	}{
		"not heard of, within a term": {do: func(*Registrar) {}, at: 12 * second},
		"not heard of, after a term":  {do: func(*Registrar) {}, at: 13 * second, isFree: true},
		"heard of, held":              {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1, held), 11*second) }, at: 12 * second},
		"heard of, not held":          {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second) }, at: 11 * second, isFree: true},
		"granted, reply under way":    {do: grant, at: 12 * second},
		"granted, hold ended":         {do: grant, at: 15 * second, isFree: true},
		"granted, server starts again": {do: func(re *Registrar) {
			grant(re)
			re.ApplyHeartbeat(Heartbeat{ID: "s2", StartedAt: 2, Sequence: 1}, 12*second)
		}, at: 12 * second, isFree: true},
		"granted, address refuses": {do: func(re *Registrar) { grant(re); re.MarkDown() }, at: 12 * second, isFree: true},
		"granted, leaving server stops listening": {do: func(re *Registrar) {
			grant(re)
			leaving := beat(2, held)
			leaving.IsDraining = true
			re.ApplyHeartbeat(leaving, 12*second)
			re.MarkDown()
		}, at: 12 * second},
		"given up, still worked on": {do: func(re *Registrar) { grant(re); re.ApplyHeartbeat(beat(2, held), 12*second) }, at: 12 * second},
		"given up":                  {do: func(re *Registrar) { grant(re); re.ApplyHeartbeat(beat(2), 12*second) }, at: 12 * second, isFree: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			re := newRegistrar(t)
			tc.do(re)
			is.Equal(re.IsFree(0, tc.at), tc.isFree)
		})
	}
}

func grant(re *Registrar) {
	re.ApplyHeartbeat(beat(1), 11*second)
	re.Grant(wants(7, 0), 14*second, 11*second)
}

// TestHoldEndsBeforeLease counts the server's clock as slow as it may be.
func TestHoldEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	re.ApplyHeartbeat(beat(1), 11*second)
	for _, leaseUntil := range []timer.Instant{11*second + 350*timer.Instant(timer.Millisecond), 12 * second, 14 * second, 60 * second} {
		reply, _ := re.Grant(wants(7, 0), leaseUntil, 11*second)
		slow := reply.HoldTerm + reply.HoldTerm/driftShare
		is.True(11*second+timer.Instant(slow) < leaseUntil)
		is.True(reply.HoldTerm <= DefaultMaxHold)
	}
	reply, granted := re.Grant(wants(7, 0), 11*second, 11*second)
	is.Equal(reply.HoldTerm, timer.Span(0)) // a lease that has ended renews nothing
	is.Equal(len(granted), 0)
}

// TestTokens follows the fencing token of one partition.
func TestTokens(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	re.ApplyHeartbeat(beat(1), 11*second)
	first, _ := re.Grant(wants(7, 0), 14*second, 11*second)
	token := first.Holds[0].FencingToken
	re.ApplyHeartbeat(beat(2, first.Holds[0]), 12*second)
	renewed, _ := re.Grant(wants(7, 0), 15*second, 12*second)
	is.Equal(renewed.Holds[0].FencingToken, token) // a renewal keeps it
	later, _ := re.Grant(wants(8, 0), 15*second, 12*second)
	is.Equal(later.Holds[0].FencingToken, token) // also if the instance obtained it anew
	re.ApplyHeartbeat(Heartbeat{ID: "s2", StartedAt: 2, Sequence: 1}, 12*second)
	again, _ := re.Grant(wants(7, 0), 15*second, 12*second)
	is.True(again.Holds[0].FencingToken > token) // another start needs a higher one
	next, _ := re.Grant(wants(8, 1), 15*second, 12*second)
	is.True(next.Holds[0].FencingToken > again.Holds[0].FencingToken) // and so does a later map
}

// TestLapsedHoldGetsNewToken takes a range back that others may have held since.
func TestLapsedHoldGetsNewToken(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	re.ApplyHeartbeat(beat(1), 11*second)
	first, _ := re.Grant(wants(7, 0), 14*second, 11*second)
	// The server still works on a request of a hold that ended long ago.
	re.ApplyHeartbeat(beat(2, first.Holds[0]), 20*second)
	again, _ := re.Grant(wants(9, 0), 23*second, 20*second)
	is.True(again.Holds[0].FencingToken > first.Holds[0].FencingToken)
}

// TestTokensNeverFall grants a range under the higher token of its neighbour,
// since the reply is tight, and again after the hold has lapsed or the server has
// started again.
func TestTokensNeverFall(t *testing.T) {
	is := is.New(t)
	re, err := New(Start(10*second), Term(term))
	is.NoErr(err)
	var (
		ranges []placer.Range
		wanted []WantedPartition
	)
	for pt := range uint32(512) {
		ranges = append(ranges, placer.Range{From: pt * 128, To: pt*128 + 127})
		wanted = append(wanted, WantedPartition{Partition: pt, Epoch: 1 + uint64(pt%2)})
	}
	re.SetRanges(ranges)
	re.ApplyHeartbeat(beat(1), 11*second)
	reply, _ := re.Grant(wanted, 14*second, 11*second)
	token := reply.Holds[0].FencingToken
	is.True(token > 1<<startBits) // the neighbour's

	re.ApplyHeartbeat(beat(2), 20*second) // the holds have lapsed
	reply, _ = re.Grant(wanted[:1], 23*second, 20*second)
	is.True(reply.Holds[0].FencingToken >= token) // the server takes none below what it has seen

	re.ApplyHeartbeat(Heartbeat{ID: "s2", StartedAt: 2, Sequence: 1}, 21*second)
	reply, _ = re.Grant(wanted[:1], 24*second, 21*second)
	is.True(reply.Holds[0].FencingToken > token) // another start needs a higher one
}

// TestHandover passes the word of the former holder on until the server holds
// the range, and gives the own server's word to the next holder.
func TestHandover(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	re.ApplyHeartbeat(beat(1), 11*second)
	re.SetReceivedHandover(2, "word")
	reply, _ := re.Grant(wants(7, 2), 14*second, 11*second)
	is.Equal(reply.Holds[0].Handover, "word")
	re.ApplyHeartbeat(beat(2, reply.Holds[0]), 12*second)
	reply, _ = re.Grant(wants(7, 2), 15*second, 12*second)
	is.Equal(reply.Holds[0].Handover, "")
	freed := beat(3)
	freed.Released = []Hold{{Range: placer.Range{From: 20, To: 29}, Handover: "next"}}
	re.ApplyHeartbeat(freed, 13*second)
	is.Equal(re.ReleasedHandover(2), "next")
}

// TestReplyFits lets one server hold all of a large service.
func TestReplyFits(t *testing.T) {
	is := is.New(t)
	re, err := New(Start(0), Term(term))
	is.NoErr(err)
	var (
		ranges []placer.Range
		wanted []WantedPartition
	)
	for pt := range uint32(512) {
		ranges = append(ranges, placer.Range{From: pt * 128, To: pt*128 + 127})
		wanted = append(wanted, WantedPartition{Partition: pt, Epoch: 1_000_000 + uint64(pt)})
	}
	re.SetRanges(ranges)
	re.ApplyHeartbeat(beat(1), 11*second)
	reply, granted := re.Grant(wanted, 14*second, 11*second)
	is.Equal(len(granted), 512)
	size := 0
	for _, ho := range reply.Holds {
		size += len(fmt.Sprintf("[%d,%d,%d,%q],", ho.Range.From, ho.Range.To, ho.FencingToken, ho.Handover))
	}
	is.True(size < 4096)
}

// TestState follows a server's life.
func TestState(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	is.Equal(re.State(11*second), Unknown)
	re.ApplyHeartbeat(beat(1), 11*second)
	is.Equal(re.State(12*second), Ready)
	is.Equal(re.State(14*second), Silent)
	re.ApplyHeartbeat(beat(2), 15*second)
	re.MarkDown()
	is.Equal(re.State(15*second), Down)
	re.ApplyHeartbeat(beat(3), 16*second)
	is.Equal(re.State(16*second), Ready)
	is.True(!re.MarkLeaving("another"))
	is.True(re.MarkLeaving("s1"))
	is.Equal(re.State(16*second), Draining)
	is.Equal(re.State(16*second).String(), "draining")
}
