package encoder

import (
	"errors"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
	"cornellanding.example/examples"
	"cornellanding.example/wire/parser"
	"github.com/matryer/is"
)

func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	ma := placer.NewMap("counter", 16).NextVersion(5).WithMember(placer.Member{
		BackendServer: "a", Incarnation: 1 << 60, DataCentre: "x", Address: "127.0.0.1:1", Weight: 4, Speed: 5,
	})
	content, err := EncodeMap(ma)
	is.NoErr(err)
	gotMap, err := DecodeMap(content)
	is.NoErr(err)
	is.Equal(gotMap.Members, ma.Members)
	is.Equal(gotMap.Changes, ma.Changes)

	an := folder.InstanceRow{
		BackendServer: "a", Service: "counter", DataCentre: "x", Region: "r", Address: "127.0.0.1:1", Weight: 4, Speed: 5,
		State: folder.Active, Version: "v1", Lease: leaser.Row{Incarnation: 9, Version: 3, Watchers: []leaser.WatcherID{{BackendServer: "b", Incarnation: 2}}},
		Leaving: []registrar.ServerRun{{ID: "i-1", StartedAt: 1700000000000}, {ID: "i-2"}},
	}
	content, err = EncodeInstanceRow(an)
	is.NoErr(err)
	gotRow, err := DecodeInstanceRow(content, 3)
	is.NoErr(err)
	is.Equal(gotRow, an)

	suspects := []admitter.Suspect{{Fingerprint: 1<<63 + 1, Crashes: 2}, {Fingerprint: 3, Crashes: 9}}
	content, err = EncodeQuarantine(suspects)
	is.NoErr(err)
	gotSuspects, err := DecodeQuarantine(content)
	is.NoErr(err)
	is.Equal(gotSuspects, suspects)

	yaml, err := examples.Catalogue("kadrs")
	is.NoErr(err)
	co := cataloguer.Config{Version: 4, Callers: cataloguer.CallerLimits{MaxBody: 1, MaxHead: 2, HeadTimeout: 3, IdleTimeout: 4}, DrainedServers: []string{"a"}, DrainedDataCentres: []string{"riga-1"}, WorkspaceKeys: []cataloguer.WorkspaceKey{{Digest: cataloguer.Digest{1}, Workspace: "klaps"}}}
	co.Catalogue, err = parser.ParseCatalogue("kadrs", yaml)
	is.NoErr(err)
	co.RollOuts = []cataloguer.RollOut{{ID: 3, Service: "counter", To: "v2", Duration: timer.Second}}
	co.Changes = []cataloguer.Change{{ID: "1", Version: 4, Operator: "ana", Summary: "s", At: 1}}
	content, err = EncodeConfig(co)
	is.NoErr(err)
	gotConfig, err := DecodeConfig(content)
	is.NoErr(err)
	is.Equal(gotConfig, co)

	st := roller.State{
		Service: "counter", Version: 9, InForce: "v1", Order: roller.Order{ID: 3, Service: "counter", To: "v2", Duration: timer.Second},
		Outcome: roller.Running, Phase: roller.Ramp, Step: 2, Canaries: []string{"a"}, Share: 4, Actor: 1 << 60, Term: 2, DeadlineAt: 5, Seen: 6, Granted: 7, Lost: 1,
	}
	content, err = EncodeRollOut(st)
	is.NoErr(err)
	gotState, err := DecodeRollOut(content)
	is.NoErr(err)
	is.Equal(gotState, st)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var de *DecodeError
		if _, err := DecodeConfig(content); err != nil && !errors.As(err, &de) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
		if _, err := DecodeMap(content); err != nil && !errors.As(err, &de) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
		if _, err := DecodeQuarantine(content); err != nil && !errors.As(err, &de) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
		if _, err := DecodeRollOut(content); err != nil && !errors.As(err, &de) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
		if _, err := DecodeInstanceRow(content, 1); err != nil && !errors.As(err, &de) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}
