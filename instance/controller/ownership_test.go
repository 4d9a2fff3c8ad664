package controller

import (
	"context"
	"net/netip"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// noopPorts is a fake of all ports of a controller that a test drives event by event.
// Its calls fail and its datagrams are dropped.
type noopPorts struct{}

func (noopPorts) Sync(context.Context, string, *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	return nil, errNoAnswer
}

func (noopPorts) Revoke(context.Context, string, *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error) {
	return nil, errNoAnswer
}

func (noopPorts) Release(context.Context, string, *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	return nil, errNoAnswer
}

func (noopPorts) Send(netip.AddrPort, *peerproto.Datagram) error { return nil }

func (noopPorts) Export(uint32) []*peerproto.Bucket { return nil }

func (noopPorts) Import(uint32, uint64, []*peerproto.Bucket, bool, int, timer.Instant) {}

// newMember returns a controller with that incarnation, a clock that does not advance
// and a lease of an hour.
func newMember(t *testing.T, incarnation uint64) *Controller {
	t.Helper()
	clk := timer.NewManual(timer.Instant(timer.Second))
	pu := publisher.New(clk, publisher.Self{BackendServer: name(incarnation), Service: "counter", Incarnation: incarnation})
	co, err := New(WithTable(newFakeTable()), WithObjects(&fakeObjects{}), WithPeers(noopPorts{}), WithSender(noopPorts{}),
		WithBuckets(noopPorts{}), WithPublisher(pu))
	is.New(t).NoErr(err)
	co.ctx = context.Background()
	pu.SetLeaseUntil(timer.Instant(3600 * timer.Second))
	return co
}

func name(incarnation uint64) string { return string(rune('a' + incarnation)) }

// apply makes a controller apply the map.
func (co *Controller) apply(t *testing.T, ma placer.Map) {
	t.Helper()
	content, err := encoder.EncodeMap(ma)
	is.New(t).NoErr(err)
	co.onDocuments(documentsFetched{documents: []Document{{Name: MapPrefix + ma.Service, Version: ma.Version, Content: content}}}, co.pu.Now())
}

func mapWith(ma placer.Map, incarnations ...uint64) placer.Map {
	ma = ma.NextVersion(0)
	for _, incarnation := range incarnations {
		ma = ma.WithMember(placer.Member{BackendServer: name(incarnation), Incarnation: incarnation, Weight: placer.FullWeight})
	}
	return ma
}

// TestHandover moves partitions from one member to another, event by event. It
// guards against two owners at the same time.
func TestHandover(t *testing.T) {
	is := is.New(t)
	first := mapWith(placer.NewMap("counter", 32), 1)
	second := mapWith(first, 2)
	former, latter := newMember(t, 1), newMember(t, 2)
	former.apply(t, first)
	moved := placer.NewTable(second).OwnedBy(2)
	is.True(len(moved) > 0)
	pt := moved[0]
	is.True(former.pu.Owns("counter", pt)) // it had no prior owner

	latter.apply(t, second)
	is.Equal(latter.pu.Owns("counter", pt), false) // not before the release
	request := &peerproto.ReleaseRequest{Service: "counter", MapVersion: second.Version, Partitions: moved, Holder: 1}
	is.Equal(len(former.onRelease(request).GetReleased()), 0) // it has applied only an older map
	bystander := newMember(t, 3)
	bystander.apply(t, first)
	early := &peerproto.ReleaseRequest{Service: "counter", MapVersion: second.Version, Partitions: moved, Holder: 3}
	is.Equal(len(bystander.onRelease(early).GetReleased()), 0) // a map in between may still assign it the partition
	_, ok := former.pu.Enter("counter", pt)
	is.True(ok) // work starts
	former.apply(t, second)
	is.Equal(former.pu.Owns("counter", pt), false)
	answer := former.onRelease(request)
	is.Equal(len(answer.GetReleased()), len(moved)-1) // without the partition on which work still runs
	latter.onReleaseAnswered(releaseAnswered{service: "counter", holder: 1, answer: answer})
	is.Equal(latter.pu.Owns("counter", pt), false)
	former.pu.Leave("counter", pt)
	answer = former.onRelease(request)
	is.Equal(len(answer.GetReleased()), len(moved))
	latter.onReleaseAnswered(releaseAnswered{service: "counter", holder: 1, answer: answer})
	is.True(latter.pu.Owns("counter", pt))
	other := &peerproto.ReleaseRequest{Service: "counter", MapVersion: second.Version, Partitions: moved, Holder: 9}
	is.Equal(len(former.onRelease(other).GetReleased()), 0) // it can't answer for another incarnation
}

// TestRemovedOwnerNeedsNoRelease acquires partitions of a member that was removed
// from the map. A removed member can't answer a release request, so waiting for
// one would never end.
func TestRemovedOwnerNeedsNoRelease(t *testing.T) {
	is := is.New(t)
	first := mapWith(placer.NewMap("counter", 64), 1)
	second := mapWith(first, 2)
	third := second.NextVersion(0).WithoutMember(name(1), 1)
	latter := newMember(t, 2)
	latter.apply(t, third)
	for pt := range uint32(64) {
		is.True(latter.pu.Owns("counter", pt)) // the removal proves that the former owner has stopped
	}
}

// TestRevokedMemberEnds guards against a member that goes on after it was removed
// from the maps.
func TestRevokedMemberEnds(t *testing.T) {
	is := is.New(t)
	limits := mapWith(placer.NewMap(folder.LimitsService, 8), 1, 2)
	co := newMember(t, 1)
	co.isJoined = true
	co.apply(t, limits)
	is.NoErr(co.err)
	co.apply(t, limits.NextVersion(0).WithoutMember(name(1), 1))
	is.Equal(co.err, ErrRevoked)
}

// importer records the arguments since and losses of Import, by partition.
type importer struct {
	noopPorts
	since  map[uint32]timer.Instant
	losses map[uint32]int
}

func (im importer) Import(pt uint32, _ uint64, _ []*peerproto.Bucket, _ bool, losses int, since timer.Instant) {
	im.since[pt], im.losses[pt] = since, losses
}

// TestBucketsOfFormerSelf checks from when lost buckets refill: those of a former
// incarnation on this VM from this one's start, those of others only from when their
// owner is known to be lost.
func TestBucketsOfFormerSelf(t *testing.T) {
	for _, cas := range []struct {
		name     string
		lost     placer.Member
		isFormer bool
	}{
		{"on this VM", placer.Member{BackendServer: name(1), Incarnation: 9, Address: "10.0.0.1:7780", Weight: placer.FullWeight}, true},
		{"of that name elsewhere", placer.Member{BackendServer: name(1), Incarnation: 9, Address: "10.0.0.2:7780", Weight: placer.FullWeight}, false},
		{"another", placer.Member{BackendServer: name(8), Incarnation: 9, Address: "10.0.0.1:7780", Weight: placer.FullWeight}, false},
	} {
		t.Run(cas.name, func(t *testing.T) {
			is := is.New(t)
			self := placer.Member{BackendServer: name(1), Incarnation: 1, Address: "10.0.0.1:7780", Weight: placer.FullWeight}
			co := newMember(t, 1)
			co.self.Address = self.Address
			im := importer{since: map[uint32]timer.Instant{}, losses: map[uint32]int{}}
			co.buckets = im
			co.startedAt = co.pu.Now().Add(-2 * timer.Second)
			ma := placer.NewMap(folder.LimitsService, 8).NextVersion(0).WithMember(cas.lost)
			co.apply(t, ma.NextVersion(0).WithoutMember(cas.lost.BackendServer, cas.lost.Incarnation).WithMember(self))
			is.Equal(len(im.since), 8)
			want := co.pu.Now()
			if cas.isFormer {
				want = co.startedAt
			}
			for pt, since := range im.since {
				is.Equal(since, want)
				is.Equal(im.losses[pt], 1)
			}
		})
	}
}

// TestPlannedStopWaitsForRunningWork guards against a planned stop that ends while
// work still runs on a partition that was handed over.
func TestPlannedStopWaitsForRunningWork(t *testing.T) {
	is := is.New(t)
	first := mapWith(placer.NewMap("counter", 8), 1)
	co := newMember(t, 1)
	co.ds.config = cataloguer.Config{Version: 1}
	co.apply(t, first)
	is.Equal(co.hasHandedOver(), false)
	_, ok := co.pu.Enter("counter", 3)
	is.True(ok)
	co.apply(t, first.NextVersion(0).WithMember(placer.Member{BackendServer: name(1), Incarnation: 1}).WithMember(placer.Member{BackendServer: name(2), Incarnation: 2, Weight: 1}))
	is.Equal(co.hasHandedOver(), false) // work still runs
	co.pu.Leave("counter", 3)
	is.True(co.hasHandedOver())
}

// TestReportOnceAtRest checks that an instance reports once that it has acquired all
// its partitions, and only after the map has been stable for long enough.
func TestReportOnceAtRest(t *testing.T) {
	is := is.New(t)
	first := mapWith(placer.NewMap("counter", 8), 1)
	second := mapWith(first, 2)
	co := newMember(t, 2)
	co.isJoined, co.settleChanges = true, 1
	co.apply(t, second)
	ow := co.ownerships["counter"]
	late := co.pu.Now().Add(settleAfter + settleSpread)
	is.Equal(co.isReportDue(ow, late), false) // the former owner has not released yet
	request := &peerproto.ReleaseResponse{}
	for pt := range uint32(8) {
		request.Released = append(request.Released, pt)
	}
	co.onReleaseAnswered(releaseAnswered{service: "counter", holder: 1, answer: request})
	is.Equal(co.isReportDue(ow, co.pu.Now()), false) // the map has just changed
	is.True(co.isReportDue(ow, late))
	co.reportSettled(late)
	is.Equal(co.reported["counter"], second.Version)
	is.Equal(co.isReportDue(ow, late), false) // reported already
}

// TestEventsDoNotPostponeTicks guards against events that arrive faster than the tick
// interval and so starve the ticks.
func TestEventsDoNotPostponeTicks(t *testing.T) {
	is := is.New(t)
	co := newMember(t, 1)
	co.isFetching = true // no poll that would leave this goroutine
	now, ticks, last := co.pu.Now(), 0, timer.Instant(0)
	for range 1000 {
		now = now.Add(timer.Millisecond)
		isDue := !now.Before(co.nextTickAt)
		co.step(now)
		if isDue {
			ticks++
			last = now
		}
		is.True(now.Sub(last) <= 2*idleInterval)
	}
	is.True(ticks > 5)
}

// TestWatchersAreOfTheOwnRegion offers candidates of two regions. It guards against
// watchers that a network partition between regions makes unreachable.
func TestWatchersAreOfTheOwnRegion(t *testing.T) {
	is := is.New(t)
	co := newMember(t, 1)
	co.self.Region = "south"
	limits := placer.NewMap(folder.LimitsService, 8).NextVersion(0)
	for i := range uint64(12) {
		centre := string(rune('p' + i%6))
		limits = limits.WithMember(placer.Member{BackendServer: name(i + 1), Incarnation: i + 1, DataCentre: centre, Weight: 1})
	}
	for i := range 6 {
		region := []string{"north", "south"}[i%2]
		co.ds.config.Catalogue.DataCentres = append(co.ds.config.Catalogue.DataCentres, cataloguer.DataCentre{Name: string(rune('p' + i)), Region: region})
	}
	co.apply(t, limits)
	seen := map[string]bool{}
	for _, wt := range co.chooseWatchers(nil, co.pu.Now()) {
		me, ok := co.ds.member(wt.Incarnation)
		is.True(ok)
		is.True(me.DataCentre == "q" || me.DataCentre == "s" || me.DataCentre == "u") // those of the south
		seen[me.DataCentre] = true
	}
	is.Equal(len(seen), 3) // one in each data centre of the region
}
