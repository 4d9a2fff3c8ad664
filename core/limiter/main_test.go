package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the random tests a fixed seed, so that every run checks the same
// cases. Flags of rapid on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
