package folder

import (
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"github.com/matryer/is"
)

// TestFoldTakesSpeeds checks that a changed speed of a row reaches the map of its service,
// and guards against token buckets that move for it.
func TestFoldTakesSpeeds(t *testing.T) {
	is := is.New(t)
	row := InstanceRow{BackendServer: "a", Service: "counter", Weight: placer.FullWeight, State: Active, Lease: leaser.Row{Incarnation: 1}}
	in := Input{Rows: []InstanceRow{row}, Maps: map[string]placer.Map{}}
	in.Config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Partitions: 16}}
	fold := func() map[string]uint32 {
		changed := map[string]uint32{}
		for _, ma := range Fold(in) {
			in.Maps[ma.Service] = ma
			me, _ := ma.Member("a")
			changed[ma.Service] = me.Speed
		}
		return changed
	}
	is.Equal(fold(), map[string]uint32{"counter": 0, LimitsService: 0})
	in.Rows[0].Speed = 6
	is.Equal(fold(), map[string]uint32{"counter": 6})
	is.Equal(fold(), map[string]uint32{})
	in.Rows[0].Speed = 1000
	is.Equal(fold(), map[string]uint32{"counter": placer.MaxSpeed})
	in.Config.DrainedServers = []string{"a"}
	fold()
	me, _ := in.Maps["counter"].Member("a")
	is.Equal([]uint32{me.Weight, me.Speed}, []uint32{0, placer.MaxSpeed}) // factors of their own
}
