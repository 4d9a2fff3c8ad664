package driller_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/driller"
	"github.com/matryer/is"
)

// TestProcesses breaks real processes under load. Only the invariants are
// asserted; cornelbench drill prints the measures.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	for _, program := range []string{"cornellanding", "cornelbench"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, program), "cornellanding.example/cmd/"+program)
		out, err := build.CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v: %s", program, err, out)
		}
	}
	for _, fault := range driller.Faults {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			rp, err := driller.Run(context.Background(), driller.Settings{
				Router: filepath.Join(folder, "cornellanding"), Bench: filepath.Join(folder, "cornelbench"),
				Fault: fault, Duration: 4 * time.Second, Rate: 100, Seed: 1,
			})
			is.NoErr(err)
			is.True(rp.Outcomes["answered"] > rp.Requests/2) // the load was real
			is.Equal(checker.Summary(rp.Violations), "")
		})
	}
}
