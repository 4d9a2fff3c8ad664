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

// recorder records the datagrams sent, by address.
type recorder struct {
	sent map[string][]*peerproto.Datagram
}

func (re *recorder) Send(to netip.AddrPort, da *peerproto.Datagram) error {
	re.sent[to.String()] = append(re.sent[to.String()], da)
	return nil
}

// blockedSource is a configuration source that never changes.
type blockedSource struct{}

func (blockedSource) Await(ctx context.Context, _ string, _ time.Duration) (ConfigResult, error) {
	<-ctx.Done()
	return ConfigResult{}, ctx.Err()
}

// sidecar is a controller whose backend server sends heartbeats. The test drives it
// event by event.
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
	sc.Controller, err = New(WithTable(newFakeTable()), WithConfigSource(blockedSource{}), WithRegistrar(re), WithPeers(noopPorts{}),
		WithSender(sc.re), WithBuckets(noopPorts{}), WithPublisher(pu), WithLeaseTerm(3*timer.Second))
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

// beat delivers a heartbeat and returns the reply, or false if the reply is delayed.
func (sc *sidecar) beat(holds, freed []registrar.Hold) (registrar.Reply, bool) {
	sc.seq++
	reply := make(chan registrar.Reply, 1)
	sc.handle(heartbeatReceived{reply: reply, heartbeat: registrar.Heartbeat{
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

// TestMoveOfHeldKeys moves a partition that the server holds. It must be served until
// a heartbeat reply excludes it, and released, with the server's hand-over value,
// only after the server has freed it.
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
	is.True(isServed) // no heartbeat reply has excluded it yet
	former.pu.Leave("counter", pt)
	request := &peerproto.ReleaseRequest{Service: "counter", MapVersion: second.Version, Partitions: []uint32{pt}, Holder: 1}
	is.Equal(len(former.onRelease(request).GetReleased()), 0)

	kept, ok := former.beat(reply.Holds, nil)
	is.True(ok)
	is.Equal(len(kept.Holds), 32-len(moved))
	_, isServed = former.pu.Enter("counter", pt)
	is.True(!isServed) // no new work once a reply has excluded it
	is.Equal(len(former.onRelease(request).GetReleased()), 0)

	ra, _ := placer.NewTable(second).Range(pt)
	former.beat(kept.Holds, []registrar.Hold{{Range: ra, Handover: "word"}})
	answer := former.onRelease(request)
	is.Equal(answer.GetReleased(), []uint32{pt})
	is.Equal(answer.GetHandovers(), []string{"word"})

	latter := newSidecar(t, 2)
	latter.apply(t, second)
	latter.beat(nil, nil)
	is.True(latter.heldHeartbeat != nil) // the reply waits for the release
	for _, other := range moved {
		latter.onReleaseAnswered(releaseAnswered{service: "counter", holder: 1, answer: &peerproto.ReleaseResponse{Released: []uint32{other}, Handovers: []string{"word"}}})
	}
	is.True(latter.heldHeartbeat == nil)
	is.True(latter.pu.Owns("counter", pt))
}

// TestLostHeartbeat breaks the connection of a heartbeat while its reply is delayed.
// It guards against serving partitions of which the server was never told. The next
// copy of the heartbeat gets the reply.
func TestLostHeartbeat(t *testing.T) {
	is := is.New(t)
	ma := mapWith(mapWith(numbered(32), 1), 2)
	moved := placer.NewTable(ma).OwnedBy(2)
	sc := newSidecar(t, 2)
	sc.apply(t, ma)
	send := func(abandoned <-chan struct{}) <-chan registrar.Reply {
		reply := make(chan registrar.Reply, 1)
		sc.handle(heartbeatReceived{reply: reply, abandoned: abandoned, heartbeat: registrar.Heartbeat{ID: "s1", StartedAt: 1, Sequence: 1, Slots: 4}})
		return reply
	}
	abandoned := make(chan struct{})
	send(abandoned)
	is.True(sc.heldHeartbeat != nil) // it waits for the release
	close(abandoned)
	sc.onReleaseAnswered(releaseAnswered{service: "counter", holder: 1, answer: &peerproto.ReleaseResponse{Released: moved}})
	is.Equal(len(sc.ownerships["counter"].pending), 0)
	_, isServed := sc.pu.Enter("counter", moved[0])
	is.True(!isServed) // the server got no reply

	reply := <-send(nil)
	is.Equal(len(reply.Holds), len(moved))
	_, isServed = sc.pu.Enter("counter", moved[0])
	is.True(isServed)
}

// TestPredecessorsHoldIsNotReleased guards against an instance that has just started
// and releases a partition that its predecessor may have granted to the server.
func TestPredecessorsHoldIsNotReleased(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	predecessor := placer.Member{BackendServer: name(1), Incarnation: 7, Weight: placer.FullWeight}
	ma := numbered(32).NextVersion(0).WithMember(predecessor)
	ma = mapWith(ma.NextVersion(0).WithoutMember(name(1), 7), 1)
	ma = mapWith(ma, 2)
	sc.apply(t, ma)
	pt := placer.NewTable(ma).OwnedBy(2)[0]
	request := &peerproto.ReleaseRequest{Service: "counter", MapVersion: ma.Version, Partitions: []uint32{pt}, Holder: 1}
	is.Equal(len(sc.onRelease(request).GetReleased()), 0)
	sc.beat(nil, nil) // may have been sent before the predecessor's grants
	is.Equal(len(sc.onRelease(request).GetReleased()), 0)
	sc.clk.Advance(3 * timer.Second)
	is.Equal(len(sc.onRelease(request).GetReleased()), 1) // a lease term has passed
}

// TestPartitionsOfNoPredecessorAreReleased guards against a wait for grants that no former
// instance can have made, after every restart.
func TestPartitionsOfNoPredecessorAreReleased(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	ma := mapWith(numbered(32), 1, 2)
	sc.apply(t, ma)
	sc.beat(nil, nil)
	pt := placer.NewTable(ma).OwnedBy(2)[0]
	request := &peerproto.ReleaseRequest{Service: "counter", MapVersion: ma.Version, Partitions: []uint32{pt}, Holder: 1}
	is.Equal(len(sc.onRelease(request).GetReleased()), 1)
}

// TestHoldsOfServerStandForReleases restarts the instance beside a server that holds its
// keys. It guards against a wait for other instances that released these keys long ago and
// may have started again themselves.
func TestHoldsOfServerStandForReleases(t *testing.T) {
	is := is.New(t)
	moved := mapWith(mapWith(numbered(32), 2), 1)
	former := newSidecar(t, 1)
	former.apply(t, moved)
	owned := placer.NewTable(moved).OwnedBy(1)
	former.onReleaseAnswered(releaseAnswered{service: "counter", holder: 2, answer: &peerproto.ReleaseResponse{Released: owned}})
	reply, ok := former.beat(nil, nil)
	is.True(ok)
	is.Equal(len(reply.Holds), len(owned))

	me, _ := moved.Member(name(1))
	restarted := moved.NextVersion(0).WithoutMember(me.BackendServer, 1)
	me.Incarnation = 11
	restarted = restarted.WithMember(me)
	next := former.successor(11)
	next.apply(t, restarted)
	is.Equal(len(next.ownerships["counter"].pending), len(owned))
	next.seq = former.seq
	_, ok = next.beat(reply.Holds[1:], nil)
	is.True(!ok) // one partition is not known to be released
	is.Equal(len(next.ownerships["counter"].pending), 1)
	next.seq++
	_, ok = next.beat(reply.Holds, nil)
	is.True(ok)
	is.Equal(len(next.ownerships["counter"].pending), 0)
}

// TestFirstHeartbeatAwaitsTheMap guards against a server that has to wait for its second
// heartbeat after a restart until it gets its keys.
func TestFirstHeartbeatAwaitsTheMap(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	reply := make(chan registrar.Reply, 1)
	sc.handle(heartbeatReceived{reply: reply, heartbeat: registrar.Heartbeat{ID: "s1", StartedAt: 1, Sequence: 1, Slots: 4}})
	is.Equal(len(reply), 0)
	sc.apply(t, mapWith(numbered(32), 1))
	is.Equal(len((<-reply).Holds), 32)

	late := newSidecar(t, 1)
	late.handle(heartbeatReceived{reply: reply, heartbeat: registrar.Heartbeat{ID: "s1", StartedAt: 1, Sequence: 1, Slots: 4}})
	late.clk.Advance(acquireReplyTimeout)
	late.replyIfDue(late.clk.Now())
	is.Equal(len((<-reply).Holds), 0) // the server gives up on a later reply
}

// TestWeightFollowsServer sets the weight to 0 while the server is absent, silent or
// refuses connections, so that others get its keys.
func TestWeightFollowsServer(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	is.Equal(sc.weight(), uint32(0))
	sc.beat(nil, nil)
	is.Equal(sc.weight(), uint32(placer.FullWeight))
	sc.clk.Advance(4 * timer.Second)
	is.Equal(sc.weight(), uint32(0)) // no heartbeat for 4 s
	sc.beat(nil, nil)
	is.Equal(sc.weight(), uint32(placer.FullWeight))
	sc.handle(connectionRefused{attemptedAt: sc.clk.Now()})
	is.Equal(sc.weight(), uint32(0))
}

// TestPollersFailOver guards against a fleet that no longer reads the configuration
// because its first poller can't.
func TestPollersFailOver(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 2)
	sc.isJoined = true
	ma := placer.NewMap(folder.LimitsService, 8).NextVersion(0)
	for incarnation, address := range map[uint64]string{1: "127.0.0.1:1", 2: "127.0.0.1:2", 3: "127.0.0.1:3"} {
		ma = ma.WithMember(placer.Member{BackendServer: name(incarnation), Incarnation: incarnation, DataCentre: "x", Address: address, Weight: placer.FullWeight})
	}
	sc.apply(t, ma)
	sc.fr.SetDataCentres(dataCentreNames(cataloguer.Catalogue{DataCentres: []cataloguer.DataCentre{{Name: "x"}}}))
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller()) // member 1 is
	sc.clk.Advance(lateReadAge)
	is.True(sc.isPoller()) // the latest known success is too old
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller())
	sc.onDatagram(&peerproto.Datagram{From: 1, To: 2, Poll: true, Documents: sc.ds.hash}, netip.MustParseAddrPort("127.0.0.1:1"))
	is.True(sc.isPoller()) // member 1 requested it
	sc.clk.Advance(delegatedPollSpan)
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	is.True(!sc.isPoller())
	sc.onConfig(configPolled{err: errors.New("refused"), readAt: sc.clk.Now()}, sc.clk.Now())
	is.Equal(len(sc.re.sent["127.0.0.1:3"]), 1) // a poller that fails delegates to the next one
	is.True(sc.re.sent["127.0.0.1:3"][0].GetPoll())
}

// TestLeavingInAnAnswerMovesTheKeys: the server announces its end in an answer before any
// heartbeat says so.
func TestLeavingInAnAnswerMovesTheKeys(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	sc.beat(nil, nil)
	sc.ReportServerLeaving("another")
	sc.handle(<-sc.events)
	is.Equal(sc.weight(), uint32(placer.FullWeight))
	sc.ReportServerLeaving("s1")
	sc.handle(<-sc.events)
	is.Equal(sc.weight(), uint32(0))
	is.Equal(sc.pu.BackendServer().RefuseAt, sc.clk.Now().Add(registrar.DrainServeSpan))
	sc.clk.Advance(timer.Second)
	sc.beat(nil, nil) // a heartbeat that was sent before says "ready"
	is.Equal(sc.weight(), uint32(0))
	is.Equal(sc.pu.BackendServer().RefuseAt, sc.clk.Now().Add(registrar.DrainServeSpan-timer.Second))
}

// TestRestartedInstanceRefusesForADrainingServer: an instance that starts beside a server
// that drains already can't tell how long ago its predecessor acknowledged that.
func TestRestartedInstanceRefusesForADrainingServer(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	sc.handle(heartbeatReceived{reply: make(chan registrar.Reply, 1), heartbeat: registrar.Heartbeat{
		ID: "s1", StartedAt: 1, Sequence: 7, Slots: 4, IsDraining: true,
	}})
	bs := sc.pu.BackendServer()
	is.True(bs.RefuseAt != 0)
	is.True(bs.RefuseAt <= sc.clk.Now())
}

// TestNewerConfigIsFetched guards against an instance that learns from an answer that its
// configuration is outdated, and waits for a datagram all the same.
func TestNewerConfigIsFetched(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	sc.ds.config.Version = 16
	peer := placer.Member{Incarnation: 2, Address: "127.0.0.1:2"}
	sc.ReportNewerConfig(peer, 16)
	sc.handle(<-sc.events)
	is.True(!sc.isSyncing[peer.Incarnation])
	sc.ReportNewerConfig(peer, 20)
	sc.handle(<-sc.events)
	is.True(sc.isSyncing[peer.Incarnation])
}

// TestUninformedInstanceReadsMaps guards against an instance that goes on sending requests by
// old maps while all that would tell it of new ones have gone.
func TestUninformedInstanceReadsMaps(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 9)
	sc.isJoined = true
	ma := placer.NewMap(folder.LimitsService, 8).NextVersion(0)
	for _, incarnation := range []uint64{1, 2, 3, 9} {
		ma = ma.WithMember(placer.Member{BackendServer: name(incarnation), Incarnation: incarnation, DataCentre: "x", Weight: placer.FullWeight})
	}
	sc.apply(t, ma)
	sc.fr.SetDataCentres([]string{"x"})
	sc.fr.RecordAttempt("x", sc.clk.Now(), true)
	sc.nextPollAt = sc.clk.Now().Add(mapsInterval)
	sc.pollConfig(sc.clk.Now())
	is.True(!sc.isMapReadDue)
	sc.clk.Advance(lateReadAge)
	sc.pollConfig(sc.clk.Now())
	is.True(sc.isMapReadDue)
	is.True(!sc.clk.Now().Before(sc.nextPollAt))
}
