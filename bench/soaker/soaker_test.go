package soaker_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cornellanding.example/bench/soaker"
	"github.com/matryer/is"
)

// TestSoak replays seeds that once showed a violation, each named after its
// cause, and one further seed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cornellanding")
	build := exec.Command("go", "build", "-o", program, "cornellanding.example/cmd/cornellanding")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, cas := range []struct {
		name     string
		seed     uint64
		restores bool
	}{
		{"fencing token fell after the hold of a joined row lapsed", 101, false},
		{"further seed", 1, false},
		{"the store comes back from older copies", 1, true},
	} {
		t.Run(cas.name, func(t *testing.T) {
			is := is.New(t)
			rp, err := soaker.Run(context.Background(), soaker.Settings{
				Program: program, Folder: t.TempDir(), Seed: cas.seed, Restores: cas.restores, Duration: 15 * time.Second, VMs: 6, Rate: 60,
				Progress: func(text string) { t.Log(text) },
			})
			is.NoErr(err)
			t.Logf("%+v", rp)
			is.Equal(rp.Violations, nil)
			is.True(rp.Faults > 5)                    // faults were injected
			is.True(rp.Statuses[200] > rp.Requests/3) // a part of the load was served
		})
	}
}
