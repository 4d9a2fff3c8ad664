// Package checker reads the histories of a run for broken invariants.
//
// # Usage
//
//	violations := checker.Check(checker.History{Catalogue: cat, Results: results, Records: records})
package checker

import (
	"fmt"
	"slices"
	"strings"

	"cornellanding.example/bench/loader"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/standin/emulator"
)

// Server is what one backend server ran and saw.
type Server struct {
	Name    string
	Service string
	Records []emulator.Record
	Counts  emulator.BackendServerCounts
}

// History is what callers and backend servers saw.
type History struct {
	Catalogue cataloguer.Catalogue
	Results   []loader.Result
	Servers   []Server
}

// Violation is a broken invariant, numbered as in docs/FAULTS.md.
type Violation struct {
	Invariant int
	Detail    string
}

// String returns the violation for people.
func (vi Violation) String() string { return fmt.Sprintf("invariant %d: %s", vi.Invariant, vi.Detail) }

// Check returns all violations that the history shows.
func Check(hi History) []Violation {
	ch := &check{hi: hi, runs: map[string][]emulator.Record{}}
	for _, se := range hi.Servers {
		for _, re := range se.Records {
			ch.runs[re.Body] = append(ch.runs[re.Body], re)
		}
	}
	ch.oneOwner()
	ch.acknowledged()
	ch.coldStart()
	ch.ownWorkspace()
	ch.limits()
	ch.whole()
	ch.truthful()
	ch.atMostOnce()
	return ch.found
}

type check struct {
	hi    History
	runs  map[string][]emulator.Record
	found []Violation
}

func (ch *check) fail(invariant int, format string, args ...any) {
	ch.found = append(ch.found, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

func (ch *check) isExclusive(service string) bool {
	return slices.ContainsFunc(ch.hi.Catalogue.Services, func(sv cataloguer.Service) bool {
		return sv.Name == service && sv.Class == cataloguer.Exclusive
	})
}

// interval is one run of a key on a server.
type interval struct {
	server string
	record emulator.Record
}

// oneOwner finds keys that ran on two servers at once, and keys that came back
// with an older fencing epoch.
func (ch *check) oneOwner() {
	byKey := map[string][]interval{}
	for _, se := range ch.hi.Servers {
		if !ch.isExclusive(se.Service) {
			continue
		}
		for _, re := range se.Records {
			key := se.Service + "/" + re.Key
			byKey[key] = append(byKey[key], interval{server: se.Name, record: re})
		}
	}
	for key, list := range byKey {
		ch.oneOwnerOf(key, list)
	}
}

func (ch *check) oneOwnerOf(key string, list []interval) {
	slices.SortFunc(list, func(le, ri interval) int { return int(le.record.StartedAt - ri.record.StartedAt) })
	latest := map[string]int64{}
	epoch := uint64(0)
	for _, in := range list {
		for server, endedAt := range latest {
			if server != in.server && endedAt > in.record.StartedAt {
				ch.fail(1, "key %s ran on %s and %s at once", key, server, in.server)
			}
		}
		latest[in.server] = max(latest[in.server], in.record.EndedAt)
		if in.record.Epoch < epoch {
			ch.fail(1, "key %s ran on %s with epoch %d after %d", key, in.server, in.record.Epoch, epoch)
		}
		epoch = max(epoch, in.record.Epoch)
	}
}

// acknowledged finds answered requests that no server ran.
func (ch *check) acknowledged() {
	for _, re := range ch.hi.Results {
		isDone := func(rc emulator.Record) bool { return !rc.Cancelled }
		if re.Outcome == loader.Answered && !slices.ContainsFunc(ch.runs[re.ID], isDone) {
			ch.fail(2, "request %s was answered and is on no server", re.ID)
		}
	}
}

func (ch *check) coldStart() {
	for _, se := range ch.hi.Servers {
		if se.Counts.Overruns > 0 {
			ch.fail(3, "%s got %d requests above what it bears", se.Name, se.Counts.Overruns)
		}
	}
}

// ownWorkspace finds runs for another workspace than the key's, and keys that
// reached a server.
func (ch *check) ownWorkspace() {
	access := map[string]cataloguer.Access{}
	for _, rt := range ch.hi.Catalogue.Routes {
		access[rt.Name] = rt.Access
	}
	for _, re := range ch.hi.Results {
		want := re.Workspace
		if access[re.Route] == cataloguer.OpenAccess {
			want = ""
		}
		for _, rc := range ch.runs[re.ID] {
			if rc.Workspace != want {
				ch.fail(5, "request %s of %q ran for %q", re.ID, want, rc.Workspace)
			}
		}
	}
	for _, se := range ch.hi.Servers {
		if se.Counts.KeysSeen > 0 {
			ch.fail(5, "%s saw %d workspace keys", se.Name, se.Counts.KeysSeen)
		}
	}
}

// limits replays the runs of each workspace through a bucket of its rate and
// burst. Copies of one request count once.
func (ch *check) limits() {
	starts := map[string][]int64{}
	for _, list := range ch.runs {
		starts[list[0].Workspace] = append(starts[list[0].Workspace], list[0].StartedAt)
	}
	for _, ws := range ch.hi.Catalogue.Workspaces {
		peak := PeakExcess(starts[ws.Name], ws.Rate)
		if peak > ws.Burst {
			ch.fail(6, "workspace %s ran %.0f requests above its rate, its burst is %.0f", ws.Name, peak, ws.Burst)
		}
	}
}

// PeakExcess returns the most by which the events, in nanoseconds, exceed the rate a
// second in any window.
func PeakExcess(starts []int64, rate float64) float64 {
	slices.Sort(starts)
	level, peak, last := 0.0, 0.0, int64(0)
	for _, at := range starts {
		level = max(0, level-rate*float64(at-last)/1e9) + 1
		last = at
		peak = max(peak, level)
	}
	return peak
}

func (ch *check) whole() {
	for _, re := range ch.hi.Results {
		if re.Outcome == loader.Answered && re.Status == 200 && !re.IsIntact {
			ch.fail(7, "request %s got an answer that is not its own or not whole", re.ID)
		}
	}
}

func (ch *check) truthful() {
	for _, re := range ch.hi.Results {
		if re.Outcome == loader.NotRun && len(ch.runs[re.ID]) > 0 {
			ch.fail(8, "request %s was refused as not run (%s) and ran", re.ID, re.Code)
		}
	}
}

func (ch *check) atMostOnce() {
	for _, re := range ch.hi.Results {
		if count := len(ch.runs[re.ID]); !re.Idempotent && count > 1 {
			ch.fail(9, "request %s ran %d times", re.ID, count)
		}
	}
}

// Summary returns the violations as one text, empty if there are none.
func Summary(list []Violation) string {
	var lines []string
	for _, vi := range list {
		lines = append(lines, vi.String())
	}
	return strings.Join(lines, "\n")
}
