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

// TestSoak plays seeds that failed once, each with its cause, and one more.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cornellanding")
	build := exec.Command("go", "build", "-o", program, "cornellanding.example/cmd/cornellanding")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, cas := range []struct {
		name string
		seed uint64
	}{
		{"a token fell after a joined row's hold had lapsed", 101},
		{"one that held", 1},
	} {
		t.Run(cas.name, func(t *testing.T) {
			is := is.New(t)
			rp, err := soaker.Run(context.Background(), soaker.Settings{
				Program: program, Folder: t.TempDir(), Seed: cas.seed, Duration: 15 * time.Second, VMs: 6, Rate: 60,
				Progress: func(text string) { t.Log(text) },
			})
			is.NoErr(err)
			t.Logf("%+v", rp)
			is.Equal(rp.Violations, nil)
			is.True(rp.Faults > 5)                    // it was harmed
			is.True(rp.Statuses[200] > rp.Requests/3) // and it served
		})
	}
}
