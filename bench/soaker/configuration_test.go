package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cornellanding.example/standin/platformer"
	"github.com/matryer/is"
)

// applyLimit is how long the platform lets an older configuration be used.
const applyLimit = 2 * time.Second

// TestInstanceWithoutPeersFollowsConfiguration guards against an instance that keeps an old
// configuration while all that would tell it of a new one have gone.
func TestInstanceWithoutPeersFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	fl := startTestFleet(t, 12)
	lone := fl.lastInZone(t)
	for _, one := range fl.vms {
		if one != lone {
			one.mustSignal(t, syscall.SIGSTOP)
		}
	}
	sentAt := time.Now()
	fl.configure(addRoute)
	for fl.statusAt(lone, addedPrefix) == http.StatusNotFound && time.Since(sentAt) < 3*applyLimit {
		time.Sleep(readyPoll)
	}
	took := time.Since(sentAt)
	t.Logf("%s: %s", lone.place.Name, took)
	is.True(took < applyLimit) // the new route is unknown for too long
}

const addedPrefix = "/added/"

func addRoute(co *platformer.Config) {
	co.Routes = append(co.Routes, platformer.Route{
		Name: "added", Prefix: addedPrefix, Type: platformer.Idempotent, TimeoutS: 1, TargetLatencyS: 1, Service: plainService, MaxAttempts: 1,
	})
}

func startTestFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	return startTestFleetIn(t, vms, false)
}

// fleetsStarted numbers the fleets of tests: each has addresses of its own, by its seed.
var fleetsStarted atomic.Uint64

// startTestFleetIn starts a fleet with a store that names its era if it is to come back from a copy.
func startTestFleetIn(t *testing.T, vms int, restores bool) *fleet {
	t.Helper()
	is := is.New(t)
	seed := fleetsStarted.Add(1)
	program := filepath.Join(t.TempDir(), "cornellanding")
	out, err := exec.Command("go", "build", "-o", program, "cornellanding.example/cmd/cornellanding").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	check := &verifier{}
	fl, err := startFleet(context.Background(), Settings{Program: program, Folder: t.TempDir(), Seed: seed, VMs: vms, Restores: restores}, check)
	t.Cleanup(func() {
		fl.close()
		is.Equal(check.list(), nil)
	})
	is.NoErr(err)
	return fl
}

// lastInZone returns the VM of the first zone with the highest incarnation, which reads the
// configuration from the store last.
func (fl *fleet) lastInZone(t *testing.T) *vm {
	t.Helper()
	var last *vm
	highest := uint64(0)
	for _, one := range fl.vms {
		if one.place.Zone != zones[0] {
			continue
		}
		if incarnation := incarnationOf(t, one); incarnation > highest {
			last, highest = one, incarnation
		}
	}
	return last
}

// incarnationOf returns the incarnation with which an instance joined, from its log.
func incarnationOf(t *testing.T, one *vm) uint64 {
	t.Helper()
	file, err := os.Open(one.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Message     string `json:"@message"`
			Incarnation uint64 `json:"incarnation"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err == nil && line.Message == "joined the fleet" {
			return line.Incarnation
		}
	}
	t.Fatalf("%s has not joined", one.place.Name)
	return 0
}
