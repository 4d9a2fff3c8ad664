package injector

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// pairsVariable is the environment variable that sets how many cells with two
// faults or a repeated fault run. "all" runs all of them.
const pairsVariable = "CORNELLANDING_PAIRS"

const (
	sampledPairs = 10
	seed         = 1
)

// TestSingles runs every step with every single fault.
func TestSingles(t *testing.T) {
	runCells(t, Singles())
}

// TestPairsAndRepeated runs a seeded sample of the cells with two faults or a
// repeated fault.
func TestPairsAndRepeated(t *testing.T) {
	cells := append(Pairs(), Repeated()...)
	count := sampledPairs
	if text := os.Getenv(pairsVariable); text == "all" {
		count = len(cells)
	} else if given, err := strconv.Atoi(text); err == nil {
		count = given
	}
	random := rand.New(rand.NewPCG(seed, seed))
	random.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	runCells(t, cells[:min(count, len(cells))])
}

// runCells runs cells in parallel and logs how many ran and were skipped.
func runCells(t *testing.T, cells []Cell) {
	run, skipped := 0, map[string]int{}
	t.Run("cells", func(t *testing.T) {
		for _, ce := range cells {
			if why := ce.SkipReason(); why != "" {
				skipped[why]++
				continue
			}
			run++
			t.Run(ce.Name(), func(t *testing.T) {
				t.Parallel()
				is.New(t).NoErr(Run(context.Background(), ce, seed))
			})
		}
	})
	t.Logf("%d cells run", run)
	for why, count := range skipped {
		t.Logf("%d cells skipped: %s", count, why)
	}
}
