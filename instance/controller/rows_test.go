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
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"github.com/matryer/is"
)

// fakeTable is an in-memory table that can lose, delay and refuse commits.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]tabler.Row
	// faults apply to the next commits, one each.
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
		isSelected := false
		for _, name := range qu.Keys {
			isSelected = isSelected || name == key
		}
		for _, prefix := range qu.Prefixes {
			isSelected = isSelected || len(key) >= len(prefix) && key[:len(prefix)] == prefix
		}
		if isSelected {
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
		// The delayed write takes effect just before this one.
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
	ir := folder.InstanceRow{
		BackendServer: "a", Service: "counter", Address: "10.0.0.1:7600", Weight: placer.FullWeight, State: folder.Active,
		Lease: leaser.Row{Incarnation: incarnation, Version: version},
	}
	for _, wt := range watchers {
		ir.Lease.Watchers = append(ir.Lease.Watchers, leaser.WatcherID{Incarnation: wt})
	}
	return ir
}

// TestWriteRowProvesItsOutcome guards against treating a write without an answer as
// failed: it may have taken effect, or do so later.
func TestWriteRowProvesItsOutcome(t *testing.T) {
	cases := map[string]struct {
		faults  []string
		isError bool
		version uint64
		commits int
	}{
		"no fault":                           {version: 2, commits: 1},
		"the answer is lost":                 {faults: []string{"answer lost"}, version: 2, commits: 1},
		"the write is lost":                  {faults: []string{"lost"}, version: 2, commits: 2},
		"refused, so proved not written":     {faults: []string{"refused"}, isError: true, version: 1, commits: 1},
		"lost, then refused: still unproved": {faults: []string{"lost", "refused"}, version: 2, commits: 3},
		"the delayed write takes effect":     {faults: []string{"delayed", "overtaken"}, version: 2, commits: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ft := newFakeTable()
			ts := tableStore{table: ft}
			first, err := ts.writeRow(context.Background(), rowOf(7, 0, 1, 2, 3))
			is.NoErr(err)
			ft.commits, ft.faults = 0, tc.faults
			next := rowOf(7, first.Lease.Version, 2, 3, 4)
			found, err := ts.writeRow(context.Background(), next)
			is.Equal(err != nil, tc.isError)
			is.Equal(found.Lease.Version, tc.version)
			is.Equal(ft.commits, tc.commits)
		})
	}
}

// TestWriteRowFailsAfterRevocation guards against a holder that overwrites the row
// in which its lease was revoked.
func TestWriteRowFailsAfterRevocation(t *testing.T) {
	is := is.New(t)
	ft := newFakeTable()
	ts := tableStore{table: ft}
	first, err := ts.writeRow(context.Background(), rowOf(7, 0, 1))
	is.NoErr(err)
	is.NoErr(ts.endIncarnation(context.Background(), first, folder.Revoked))
	_, err = ts.writeRow(context.Background(), rowOf(7, 1, 2))
	var conflict *tabler.ConflictError
	is.True(errors.As(err, &conflict))                                       // the holder learns that its row has changed
	is.NoErr(ts.endIncarnation(context.Background(), first, folder.Revoked)) // ending again is no error
}

// TestJoinRevokesFormerIncarnation guards against two incarnations of one backend
// server that serve at the same time.
func TestJoinRevokesFormerIncarnation(t *testing.T) {
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
			ts := tableStore{table: newFakeTable()}
			if tc.former.State != "" {
				tc.former.BackendServer = "a"
				_, err := ts.writeRow(context.Background(), tc.former)
				is.NoErr(err)
			}
			isRevoked := false
			ir := rowOf(2, 0)
			ir.Address = "here"
			result, err := ts.join(context.Background(), ir, registrar.ServerRun{}, nil, func(ctx context.Context, former folder.InstanceRow) error {
				isRevoked = true
				return ts.endIncarnation(ctx, former, folder.Revoked)
			})
			is.Equal(isRevoked, tc.revokes)
			// The revocation advances the row's version, so this join fails and
			// must be retried.
			is.Equal(err != nil, tc.revokes)
			if !tc.revokes {
				is.Equal(result.row.Lease.Incarnation, uint64(2))
			}
		})
	}
}

// TestFoldAfterRefusalAndLostAnswer guards against a fold that is applied twice when
// the answer to its commit is lost.
func TestFoldAfterRefusalAndLostAnswer(t *testing.T) {
	is := is.New(t)
	ft, fo := newFakeTable(), &fakeObjects{content: map[string][]byte{}}
	ts := tableStore{table: ft, objects: fo}
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 8}}
	content, err := encoder.EncodeConfig(config)
	is.NoErr(err)
	fo.content["object"] = content
	_, err = ft.Commit(context.Background(), tabler.Transaction{Writes: []tabler.Write{{Key: ConfigKey, Value: []byte("object")}}})
	is.NoErr(err)
	_, err = ts.writeRow(context.Background(), rowOf(7, 0, 1))
	is.NoErr(err)
	ft.faults = []string{"refused", "answer lost"}
	docs, err := ts.fold(context.Background(), foldBasis{})
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

// TestDocumentVersionsNeverDecrease offers documents that are older, inconsistent
// or malformed, none of which may replace the one held.
func TestDocumentVersionsNeverDecrease(t *testing.T) {
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
	is.True(err != nil) // its content names another version
	_, err = ds.apply(Document{Name: ConfigKey, Version: 9, Content: []byte("{")})
	is.True(err != nil)
	_, err = ds.apply(Document{Name: "nonsense", Version: 9})
	is.True(err != nil)
	is.Equal(ds.config.Version, uint64(2))
	is.Equal(ds.hash, hash)
}

// TestOutSince guards against a VM whose gate does not learn that its data centre or its server
// is out, or when, or that it has been taken back.
func TestOutSince(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	note := func(co cataloguer.Config) timer.Instant {
		before := sc.ds.config
		co.Version = before.Version + 1
		sc.ds.config = co
		sc.noteConfig(before, 0, sc.clk.Now())
		return sc.ds.view().OutSince
	}
	out := cataloguer.Config{DrainedDataCentres: []string{"x"}}
	is.True(!sc.clk.Now().Before(note(out).Add(publisher.OutKeysSpan))) // known before this instance started
	is.Equal(note(cataloguer.Config{DrainedDataCentres: []string{"y"}}), timer.Instant(0))
	since := sc.clk.Now()
	is.Equal(note(out), since)
	sc.clk.Advance(timer.Second)
	is.Equal(note(cataloguer.Config{DrainedDataCentres: []string{"x"}, DrainedServers: []string{"b"}}), since) // another change
	is.Equal(note(cataloguer.Config{DrainedServers: []string{name(1)}}), since)
	is.Equal(note(cataloguer.Config{}), timer.Instant(0))
}
