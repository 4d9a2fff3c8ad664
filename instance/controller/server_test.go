package controller

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// recorder keeps the datagrams sent.
type recorder struct {
	sent map[string][]*peerproto.Datagram
}

func (re *recorder) Send(to netip.AddrPort, da *peerproto.Datagram) error {
	re.sent[to.String()] = append(re.sent[to.String()], da)
	return nil
}

// never is a configuration that never changes.
type never struct{}

func (never) Await(ctx context.Context, _ string, _ time.Duration) (ConfigResult, error) {
	<-ctx.Done()
	return ConfigResult{}, ctx.Err()
}

// sidecar is a controller beside a server that announces itself, driven event by
// event.
type sidecar struct {
	*Controller
	t   *testing.T
	clk *timer.Manual
	re  *recorder
	seq uint64
}

func newSidecar(t *testing.T, incarnation uint64) *sidecar {
	t.Helper()
	is := is.New(t)
	sc := &sidecar{t: t, clk: timer.NewManual(timer.Instant(100 * timer.Second)), re: &recorder{sent: map[string][]*peerproto.Datagram{}}}
	pu := publisher.New(sc.clk, publisher.Self{BackendServer: name(incarnation), Service: "counter", DataCentre: "x", Incarnation: incarnation})
	re, err := registrar.New(registrar.Start(sc.clk.Now()), registrar.Term(3*timer.Second))
	is.NoErr(err)
	sc.Controller, err = New(WithTable(newFakeTable()), WithConfigSource(never{}), WithRegistrar(re), WithPeers(silent{}),
		WithSender(sc.re), WithBuckets(silent{}), WithPublisher(pu), WithLeaseTerm(3*timer.Second))
	is.NoErr(err)
	sc.ctx = context.Background()
	sc.lease()
	return sc
}

// lease makes the lease valid for a term from now.
func (sc *sidecar) lease() {
	sc.ho.Commit(leaser.Row{Incarnation: sc.self.Incarnation, Version: 1, Watchers: []leaser.WatcherID{{Incarnation: 99}}})
	sc.ho.Acknowledge(leaser.Ack{Watcher: 99, Holder: sc.self.Incarnation, SentAt: sc.clk.Now()})
	sc.publishLease()
}

// beat delivers a heartbeat and returns the reply, or false if it is held open.
func (sc *sidecar) beat(holds, freed []registrar.Hold) (registrar.Reply, bool) {
	sc.seq++
	reply := make(chan registrar.Reply, 1)
	sc.handle(heartbeatArrived{reply: reply, heartbeat: registrar.Heartbeat{
		ID: "s1", StartedAt: 1, Sequence: sc.seq, Slots: 4, Holds: holds, Released: freed,
	}})
	select {
	case re := <-reply:
		return re, true
	default:
		return registrar.Reply{}, false
	}
}

func numbered(partitions uint32) placer.Map {
	ma := placer.NewMap("counter", partitions)
	ma.KeySpace = 1 << 16
	return ma
}

// TestMoveOfHeldKeys moves a partition whose server holds it: it is served until
// the server is told, and released with the server's word once it is given up.
func TestMoveOfHeldKeys(t *testing.T) {
	is := is.New(t)
	former := newSidecar(t, 1)
	first := mapWith(numbered(32), 1)
	former.apply(t, first)
	reply, ok := former.beat(nil, nil)
	is.True(ok)
	is.Equal(len(reply.Holds), 32)
	second := mapWith(first, 2)
	moved := placer.NewTable(second).OwnedBy(2)
	pt := moved[0]
	_, isServed := former.pu.Enter("counter", pt)
	is.True(isServed)
	former.pu.Leave("counter", pt)

	former.apply(t, second)
	_, isServed = former.pu.Enter("counter", pt)
	is.True(isServed) // the server has not been told yet
	former.pu.Leave("counter", pt)
	ask := &peerproto.ReleaseRequest{Service: "counter", MapVersion: second.Version, Partitions: []uint32{pt}, Holder: 1}
	is.Equal(len(former.onRelease(ask).GetReleased()), 0)

	kept, ok := former.beat(reply.Holds, nil)
	is.True(ok)
	is.Equal(len(kept.Holds), 32-len(moved))
	_, isServed = former.pu.Enter("counter", pt)
	is.True(!isServed) // no new work once the server is told
	is.Equal(len(former.onRelease(ask).GetReleased()), 0)

	ra, _ := placer.NewTable(second).Range(pt)
	former.beat(kept.Holds, []registrar.Hold{{Range: ra, Handover: "word"}})
	answer := former.onRelease(ask)
	is.Equal(answer.GetReleased(), []uint32{pt})
	is.Equal(answer.GetHandovers(), []string{"word"})

	latter := newSidecar(t, 2)
	latter.apply(t, second)
	latter.beat(nil, nil)
	is.True(latter.open != nil) // the reply waits for the release
	for _, other := range moved {
		latter.onReleased(released{service: "counter", holder: 1, answer: &peerproto.ReleaseResponse{Released: []uint32{other}, Handovers: []string{"word"}}})
	}
	is.True(latter.open == nil)
	is.True(latter.pu.Owns("counter", pt))
}

// TestLostHeartbeat holds a heartbeat open whose connection breaks: nothing is
// served on a reply that nobody takes, and the server's next copy of the heartbeat
// gets the reply.
func TestLostHeartbeat(t *testing.T) {
	is := is.New(t)
	ma := mapWith(mapWith(numbered(32), 1), 2)
	moved := placer.NewTable(ma).OwnedBy(2)
	sc := newSidecar(t, 2)
	sc.apply(t, ma)
	send := func(gone <-chan struct{}) <-chan registrar.Reply {
		reply := make(chan registrar.Reply, 1)
		sc.handle(heartbeatArrived{reply: reply, gone: gone, heartbeat: registrar.Heartbeat{ID: "s1", StartedAt: 1, Sequence: 1, Slots: 4}})
		return reply
	}
	gone := make(chan struct{})
	send(gone)
	is.True(sc.open != nil) // it waits for the release
	close(gone)
	sc.onReleased(released{service: "counter", holder: 1, answer: &peerproto.ReleaseResponse{Released: moved}})
	is.Equal(len(sc.tenures["counter"].pending), 0)
	_, isServed := sc.pu.Enter("counter", moved[0])
	is.True(!isServed) // the server was not told

	reply := <-send(nil)
	is.Equal(len(reply.Holds), len(moved))
	_, isServed = sc.pu.Enter("counter", moved[0])
	is.True(isServed)
}

// TestPredecessorsHoldIsNotReleased asks an instance that has just started for
// what its predecessor may have granted.
func TestPredecessorsHoldIsNotReleased(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	ma := mapWith(numbered(32), 1, 2)
	sc.apply(t, ma)
	pt := placer.NewTable(ma).OwnedBy(2)[0]
	ask := &peerproto.ReleaseRequest{Service: "counter", MapVersion: ma.Version, Partitions: []uint32{pt}, Holder: 1}
	is.Equal(len(sc.onRelease(ask).GetReleased()), 0)
	sc.clk.Advance(3 * timer.Second)
	is.Equal(len(sc.onRelease(ask).GetReleased()), 1) // a term has passed
}

// TestWeightFollowsServer gives the keys of a server away that is not there.
func TestWeightFollowsServer(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	is.Equal(sc.weight(), uint32(0))
	sc.beat(nil, nil)
	is.Equal(sc.weight(), uint32(placer.FullWeight))
	sc.clk.Advance(4 * timer.Second)
	is.Equal(sc.weight(), uint32(0)) // silent
	sc.beat(nil, nil)
	is.Equal(sc.weight(), uint32(placer.FullWeight))
	sc.handle(serverRefused{})
	is.Equal(sc.weight(), uint32(0))
}

// TestPollersFailOver lets another member read the configuration if the first one
// can't.
func TestPollersFailOver(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 2)
	sc.isJoined = true
	ma := placer.NewMap(folder.LimitsService, 8).NextVersion(0)
	for incarnation, address := range map[uint64]string{1: "127.0.0.1:1", 2: "127.0.0.1:2", 3: "127.0.0.1:3"} {
		ma = ma.WithMember(placer.Member{BackendServer: name(incarnation), Incarnation: incarnation, DataCentre: "x", Address: address, Weight: placer.FullWeight})
	}
	sc.apply(t, ma)
	sc.fr.SetDataCentres(centreNames(cataloguer.Catalogue{DataCentres: []cataloguer.DataCentre{{Name: "x"}}}))
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller()) // member 1 is
	sc.clk.Advance(lateRead)
	is.True(sc.isPoller()) // nobody has told of a success for too long
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller())
	sc.onDatagram(&peerproto.Datagram{From: 1, To: 2, Poll: true, Documents: sc.ds.hash}, netip.MustParseAddrPort("127.0.0.1:1"))
	is.True(sc.isPoller()) // member 1 asked
	sc.clk.Advance(passedPolling)
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller())
	sc.onConfig(configAwaited{err: errors.New("refused"), readAt: sc.clk.Now()}, sc.clk.Now())
	is.Equal(len(sc.re.sent["127.0.0.1:3"]), 1) // a reader that fails asks the next one
	is.True(sc.re.sent["127.0.0.1:3"][0].GetPoll())
}
