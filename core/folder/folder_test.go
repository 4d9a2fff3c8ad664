package folder

import (
	"fmt"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/roller"
	"github.com/matryer/is"
)

func TestFold(t *testing.T) {
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 16}}
	row := func(name, centre string, incarnation uint64, state State) InstanceRow {
		return InstanceRow{
			BackendServer: name, Service: "counter", DataCentre: centre, Weight: placer.FullWeight,
			State: state, Lease: leaser.Row{Incarnation: incarnation},
		}
	}
	cases := map[string]struct {
		rows    []InstanceRow
		centres []string
		servers []string
		want    map[string]uint32
	}{
		"active rows join":               {rows: []InstanceRow{row("a", "x", 1, Active), row("b", "y", 2, Active)}, want: map[string]uint32{"a": 4, "b": 4}},
		"left and revoked rows removed":  {rows: []InstanceRow{row("a", "x", 1, Left), row("b", "y", 2, Revoked)}, want: map[string]uint32{}},
		"a drained data centre weighs 0": {rows: []InstanceRow{row("a", "x", 1, Active), row("b", "y", 2, Active)}, centres: []string{"x"}, want: map[string]uint32{"a": 0, "b": 4}},
		"a drained server weighs 0":      {rows: []InstanceRow{row("a", "x", 1, Active)}, servers: []string{"a"}, want: map[string]uint32{"a": 0}},
		"a new incarnation replaces one": {rows: []InstanceRow{row("c", "x", 9, Active)}, want: map[string]uint32{"c": 4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			co := config
			co.DrainedDataCentres, co.DrainedServers = tc.centres, tc.servers
			present := placer.NewMap("counter", 16).NextVersion(0).WithMember(placer.Member{BackendServer: "c", Incarnation: 3, Weight: 4})
			in := Input{Rows: tc.rows, Config: co, Maps: map[string]placer.Map{"counter": present}}
			changed := Fold(in)
			got := map[string]uint32{}
			for _, ma := range changed {
				in.Maps[ma.Service] = ma
				if ma.Service == "counter" {
					is.Equal(ma.Version, uint64(2))
					for _, me := range ma.Members {
						got[me.BackendServer] = me.Weight
					}
				}
			}
			is.Equal(got, tc.want)
			is.Equal(len(Fold(in)), 0) // folding again changes nothing
		})
	}
}

// TestSettledChangesAreDropped checks that changes are kept until all members of one
// version have reported it, and are dropped then.
func TestSettledChangesAreDropped(t *testing.T) {
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{
		{Name: "counter", Class: cataloguer.Exclusive, Partitions: 16}, {Name: "archive", Class: cataloguer.Shared},
	}
	rows := []InstanceRow{}
	in := Input{Config: config, Maps: map[string]placer.Map{}}
	fold := func() {
		in.Rows = rows
		for _, ma := range Fold(in) {
			in.Maps[ma.Service] = ma
		}
	}
	for i, name := range []string{"a", "b", "c"} {
		rows = append(rows, InstanceRow{BackendServer: name, Service: "counter", Weight: 4, State: Active, Lease: leaser.Row{Incarnation: uint64(i + 1)}})
		fold()
	}
	rows = append(rows, InstanceRow{BackendServer: "d", Service: "archive", Weight: 4, State: Active, Lease: leaser.Row{Incarnation: 9}})
	fold()
	report := func(row int, version uint64) { rows[row].Settled = map[string]uint64{"counter": version} }
	is := is.New(t)
	is.Equal(len(in.Maps["counter"].Changes), 3)
	is.Equal(len(in.Maps["archive"].Changes), 0) // a shared service records nothing
	report(0, 3)
	report(1, 3)
	fold()
	is.Equal(in.Maps["counter"].Settled, uint64(0)) // c has not reported
	report(2, 2)
	fold()
	is.Equal(in.Maps["counter"].Settled, uint64(0)) // c reported an older version
	rows = append(rows, InstanceRow{BackendServer: "e", Service: "counter", Weight: 4, State: Active, Lease: leaser.Row{Incarnation: 5}})
	fold()
	report(2, 3)
	fold()
	is.Equal(in.Maps["counter"].Settled, uint64(3)) // e joined later and need not report this version
	is.Equal(len(in.Maps["counter"].Changes), 1)
	is.Equal(len(Fold(in)), 0)
}

// TestFirstMapSplitsIntegerKeys checks that the first map of a large service has enough
// ranges to spread busy neighbours, and that later members don't change their number.
func TestFirstMapSplitsIntegerKeys(t *testing.T) {
	for _, cas := range []struct {
		members int
		want    uint32
	}{{2, 512}, {7, 512}, {16, 512}, {17, 1024}, {46, 2048}, {115, 4096}, {880, 4096}} {
		is := is.New(t)
		var in Input
		in.Config.Version = 1
		in.Config.Catalogue.Services = []cataloguer.Service{{Name: "keys", Class: cataloguer.Exclusive, Partitions: 512, KeySpace: 1 << 16}}
		for i := range cas.members {
			in.Rows = append(in.Rows, InstanceRow{
				BackendServer: fmt.Sprintf("s%03d", i), Service: "keys", Weight: placer.FullWeight, State: Active,
				Lease: leaser.Row{Incarnation: uint64(i + 1)},
			})
		}
		first := Fold(in)[0]
		is.Equal(first.Partitions, cas.want)
		in.Maps = map[string]placer.Map{"keys": first}
		in.Rows = in.Rows[:1]
		is.Equal(Fold(in)[0].Partitions, cas.want)
	}
}

// TestVersionsWeigh guards against keys for servers of a version that is not in force, and a
// service that loses the servers beside instances of a former program, which name no version.
func TestVersionsWeigh(t *testing.T) {
	is := is.New(t)
	in := Input{Config: cataloguer.Config{Version: 1}, Maps: map[string]placer.Map{}, RollOuts: map[string]roller.State{}}
	in.Config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 16}}
	for i, version := range []string{"v1", "v2", "v1", "", "v2"} {
		ir := InstanceRow{BackendServer: fmt.Sprint("s", i), Service: "counter", Weight: placer.FullWeight, State: Active, Version: version, Lease: leaser.Row{Incarnation: uint64(i + 1)}}
		in.Rows = append(in.Rows, ir)
	}
	first := FirstRollOuts(in)
	is.Equal(len(first), 1)
	is.Equal(first[0].InForce, "v1")
	in.RollOuts["counter"] = first[0]
	is.Equal(len(FirstRollOuts(in)), 0)
	weights := func() (list []uint32) {
		for _, me := range Fold(in)[0].Members {
			list = append(list, me.Weight)
		}
		return list
	}
	is.Equal(weights(), []uint32{placer.FullWeight, 0, placer.FullWeight, placer.FullWeight, 0})
	st := first[0]
	st.Phase, st.Order, st.Canaries, st.Share = roller.Canary, roller.Order{ID: 1, To: "v2"}, []string{"s4"}, 1
	in.RollOuts["counter"] = st
	is.Equal(weights(), []uint32{placer.FullWeight, 0, placer.FullWeight, placer.FullWeight, 1})
	in.RollOuts = nil // rollouts are off
	is.Equal(weights()[1], uint32(placer.FullWeight))
}
