package leaser

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestReplacementKeepsLease replaces two of three watchers at once.
func TestReplacementKeepsLease(t *testing.T) {
	is := is.New(t)
	ho, err := NewHolder(HolderIncarnation(100), HolderTerm(timer.Second))
	is.NoErr(err)
	ack := func(watcher uint64, at timer.Instant) { ho.Acknowledge(Ack{Watcher: watcher, Holder: 100, SentAt: at}) }
	former := Row{Incarnation: 100, Version: 1, Watchers: []WatcherID{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3}}}
	next := Row{Incarnation: 100, Version: 1, Watchers: []WatcherID{{Incarnation: 3}, {Incarnation: 4}, {Incarnation: 5}}}
	ho.Commit(former)
	for _, watcher := range []uint64{1, 2, 3} {
		ack(watcher, 0)
	}
	now := timer.Instant(100 * timer.Millisecond)
	ho.Prepare(next)
	is.Equal(len(ho.Targets()), 5)
	is.True(ho.IsValid(now)) // still rests on the former row alone
	is.True(!ho.IsPrepared(now))
	ack(4, now)
	is.True(ho.IsPrepared(now))
	ho.Propose(next)
	is.True(ho.IsValid(now)) // no lapse
	committed := next
	committed.Version = 2
	ho.Commit(committed)
	is.True(ho.IsValid(now))
	is.Equal(len(ho.Targets()), 3)
}
