package controller

import (
	"context"
	"strings"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// oddRows are values that another writer may leave under a member's or map's key.
var oddRows = map[string]string{
	"deeply nested":     `{"backendServer":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}`,
	"number too large":  `{"backendServer":"odd","address":"10.0.0.9:7600","state":"active","incarnation":1e400}`,
	"weight too large":  `{"backendServer":"odd","address":"10.0.0.9:7600","state":"active","weight":99999999999}`,
	"port out of range": `{"backendServer":"odd","service":"counter","address":"10.0.0.9:99999","weight":100,"state":"active","incarnation":5}`,
	"no address":        `{"backendServer":"odd","service":"counter","weight":100,"state":"active","incarnation":5}`,
	"another's name":    `{"backendServer":"a","service":"counter","address":"10.0.0.9:7600","weight":100,"state":"active","incarnation":5}`,
	"bytes":             "\xff\x00\x1f\x8b",
	"empty":             "",
}

func memberRow(is *is.I, name string, incarnation uint64) tabler.Row {
	ir := rowOf(incarnation, 1)
	ir.BackendServer, ir.Address = name, "10.0.0.1:7600"
	value, err := encoder.EncodeInstanceRow(ir)
	is.NoErr(err)
	return tabler.Row{Key: MemberPrefix + name, Version: 1, Value: value}
}

// TestOddRowDoesNotStopTheFold guards against one unreadable row of another writer that
// keeps every instance from joining and from taking over.
func TestOddRowDoesNotStopTheFold(t *testing.T) {
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 8}}
	for name, value := range oddRows {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ft := newFakeTable()
			ts := tableStore{table: ft, externalConfig: func() cataloguer.Config { return config }, lo: hclog.NewNullLogger()}
			for _, ro := range []tabler.Row{
				memberRow(is, "a", 1), memberRow(is, "b", 2),
				{Key: MemberPrefix + "odd", Version: 1, Value: []byte(value)},
				{Key: MapPrefix + "odd", Version: 1, Value: []byte(value)},
			} {
				ft.rows[ro.Key] = ro
			}
			_, isDone, err := ts.foldOnce(context.Background(), foldBasis{})
			is.NoErr(err)
			is.True(isDone)
			ma, err := encoder.DecodeMap(ft.rows[MapPrefix+"counter"].Value)
			is.NoErr(err)
			is.Equal(len(ma.Members), 2)
			_, err = ts.holdersWatchedFrom(context.Background(), publisher.Self{BackendServer: "c"})
			is.NoErr(err)
			_, err = ts.readMaps(context.Background())
			is.NoErr(err)
		})
	}
}

// TestUnreadableRowKeepsItsOwner: nothing proves that the instance whose row became
// unreadable has stopped, so that its keys must not pass on; and a map that became
// unreadable is not replaced.
func TestUnreadableRowKeepsItsOwner(t *testing.T) {
	is := is.New(t)
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 8}}
	ft := newFakeTable()
	ts := tableStore{table: ft, externalConfig: func() cataloguer.Config { return config }, lo: hclog.NewNullLogger()}
	for _, ro := range []tabler.Row{memberRow(is, "a", 1), memberRow(is, "b", 2)} {
		ft.rows[ro.Key] = ro
	}
	_, _, err := ts.foldOnce(context.Background(), foldBasis{})
	is.NoErr(err)
	ft.rows[MemberPrefix+"b"] = tabler.Row{Key: MemberPrefix + "b", Version: 2, Value: []byte("?")}
	ft.rows[MemberPrefix+"c"] = memberRow(is, "c", 3)
	_, _, err = ts.foldOnce(context.Background(), foldBasis{})
	is.NoErr(err)
	for _, service := range []string{"counter", folder.LimitsService} {
		ma, err := encoder.DecodeMap(ft.rows[MapPrefix+service].Value)
		is.NoErr(err)
		_, isPresent := ma.ByIncarnation(2)
		is.True(isPresent)
		is.Equal(len(ma.Members), 3)
	}
	ft.rows[MapPrefix+"counter"] = tabler.Row{Key: MapPrefix + "counter", Version: 9, Value: []byte("?")}
	_, isDone, err := ts.foldOnce(context.Background(), foldBasis{})
	is.True(err != nil && !isDone)
	is.Equal(string(ft.rows[MapPrefix+"counter"].Value), "?")
}

// TestOddOwnRow guards against an instance that never joins again because another writer left
// its row, or that goes on with a row that it has lost.
func TestOddOwnRow(t *testing.T) {
	odd := func(sc *sidecar) {
		key := MemberPrefix + sc.self.BackendServer
		ft := sc.tableStore.table.(*fakeTable)
		ft.rows[key] = tabler.Row{Key: key, Version: ft.rows[key].Version + 5, Value: []byte("\xff\x00")}
	}
	member := func(sc *sidecar, address string) placer.Map {
		return placer.NewMap(folder.LimitsService, 8).NextVersion(0).WithMember(placer.Member{
			BackendServer: sc.self.BackendServer, Incarnation: 1, Address: address, Weight: placer.FullWeight,
		})
	}
	t.Run("before the join", func(t *testing.T) {
		is := is.New(t)
		sc := newSidecar(t, 2)
		odd(sc)
		sc.joined()
		row, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
		is.NoErr(err)
		is.Equal(row.Lease.Incarnation, uint64(2))
	})
	t.Run("before the join, a former instance elsewhere", func(t *testing.T) {
		is := is.New(t)
		sc := newSidecar(t, 2)
		odd(sc)
		_, err := sc.tableStore.join(sc.ctx, sc.instanceRow(100), registrar.ServerRun{}, member(sc, "10.0.0.8:7000").Members, nil)
		is.True(isUnreadable(err)) // it may still serve
		_, err = sc.tableStore.join(sc.ctx, sc.instanceRow(100), registrar.ServerRun{}, member(sc, sc.self.Address).Members, nil)
		is.NoErr(err)
	})
	t.Run("after the join", func(t *testing.T) {
		is := is.New(t)
		sc := newSidecar(t, 2).joined()
		odd(sc)
		sc.beat(nil, nil) // the weight changes, so the row is written
		sc.handle(<-sc.events)
		is.Equal(sc.err, ErrRevoked) // the next incarnation joins in its place
	})
}
