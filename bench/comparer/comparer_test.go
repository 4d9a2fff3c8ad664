package comparer

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestRouterBeatsNaive checks that the router's versions beat the naive ones,
// and that two runs with one seed are equal.
func TestRouterBeatsNaive(t *testing.T) {
	is := is.New(t)
	all := All(1)
	for _, co := range all {
		t.Logf("%s: naive %+v, ours %+v", co.Name, co.Naive, co.Ours)
	}
	is.Equal(all, All(1)) // deterministic for a seed
	flood, straggler, cold, night := all[0], all[1], all[2], all[3]
	is.True(flood.Ours.P99 < flood.Naive.P99)
	is.Equal(flood.Ours.Refused, 0) // workspaces within their rate are not refused because of another's flood
	is.True(straggler.Ours.P99 < straggler.Naive.P99/4)
	is.True(cold.Naive.Overruns > 0)
	is.Equal(cold.Ours.Overruns, 0)
	is.Equal(night.Ours.Refused, 0) // payments are not refused because of background reads
	is.True(night.Ours.P99 < 30*timer.Millisecond)
}
