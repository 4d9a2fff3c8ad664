package controller

import (
	"context"
	"errors"
	"sync"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"github.com/matryer/is"
)

// fakeTable is a table in memory that can lose, delay and refuse.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]tabler.Row
	// faults are taken by the coming commits, one each.
	faults  []string
	delayed []tabler.Transaction
	commits int
}

var errNoAnswer = errors.New("no answer")

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]tabler.Row{}} }

func (ft *fakeTable) Read(_ context.Context, qu tabler.Query) ([]tabler.Row, error) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	var rows []tabler.Row
	for key, ro := range ft.rows {
		isAsked := false
		for _, name := range qu.Keys {
			isAsked = isAsked || name == key
		}
		for _, prefix := range qu.Prefixes {
			isAsked = isAsked || len(key) >= len(prefix) && key[:len(prefix)] == prefix
		}
		if isAsked {
			rows = append(rows, ro)
		}
	}
	return rows, nil
}

func (ft *fakeTable) Commit(_ context.Context, tx tabler.Transaction) (uint64, error) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.commits++
	fault := ""
	if len(ft.faults) > 0 {
		fault, ft.faults = ft.faults[0], ft.faults[1:]
	}
	switch fault {
	case "lost":
		return 0, errNoAnswer
	case "delayed":
		ft.delayed = append(ft.delayed, tx)
		return 0, errNoAnswer
	case "refused":
		return 0, &tabler.RefusedError{Status: 503}
	case "answer lost":
		_, _ = ft.apply(tx)
		return 0, errNoAnswer
	case "overtaken":
		// The delayed write lands just before this one.
		_, _ = ft.apply(ft.delayed[0])
	}
	return ft.apply(tx)
}

func (ft *fakeTable) apply(tx tabler.Transaction) (uint64, error) {
	for _, co := range tx.Conditions {
		if found := ft.rows[co.Key].Version; found != co.Version {
			return 0, &tabler.ConflictError{Key: co.Key, Expected: co.Version, Found: found}
		}
	}
	for _, wr := range tx.Writes {
		ft.rows[wr.Key] = tabler.Row{Key: wr.Key, Version: ft.rows[wr.Key].Version + 1, Value: wr.Value}
	}
	return ft.rows[tx.Writes[0].Key].Version, nil
}

type fakeObjects struct{ content map[string][]byte }

func (fo *fakeObjects) Put(_ context.Context, name string, content []byte) error {
	fo.content[name] = content
	return nil
}

func (fo *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	return fo.content[name], nil
}

func rowOf(incarnation, version uint64, watchers ...uint64) folder.InstanceRow {
	an := folder.InstanceRow{
		BackendServer: "a", Service: "counter", Weight: placer.FullWeight, State: folder.Active,
		Lease: leaser.Row{Incarnation: incarnation, Version: version},
	}
	for _, wt := range watchers {
		an.Lease.Watchers = append(an.Lease.Watchers, leaser.WatcherID{Incarnation: wt})
	}
	return an
}

func TestWriteRowProvesItsOutcome(t *testing.T) {
	cases := map[string]struct {
		faults  []string
		isError bool
		version uint64
		commits int
	}{
		"plain":                              {version: 2, commits: 1},
		"the answer is lost":                 {faults: []string{"answer lost"}, version: 2, commits: 1},
		"the write is lost":                  {faults: []string{"lost"}, version: 2, commits: 2},
		"refused, so proved not written":     {faults: []string{"refused"}, isError: true, version: 1, commits: 1},
		"lost, then refused: still unproved": {faults: []string{"lost", "refused"}, version: 2, commits: 3},
		"the delayed write lands":            {faults: []string{"delayed", "overtaken"}, version: 2, commits: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ft := newFakeTable()
			le := ledger{table: ft}
			first, err := le.writeRow(context.Background(), rowOf(7, 0, 1, 2, 3))
			is.NoErr(err)
			ft.commits, ft.faults = 0, tc.faults
			next := rowOf(7, first.Lease.Version, 2, 3, 4)
			found, err := le.writeRow(context.Background(), next)
			is.Equal(err != nil, tc.isError)
			is.Equal(found.Lease.Version, tc.version)
			is.Equal(ft.commits, tc.commits)
		})
	}
}

func TestWriteRowYieldsToAnother(t *testing.T) {
	is := is.New(t)
	ft := newFakeTable()
	le := ledger{table: ft}
	first, err := le.writeRow(context.Background(), rowOf(7, 0, 1))
	is.NoErr(err)
	is.NoErr(le.end(context.Background(), first, folder.Revoked))
	_, err = le.writeRow(context.Background(), rowOf(7, 1, 2))
	var conflict *tabler.ConflictError
	is.True(errors.As(err, &conflict))                            // the holder learns that its row moved on
	is.NoErr(le.end(context.Background(), first, folder.Revoked)) // ending again is no error
}

func TestJoinNeedsTheFormerToHaveEnded(t *testing.T) {
	cases := map[string]struct {
		former  folder.InstanceRow
		revokes bool
	}{
		"no former":                   {},
		"former left":                 {former: folder.InstanceRow{State: folder.Left, Lease: leaser.Row{Incarnation: 1, Watchers: []leaser.WatcherID{{}}}}},
		"former never had a lease":    {former: folder.InstanceRow{State: folder.Active, Lease: leaser.Row{Incarnation: 1}}},
		"former at the same address":  {former: folder.InstanceRow{State: folder.Active, Address: "here", Lease: leaser.Row{Incarnation: 1, Watchers: []leaser.WatcherID{{}}}}},
		"former may still be serving": {former: folder.InstanceRow{State: folder.Active, Address: "there", Lease: leaser.Row{Incarnation: 1, Watchers: []leaser.WatcherID{{}}}}, revokes: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			le := ledger{table: newFakeTable()}
			if tc.former.State != "" {
				tc.former.BackendServer = "a"
				_, err := le.writeRow(context.Background(), tc.former)
				is.NoErr(err)
			}
			isRevoked := false
			an := rowOf(2, 0)
			an.Address = "here"
			row, _, err := le.join(context.Background(), an, func(ctx context.Context, former folder.InstanceRow) error {
				isRevoked = true
				return le.end(ctx, former, folder.Revoked)
			})
			is.Equal(isRevoked, tc.revokes)
			// A revocation makes a version of its own, and the join starts again.
			is.Equal(err != nil, tc.revokes)
			if !tc.revokes {
				is.Equal(row.Incarnation, uint64(2))
			}
		})
	}
}

func TestFoldUnderConflictAndLostAnswer(t *testing.T) {
	is := is.New(t)
	ft, fo := newFakeTable(), &fakeObjects{content: map[string][]byte{}}
	le := ledger{table: ft, objects: fo}
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 8}}
	content, err := encoder.EncodeConfig(config)
	is.NoErr(err)
	fo.content["object"] = content
	_, err = ft.Commit(context.Background(), tabler.Transaction{Writes: []tabler.Write{{Key: ConfigKey, Value: []byte("object")}}})
	is.NoErr(err)
	_, err = le.writeRow(context.Background(), rowOf(7, 0, 1))
	is.NoErr(err)
	ft.faults = []string{"refused", "answer lost"}
	docs, err := le.fold(context.Background())
	is.NoErr(err)
	ds := newDocuments()
	for _, do := range docs {
		_, err := ds.apply(do)
		is.NoErr(err)
	}
	is.Equal(ds.tables["counter"].Map.Version, uint64(1)) // folded once, though an answer was lost
	_, isMember := ds.member(7)
	is.True(isMember)
}

func TestDocumentsOnlyGoForwards(t *testing.T) {
	is := is.New(t)
	ds := newDocuments()
	apply := func(version, claimed uint64) (bool, error) {
		content, err := encoder.EncodeConfig(cataloguer.Config{Version: claimed})
		is.NoErr(err)
		return ds.apply(Document{Name: ConfigKey, Version: version, Content: content})
	}
	isApplied, err := apply(2, 2)
	is.NoErr(err)
	is.True(isApplied)
	hash := ds.hash
	isApplied, err = apply(1, 1)
	is.NoErr(err)
	is.Equal(isApplied, false) // an older one changes nothing
	_, err = apply(3, 4)
	is.True(err != nil) // one that lies about its version is rejected
	_, err = ds.apply(Document{Name: ConfigKey, Version: 9, Content: []byte("{")})
	is.True(err != nil)
	_, err = ds.apply(Document{Name: "nonsense", Version: 9})
	is.True(err != nil)
	is.Equal(ds.config.Version, uint64(2))
	is.Equal(ds.hash, hash)
}
