package reserver

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const (
	start = timer.Instant(timer.Second)
	mib   = 1 << 20
)

// openBodies opens holders that have each taken bytes of a body at now.
func openBodies(is *is.I, ac *Account, count int, bytes int64, now timer.Instant) []ID {
	is.Helper()
	var ids []ID
	for range count {
		id, _, ok := ac.Open(Caller, 0, now)
		is.True(ok)
		ac.Enter(id, Body, 0, now)
		_, ok = ac.Take(id, bytes, now)
		is.True(ok)
		ids = append(ids, id)
	}
	return ids
}

// TestSmallHoldersHaveRoom guards against large bodies that take the room of ordinary
// requests.
func TestSmallHoldersHaveRoom(t *testing.T) {
	is := is.New(t)
	ac := New(Capacity{Bytes: 16 * mib})
	openBodies(is, ac, 11, mib, start)
	large, _, ok := ac.Open(Caller, 0, start)
	is.True(ok)
	_, ok = ac.Take(large, mib, start)
	is.True(!ok) // the rest is reserved
	openBodies(is, ac, 40, 64<<10, start)
}

// TestStalledIsDropped guards against clients that stop short of the end of their body and
// keep others out, and against the loss of those that go on.
func TestStalledIsDropped(t *testing.T) {
	is := is.New(t)
	ac := New(Capacity{Bytes: 16 * mib})
	ids := openBodies(is, ac, 11, mib, start)
	later := start.Add(2 * timer.Second)
	ac.Enter(ids[0], Run, 0, start)
	for _, id := range ids[2:] {
		ac.Advance(id, progressBytes, later)
	}
	ac.Advance(ids[1], 1, later) // a byte is no progress
	id, _, ok := ac.Open(Caller, 0, later)
	is.True(ok)
	dropped, ok := ac.Take(id, mib, later)
	is.True(ok)
	is.Equal(dropped, []ID{ids[1]}) // neither the one that runs nor those that go on
	_, ok = ac.Take(id, mib, later)
	is.True(!ok)
	_, ok = ac.Take(ids[1], 1, later)
	is.True(!ok) // a dropped holder gets nothing
}

// TestExpire guards against heads, bodies and readers that never end.
func TestExpire(t *testing.T) {
	is := is.New(t)
	ac := New(Capacity{Bytes: 8 * mib})
	head, _, _ := ac.Open(Caller, start.Add(2*timer.Second), start)
	body := openBodies(is, ac, 1, mib, start)[0]
	is.Equal(ac.Expire(start.Add(timer.Second)), nil)
	is.Equal(ac.Expire(start.Add(2*timer.Second)), []ID{head})
	is.Equal(ac.Expire(start.Add(14*timer.Second)), nil) // there is room
	is.Equal(ac.Expire(start.Add(15*timer.Second)), []ID{body})

	now := start.Add(20 * timer.Second)
	ids := openBodies(is, ac, 5, mib, now)
	ac.Enter(ids[0], Run, 0, now)
	_, ok := ac.Take(ids[0], 3*mib/2, now)
	is.True(ok)
	ac.Enter(ids[0], Response, 0, now)
	ac.Enter(ids[1], Run, 0, now)
	for range 4 {
		now = now.Add(timer.Second + timer.Second/2)
		ac.Advance(ids[2], minRate, now) // progress, but less than 1 KiB/s
		ac.Advance(ids[3], 4*minRate, now)
	}
	is.Equal(ac.Expire(now), []ID{ids[0], ids[4]})
	for range 4 {
		now = now.Add(timer.Second + timer.Second/2)
		ac.Advance(ids[2], minRate, now)
		ac.Advance(ids[3], 4*minRate, now)
	}
	_, ok = ac.Take(ids[1], 3*mib, now)
	is.True(ok)
	is.Equal(ac.Expire(now), []ID{ids[2]})
}

// TestConnections guards against idle connections that keep new ones out.
func TestConnections(t *testing.T) {
	is := is.New(t)
	ac := New(Capacity{Connections: 2})
	first, _, _ := ac.Open(Caller, 0, start)
	ac.Enter(first, Idle, 0, start)
	_, _, _ = ac.Open(Caller, 0, start)
	_, _, ok := ac.Open(Caller, 0, start)
	is.True(!ok)
	later := start.Add(timer.Second)
	third, dropped, ok := ac.Open(Caller, 0, later)
	is.True(ok)
	is.Equal(dropped, []ID{first})
	ac.Close(third)
	_, connections := ac.Held()
	is.Equal(connections, 1)
}

// TestIdleReturnsBytes guards against a kept connection that goes on holding its last
// request.
func TestIdleReturnsBytes(t *testing.T) {
	is := is.New(t)
	ac := New(Capacity{Bytes: 16 * mib})
	id := openBodies(is, ac, 1, mib, start)[0]
	ac.Enter(id, Idle, 0, start)
	held, _ := ac.Held()
	is.Equal(held, int64(ConnectionBytes))
	ac.Close(id)
	held, _ = ac.Held()
	is.Equal(held, int64(0))
}

// TestMeasurer guards against a limit that ignores memory held elsewhere, or that counts
// requests which have just ended as such.
func TestMeasurer(t *testing.T) {
	is := is.New(t)
	me := NewMeasurer(100*mib, 16*mib, 12*mib)
	is.Equal(me.Bytes(), int64(84*mib))
	_, ok := me.Sample(0, 10*mib, 64*mib)
	is.True(!ok)
	bytes, ok := me.Sample(1, 80*mib, 0) // of which 64 MiB were held until now
	is.True(ok)
	is.Equal(bytes, int64(84*mib))
	bytes, _ = me.Sample(2, 40*mib, 0)
	is.Equal(bytes, int64(60*mib))
	bytes, _ = me.Sample(3, 200*mib, 0)
	is.Equal(bytes, int64(12*mib))
}
