package administrator

import (
	"context"
	"errors"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"github.com/matryer/is"
)

// fakePlatform is a table with one row, and an object store.
type fakePlatform struct {
	row     tabler.Row
	objects map[string][]byte
	// loseAnswer makes a commit take effect and return an error, loseWrite makes it
	// return an error without effect.
	loseAnswer bool
	loseWrite  bool
}

func (fp *fakePlatform) Read(context.Context, tabler.Query) ([]tabler.Row, error) {
	if fp.row.Version == 0 {
		return nil, nil
	}
	return []tabler.Row{fp.row}, nil
}

func (fp *fakePlatform) Commit(_ context.Context, tx tabler.Transaction) (uint64, error) {
	if found := fp.row.Version; found != tx.Conditions[0].Version {
		return 0, &tabler.ConflictError{Key: configKey, Expected: tx.Conditions[0].Version, Found: found}
	}
	if fp.loseWrite {
		return 0, errors.New("response lost")
	}
	fp.row = tabler.Row{Key: configKey, Version: fp.row.Version + 1, Value: tx.Writes[0].Value}
	if fp.loseAnswer {
		return 0, errors.New("response lost")
	}
	return fp.row.Version, nil
}

func (fp *fakePlatform) Put(_ context.Context, name string, content []byte) error {
	fp.objects[name] = content
	return nil
}

func (fp *fakePlatform) Get(_ context.Context, name string) ([]byte, error) {
	return fp.objects[name], nil
}

func catalogue() cataloguer.Catalogue {
	return cataloguer.Catalogue{
		DataCentres: []cataloguer.DataCentre{{Name: "riga-1", Region: "riga"}},
		Services: []cataloguer.Service{{
			Name: "booking", Owner: "ops", Class: cataloguer.Exclusive, Partitions: 64,
			Limits: cataloguer.ServiceLimits{Slots: 6, Connections: 60, Queue: 10, ColdStartSlots: 2},
		}},
		Workspaces: []cataloguer.Workspace{{Name: "kinonoma", Owner: "ops", Rate: 10, Burst: 10}},
		Routes: []cataloguer.Route{{
			Name: "reserve", Service: "booking", Method: "POST", Path: "/reservations/{key}",
			Access: cataloguer.WorkspaceAccess, KeySource: cataloguer.KeyFromPath, Timeout: timer.Second,
		}},
	}
}

func newEditor(t *testing.T) (*fakePlatform, *Editor) {
	t.Helper()
	fp := &fakePlatform{objects: map[string][]byte{}}
	ed := NewEditor(fp, fp)
	_, err := ed.Commit(context.Background(), 0, "ana", CatalogueApply{Catalogue: catalogue()})
	is.New(t).NoErr(err)
	return fp, ed
}

// TestEditConflict checks that the second of two changes based on the same
// version is refused with a conflict that names the first.
func TestEditConflict(t *testing.T) {
	is := is.New(t)
	_, ed := newEditor(t)
	_, err := ed.Commit(context.Background(), 1, "ana", DataCentreDrain{DataCentre: "riga-1"})
	is.NoErr(err)
	_, err = ed.Commit(context.Background(), 1, "bruno", KeyGrant{Workspace: "kinonoma"})
	var conflict *VersionConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Found, uint64(2))
	is.Equal(conflict.Others[0].Operator, "ana") // the conflict names the other change
	is.Equal(conflict.Others[0].Summary, "took out data centre riga-1")
}

// TestLostResponses checks that a commit whose response is lost succeeds if it took
// effect, and fails if it did not.
func TestLostResponses(t *testing.T) {
	is := is.New(t)
	fp, ed := newEditor(t)
	fp.loseAnswer = true
	committed, err := ed.Commit(context.Background(), 1, "ana", KeyGrant{Workspace: "kinonoma"})
	is.NoErr(err) // the write took effect: the change is found by its ID
	is.Equal(committed.Config.Version, uint64(2))
	fp.loseAnswer, fp.loseWrite = false, true
	_, err = ed.Commit(context.Background(), 2, "ana", KeyWithdraw{Workspace: "kinonoma"})
	is.True(err != nil) // nothing was written, so success must not be reported
	co, err := ed.Read(context.Background())
	is.NoErr(err)
	is.Equal(len(co.WorkspaceKeys), 1)
}

func TestEdits(t *testing.T) {
	key, other := cataloguer.Digest{1}, cataloguer.Digest{2}
	cases := map[string]struct {
		edits []Edit
		isBad bool
		check func(co cataloguer.Config) bool
	}{
		"grant and withdraw one": {
			edits: []Edit{KeyGrant{"kinonoma", key}, KeyGrant{"kinonoma", other}, KeyWithdraw{"kinonoma", &key}},
			check: func(co cataloguer.Config) bool {
				return len(co.WorkspaceKeys) == 1 && co.WorkspaceKeys[0].Digest == other
			},
		},
		"withdraw all": {
			edits: []Edit{KeyGrant{"kinonoma", key}, KeyGrant{"kinonoma", other}, KeyWithdraw{"kinonoma", nil}},
			check: func(co cataloguer.Config) bool { return len(co.WorkspaceKeys) == 0 },
		},
		"drain and return": {
			edits: []Edit{BackendServerDrain{BackendServer: "b"}, BackendServerDrain{BackendServer: "b", IsReturn: true}},
			check: func(co cataloguer.Config) bool { return len(co.DrainedServers) == 0 },
		},
		"grant twice":                {edits: []Edit{KeyGrant{"kinonoma", key}, KeyGrant{"kinonoma", key}}, isBad: true},
		"grant to unknown workspace": {edits: []Edit{KeyGrant{"nobody", key}}, isBad: true},
		"withdraw an ungranted key":  {edits: []Edit{KeyWithdraw{"kinonoma", &key}}, isBad: true},
		"unknown data centre out":    {edits: []Edit{DataCentreDrain{DataCentre: "nowhere"}}, isBad: true},
		"invalid catalogue":          {edits: []Edit{CatalogueApply{}}, isBad: true},
		"partitions can't change": {edits: []Edit{func() Edit {
			cat := catalogue()
			cat.Services[0].Partitions = 128
			return CatalogueApply{Catalogue: cat}
		}()}, isBad: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ed := newEditor(t)
			var err error
			for i, change := range tc.edits {
				_, err = ed.Commit(context.Background(), uint64(1+i), "ana", change)
			}
			is.Equal(err != nil, tc.isBad)
			if tc.check != nil {
				co, err := ed.Read(context.Background())
				is.NoErr(err)
				is.True(tc.check(co))
			}
		})
	}
}
