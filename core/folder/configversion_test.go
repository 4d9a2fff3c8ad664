package folder

import (
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"github.com/matryer/is"
)

// TestFormerConfigChangesNothing keeps out what a later configuration took out.
func TestFormerConfigChangesNothing(t *testing.T) {
	is := is.New(t)
	rows := []InstanceRow{
		{BackendServer: "a", Service: "s", DataCentre: "x", State: Active, Weight: placer.FullWeight, Lease: leaser.Row{Incarnation: 1}},
		{BackendServer: "b", Service: "s", DataCentre: "y", State: Active, Weight: placer.FullWeight, Lease: leaser.Row{Incarnation: 2}},
	}
	former := cataloguer.Config{Version: 4, Catalogue: cataloguer.Catalogue{Services: []cataloguer.Service{{Name: "s", Partitions: 8}}}}
	later := former
	later.Version, later.DrainedDataCentres = 5, []string{"x"}
	maps := map[string]placer.Map{}
	for _, ma := range Fold(Input{Rows: rows, Config: later, Maps: maps}) {
		maps[ma.Service] = ma
	}
	is.Equal(maps["s"].Members[0].Weight, uint32(0))
	is.Equal(maps[LimitsService].Members[0].Weight, uint32(placer.FullWeight)) // buckets may stay
	is.Equal(len(Fold(Input{Rows: rows, Config: former, Maps: maps})), 0)
	back := later
	back.Version, back.DrainedDataCentres = 6, nil
	changed := Fold(Input{Rows: rows, Config: back, Maps: maps})
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Members[0].Weight, uint32(placer.FullWeight))
	is.Equal(Weight(LimitsService, InstanceRow{IsStopping: true}, back), uint32(0)) // a stopping instance takes none
}
