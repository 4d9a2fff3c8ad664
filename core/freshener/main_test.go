package freshener

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that each run has the same
// result. Flags of rapid on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
