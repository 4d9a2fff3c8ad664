package controller

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// eraTable is a fakeTable that can come back from an older copy of itself.
type eraTable struct {
	*fakeTable
	era uint64
}

func (et *eraTable) Era() uint64 { return et.era }

func (et *eraTable) Read(ctx context.Context, qu tabler.Query) ([]tabler.Row, error) {
	rows, err := et.fakeTable.Read(ctx, qu)
	for i := range rows {
		rows[i].Version, _ = sequencer.Join(et.era, rows[i].Version)
	}
	return rows, err
}

func (et *eraTable) Commit(ctx context.Context, tx tabler.Transaction) (uint64, error) {
	for i, co := range tx.Conditions {
		if co.Version != 0 && sequencer.Era(co.Version) != et.era {
			return 0, &tabler.ConflictError{Key: co.Key, Expected: co.Version}
		}
		tx.Conditions[i].Version = sequencer.Version(co.Version)
	}
	version, err := et.fakeTable.Commit(ctx, tx)
	if err != nil {
		return 0, err
	}
	return sequencer.Join(et.era, version)
}

func (et *eraTable) copy() map[string]tabler.Row { return maps.Clone(et.rows) }

// restore brings the table back from a copy, in the next era.
func (et *eraTable) restore(rows map[string]tabler.Row) {
	et.rows = maps.Clone(rows)
	et.era++
}

func counterConfig(version uint64) cataloguer.Config {
	co := cataloguer.Config{Version: version}
	co.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 32, KeySpace: 1 << 16}}
	return co
}

func configDocument(is *is.I, co cataloguer.Config) Document {
	content, err := encoder.EncodeConfig(co)
	is.NoErr(err)
	return Document{Name: ConfigKey, Version: co.Version, Content: content}
}

func number(era, version uint64) uint64 {
	joined, err := sequencer.Join(era, version)
	if err != nil {
		panic(err)
	}
	return joined
}

// TestConfigOfLaterEra guards against a configuration that is ignored for good because the store
// came back from an older copy and gave it a lower version than the one in force, and against an
// older configuration that replaces a newer one before operators have written that again.
func TestConfigOfLaterEra(t *testing.T) {
	held := cataloguer.Config{Version: number(1, 40), Revision: 5, Origin: "config@1.40", DrainedDataCentres: []string{"x"}}
	cases := []struct {
		name    string
		read    cataloguer.Config
		want    uint64 // revision in force
		version uint64
		out     []string
	}{
		{"newer under a lower version", cataloguer.Config{Version: number(2, 12), Revision: 9}, 9, number(2, 12), nil},
		{"written again", cataloguer.Config{Version: number(2, 12), Revision: 5, DrainedDataCentres: []string{"x"}}, 5, number(2, 12), []string{"x"}},
		{"not written again yet", cataloguer.Config{Version: number(2, 8), Revision: 2}, 5, sequencer.Keep(number(2, 8)), nil},
		{"of an earlier era", cataloguer.Config{Version: number(1, 39), Revision: 9}, 5, number(1, 40), []string{"x"}},
		{"of the same era", cataloguer.Config{Version: number(1, 41), Revision: 4}, 4, number(1, 41), nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ds := newDocuments()
			_, err := ds.apply(configDocument(is, held))
			is.NoErr(err)
			_, err = ds.apply(configDocument(is, tc.read))
			is.NoErr(err)
			is.Equal(ds.config.Revision, tc.want)
			is.Equal(ds.config.Version, tc.version)
			is.Equal(ds.config.DrainedDataCentres, tc.out)
			// A peer that knows only what the store has takes the same.
			peer := newDocuments()
			_, err = peer.apply(configDocument(is, tc.read))
			is.NoErr(err)
			for _, do := range ds.newerThan(peer.versions()) {
				_, err := peer.apply(do)
				is.NoErr(err)
			}
			is.Equal(peer.config.Revision, tc.want)
			// The next change is in force everywhere.
			next := cataloguer.Config{Version: number(2, 90), Revision: 10}
			_, err = ds.apply(configDocument(is, next))
			is.NoErr(err)
			is.Equal(ds.config.Revision, uint64(10))
		})
	}
}

// TestFoldBuildsOnMapsInForce guards against two owners of one key, and against a fencing token
// that falls: the store comes back with maps from before a member was added, and those who fold
// next build on them.
func TestFoldBuildsOnMapsInForce(t *testing.T) {
	is := is.New(t)
	ft := &eraTable{fakeTable: newFakeTable(), era: 1}
	ts := tableStore{table: ft, externalConfig: func() cataloguer.Config { return counterConfig(number(1, 1)) }, lo: hclog.NewNullLogger()}
	ctx := context.Background()
	write := func(server string, incarnation uint64) {
		ir := rowOf(incarnation, 0)
		ir.BackendServer = server
		found, err := ts.readRow(ctx, server)
		is.NoErr(err)
		ir.Lease.Version = found.Lease.Version
		_, err = ts.writeRow(ctx, ir)
		is.NoErr(err)
	}
	inForce := func(docs []Document) map[string]placer.Map {
		held := map[string]placer.Map{}
		for _, do := range docs {
			ma, err := do.toMap()
			is.NoErr(err)
			held[ma.Service] = ma
		}
		return held
	}
	write("a", 1)
	write("b", 2)
	_, _, err := ts.foldOnce(ctx, foldBasis{})
	is.NoErr(err)
	older := ft.copy()
	write("added", 3)
	docs, _, err := ts.foldOnce(ctx, foldBasis{})
	is.NoErr(err)
	held := inForce(docs)
	ft.restore(older)
	write("late", 4)
	// Nobody changes the maps at first, but those in force are stored again.
	_, isDone, err := ts.foldOnce(ctx, foldBasis{maps: held})
	is.True(errors.Is(err, errEraUnsettled) && !isDone)
	restored, err := ts.readMaps(ctx)
	is.NoErr(err)
	is.True(inForce(restored)["counter"].IsSame(held["counter"]))
	// An instance that has just started does not know them yet.
	docs, isDone, err = ts.foldOnce(ctx, foldBasis{startsEra: true})
	is.NoErr(err)
	is.True(isDone)
	ma := inForce(docs)["counter"]
	is.True(ma.Version > held["counter"].Version)
	is.Equal(ma.Era(), uint64(2))
	for _, incarnation := range []uint64{1, 2, 3, 4} { // no row of the first three is written again
		_, isMember := ma.ByIncarnation(incarnation)
		is.True(isMember)
	}
	// The owners before know of the new one, and it of them.
	prior := placer.NewTable(ma).PriorOwners(4, nil)
	is.True(len(prior) > 0)
}

// TestOutdatedRowsAreNoMembers guards against keys for an instance that ended before the store
// came back with a row that says it is active.
func TestOutdatedRowsAreNoMembers(t *testing.T) {
	is := is.New(t)
	ft := &eraTable{fakeTable: newFakeTable(), era: 1}
	ts := tableStore{table: ft, externalConfig: func() cataloguer.Config { return counterConfig(number(1, 1)) }, lo: hclog.NewNullLogger()}
	ctx := context.Background()
	ended, err := ts.writeRow(ctx, rowOf(7, 0, 1))
	is.NoErr(err)
	older := ft.copy()
	is.NoErr(ts.endIncarnation(ctx, ended, folder.Revoked))
	ft.restore(older)
	docs, _, err := ts.foldOnce(ctx, foldBasis{startsEra: true})
	is.NoErr(err)
	for _, do := range docs {
		ma, err := do.toMap()
		is.NoErr(err)
		is.Equal(len(ma.Members), 0)
	}
	// What it says of other incarnations proves nothing either.
	found, err := ts.readRow(ctx, "a")
	is.NoErr(err)
	is.True(found.IsOutdated())
	is.True(!isReplacedOrEnded(found, 8))
}

// TestRowIsWrittenAgain guards against an instance that takes the older row in a restored store
// for a later instance beside its server and ends, or goes on without a row.
func TestRowIsWrittenAgain(t *testing.T) {
	for name, lose := range map[string]func(older map[string]tabler.Row, key string){
		"older row": func(older map[string]tabler.Row, key string) {},
		"no row":    func(older map[string]tabler.Row, key string) { delete(older, key) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ft := &eraTable{fakeTable: newFakeTable(), era: 1}
			former := newSidecar(t, 1)
			former.tableStore.table = ft
			former.joined()
			older := ft.copy()
			sc := former.successor(2).joined()
			lose(older, MemberPrefix+sc.self.BackendServer)
			ft.restore(older)
			sc.followEra(sc.clk.Now())
			is.True(sc.isRowLost())
			sc.clk.Advance(timer.Second)
			sc.restoreRow(sc.clk.Now())
			sc.handle(<-sc.events)
			is.NoErr(sc.err)
			is.True(!sc.isRowLost())
			row, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
			is.NoErr(err)
			is.Equal(row.Lease.Incarnation, uint64(2))
			is.True(!row.IsOutdated())
		})
	}
}

// joinedInEra returns an instance with incarnation 1 that has joined through a table in era 1.
func joinedInEra(t *testing.T) (*sidecar, *eraTable) {
	t.Helper()
	ft := &eraTable{fakeTable: newFakeTable(), era: 1}
	sc := newSidecar(t, 1)
	sc.self.Address = "10.0.0.1:7600"
	sc.tableStore.table = ft
	sc.joined()
	sc.ds.config = counterConfig(number(1, 1))
	sc.tableStore.externalConfig = func() cataloguer.Config { return sc.ds.config }
	return sc, ft
}

// TestLeavingOutlivesRestoredStore guards against requests to a server whose leaving was
// acknowledged: the store comes back without the row that says so, and the instance that knew
// of it is killed before it writes that again.
func TestLeavingOutlivesRestoredStore(t *testing.T) {
	is := is.New(t)
	former, ft := joinedInEra(t)
	former.beat(nil, nil)
	older := ft.copy()
	former.deregister("s1")
	former.settleRow()
	docs, isDone, err := former.tableStore.foldOnce(former.ctx, foldBasis{})
	is.NoErr(err)
	is.True(isDone)
	ft.restore(older)
	next := former.successor(2)
	next.self.Address = former.self.Address
	next.seq = 1
	next.joined()
	next.beat(nil, nil)
	is.Equal(next.Controller.re.State(next.clk.Now()), registrar.Ready)
	next.onDocuments(documentsFetched{documents: docs}, next.clk.Now()) // from a peer
	is.Equal(next.Controller.re.State(next.clk.Now()), registrar.Draining)
	is.True(next.pu.BackendServer().RefuseAt <= next.clk.Now())
	next.settleRow()
	// The next map says so of the new instance, too.
	next.ds.config = counterConfig(number(1, 1))
	next.tableStore.externalConfig = func() cataloguer.Config { return next.ds.config }
	next.clk.Advance(10 * timer.Second)
	docs, _, err = next.tableStore.foldOnce(next.ctx, next.foldBasis(next.clk.Now()))
	is.NoErr(err)
	for _, do := range docs {
		if ma, err := do.toMap(); err == nil && ma.Service == "counter" {
			me, _ := ma.ByIncarnation(2)
			is.Equal(me.Leaving, "s1@1")
			is.Equal(me.Weight, uint32(0))
		}
	}
}

// TestDeregistrationIsAcknowledgedOnceShared guards against an acknowledgement that is lost with
// the row and with this instance, if the store comes back from an older copy right after it.
func TestDeregistrationIsAcknowledgedOnceShared(t *testing.T) {
	for _, isHeard := range []bool{false, true} {
		is := is.New(t)
		sc, _ := joinedInEra(t)
		sc.beat(nil, nil)
		for incarnation, dataCentre := range map[uint64]string{2: "x", 3: "y"} {
			ir := rowOf(incarnation, 0)
			ir.BackendServer, ir.DataCentre = name(incarnation), dataCentre
			_, err := sc.tableStore.writeRow(sc.ctx, ir)
			is.NoErr(err)
		}
		hear := func(peer uint64) {
			sc.onDatagram(&peerproto.Datagram{From: peer, To: 1, Documents: sc.ds.hash}, netip.MustParseAddrPort("127.0.0.1:1"))
		}
		acked := sc.deregister("s1")
		sc.settleRow()
		hear(3)
		is.Equal(len(acked), 0) // no map lists the run yet
		docs, _, err := sc.tableStore.foldOnce(sc.ctx, foldBasis{})
		is.NoErr(err)
		sc.onDocuments(documentsFetched{documents: docs}, sc.clk.Now())
		hear(2)
		is.Equal(len(acked), 0) // no peer in another data centre has the map yet
		if isHeard {
			hear(3)
		} else {
			sc.clk.Advance(shareTimeout)
			sc.replyToDeregistrations(sc.clk.Now())
		}
		is.Equal(len(acked), 1)
		is.Equal(len(sc.deregister("s1")) == 1, isHeard) // a repeated call
	}
}

// TestMapOfFormerEraIsStoredAgain guards against a map that is lost, with its changes of owners,
// because the peer that sent it ends before it stores the map again itself.
func TestMapOfFormerEraIsStoredAgain(t *testing.T) {
	is := is.New(t)
	sc, ft := joinedInEra(t)
	first := mapWith(numbered(32), 1)
	sc.apply(t, first)
	ft.restore(ft.copy())
	sc.followEra(sc.clk.Now())
	sc.needsFold, sc.nextFoldAt = false, sc.startsEraAt // its own maps are stored again
	sc.apply(t, mapWith(first, 2))
	is.True(sc.needsFold)
	is.True(sc.nextFoldAt.Sub(sc.clk.Now()) < memberEraDelay/2)
}

// TestQuarantineIsStoredAgain guards against requests that crash servers and that a new
// instance runs again, since the store came back without them.
func TestQuarantineIsStoredAgain(t *testing.T) {
	is := is.New(t)
	ft := &eraTable{fakeTable: newFakeTable(), era: 1}
	sc := newSidecar(t, 1)
	sc.tableStore.table = ft
	sc.joined()
	older := ft.copy()
	su := admitter.Suspect{Fingerprint: 7, Crashes: 2}
	sc.onRequestQuarantined(requestQuarantined{suspect: su}, sc.clk.Now())
	sc.handle(<-sc.events)
	ft.restore(older)
	sc.clk.Advance(quarantineBackoff)
	sc.followEra(sc.clk.Now())
	sc.writeQuarantine(sc.clk.Now())
	is.True(sc.quarantine.isWriting)
	sc.handle(<-sc.events)
	stored, err := encoder.DecodeQuarantine(ft.rows[QuarantineKey].Value)
	is.NoErr(err)
	is.Equal(stored, []admitter.Suspect{su})
}

// TestOrphansAfterAllRestart guards against instances that revoke each other: all start again
// together, name the former incarnations as their watchers, and no map names the new ones
// for longer than a lease term, since the store came back from an older copy.
func TestOrphansAfterAllRestart(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1).joined().successor(2).joined()
	sc.clk.Advance(sc.leaseTerm + 2*orphanDelay)
	sc.findOrphans(sc.clk.Now())
	is.True(!sc.hasCheckedOrphans) // others can't name this incarnation yet
	sc.apply(t, mapWith(placer.NewMap(folder.LimitsService, 8), 2, 3))
	sc.checkMembership()
	sc.findOrphans(sc.clk.Now())
	is.True(!sc.hasCheckedOrphans)
	sc.clk.Advance(orphanDelay + watcherCheckInterval)
	sc.findOrphans(sc.clk.Now())
	is.True(sc.hasCheckedOrphans)
}

// TestRevokedBeforeMember guards against an instance that goes on for good without a lease: its
// row was revoked before any map named it.
func TestRevokedBeforeMember(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 2).joined()
	row, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
	is.NoErr(err)
	is.NoErr(sc.tableStore.endIncarnation(sc.ctx, row, folder.Revoked))
	sc.clk.Advance(missingRowInterval)
	sc.restoreRow(sc.clk.Now())
	is.True(sc.isWritingRow)
	sc.handle(<-sc.events)
	is.True(errors.Is(sc.err, ErrRevoked))
}
