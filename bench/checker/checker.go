// Package checker checks the histories of a run, as recorded by callers and
// backend servers, for violated invariants.
//
// # Usage
//
//	violations := checker.Check(checker.History{Catalogue: cat, Results: results, Servers: servers})
package checker

import (
	"fmt"
	"slices"
	"strings"

	"cornellanding.example/bench/loader"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/standin/emulator"
)

// Server holds the requests that one backend server ran, and its counters.
type Server struct {
	Name    string
	Service string
	Records []emulator.Record
	Counts  emulator.BackendServerCounts
}

// History is what callers and backend servers recorded during a run.
type History struct {
	Catalogue cataloguer.Catalogue
	Results   []loader.Result
	Servers   []Server
}

// Violation is a violated invariant, numbered as in docs/FAULTS.md.
type Violation struct {
	Invariant int
	Detail    string
}

// String returns the invariant's number and the detail as one line.
func (vi Violation) String() string { return fmt.Sprintf("invariant %d: %s", vi.Invariant, vi.Detail) }

// Check returns all violations that the history shows, or nil.
func Check(hi History) []Violation {
	ch := &check{hi: hi, runs: map[string][]emulator.Record{}}
	for _, se := range hi.Servers {
		for _, re := range se.Records {
			ch.runs[re.Body] = append(ch.runs[re.Body], re)
		}
	}
	ch.singleOwner()
	ch.answeredRequestsRan()
	ch.overruns()
	ch.workspaceIsolation()
	ch.limits()
	ch.answersIntact()
	ch.refusedRequestsDidNotRun()
	ch.atMostOnce()
	return ch.violations
}

// check holds the state of one call of Check. runs maps a request's id, which
// is its body, to its records on all servers.
type check struct {
	hi         History
	runs       map[string][]emulator.Record
	violations []Violation
}

func (ch *check) fail(invariant int, format string, args ...any) {
	ch.violations = append(ch.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

func (ch *check) isExclusive(service string) bool {
	return slices.ContainsFunc(ch.hi.Catalogue.Services, func(sv cataloguer.Service) bool {
		return sv.Name == service && sv.Class == cataloguer.Exclusive
	})
}

// interval is one request that ran on a server, with its start and end.
type interval struct {
	server string
	record emulator.Record
}

// singleOwner finds keys that two servers served at the same time, and keys
// that were served with a fencing epoch below an earlier one.
func (ch *check) singleOwner() {
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
		ch.singleOwnerOf(key, list)
	}
}

func (ch *check) singleOwnerOf(key string, list []interval) {
	slices.SortFunc(list, func(le, ri interval) int { return int(le.record.StartedAt - ri.record.StartedAt) })
	latest := map[string]int64{}
	epoch := uint64(0)
	for _, in := range list {
		for server, endedAt := range latest {
			if server != in.server && endedAt > in.record.StartedAt {
				ch.fail(1, "key %s was served by %s and %s at the same time", key, server, in.server)
			}
		}
		latest[in.server] = max(latest[in.server], in.record.EndedAt)
		if in.record.Epoch < epoch {
			ch.fail(1, "key %s was served by %s with fencing epoch %d after epoch %d", key, in.server, in.record.Epoch, epoch)
		}
		epoch = max(epoch, in.record.Epoch)
	}
}

// answeredRequestsRan finds requests that were answered although no server
// completed them.
func (ch *check) answeredRequestsRan() {
	for _, re := range ch.hi.Results {
		isDone := func(rc emulator.Record) bool { return !rc.Cancelled }
		if re.Outcome == loader.Answered && !slices.ContainsFunc(ch.runs[re.ID], isDone) {
			ch.fail(2, "request %s was answered but no backend server completed it", re.ID)
		}
	}
}

// overruns finds servers that got requests above their capacity.
func (ch *check) overruns() {
	for _, se := range ch.hi.Servers {
		if se.Counts.Overruns > 0 {
			ch.fail(3, "%s got %d requests above its capacity", se.Name, se.Counts.Overruns)
		}
	}
}

// workspaceIsolation finds requests that ran for another workspace than that of
// their API key, and API keys that reached a backend server. Requests of routes
// with open access must run without a workspace.
func (ch *check) workspaceIsolation() {
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
				ch.fail(5, "request %s of workspace %q ran for workspace %q", re.ID, want, rc.Workspace)
			}
		}
	}
	for _, se := range ch.hi.Servers {
		if se.Counts.KeysSeen > 0 {
			ch.fail(5, "%s received %d workspace keys", se.Name, se.Counts.KeysSeen)
		}
	}
}

// limits replays the requests of each workspace through a token bucket of its
// rate and burst. A request that ran several times counts once.
func (ch *check) limits() {
	starts := map[string][]int64{}
	for _, list := range ch.runs {
		starts[list[0].Workspace] = append(starts[list[0].Workspace], list[0].StartedAt)
	}
	for _, ws := range ch.hi.Catalogue.Workspaces {
		peak := PeakExcess(starts[ws.Name], ws.Rate)
		if peak > ws.Burst {
			ch.fail(6, "workspace %s exceeded its rate by %.0f requests, its burst is %.0f", ws.Name, peak, ws.Burst)
		}
	}
}

// PeakExcess returns the largest number of events in any window above what the
// rate allows in it. starts holds the times of the events in nanoseconds; the
// rate is in events per second. PeakExcess sorts starts.
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

// answersIntact finds successful answers that were truncated or belonged to
// another request.
func (ch *check) answersIntact() {
	for _, re := range ch.hi.Results {
		if re.Outcome == loader.Answered && re.Status == 200 && !re.IsIntact {
			ch.fail(7, "request %s got an answer that is truncated or belongs to another request", re.ID)
		}
	}
}

func (ch *check) refusedRequestsDidNotRun() {
	for _, re := range ch.hi.Results {
		if re.Outcome == loader.NotRun && len(ch.runs[re.ID]) > 0 {
			ch.fail(8, "request %s was refused with outcome notRun (%s) but ran", re.ID, re.Code)
		}
	}
}

// atMostOnce finds non-idempotent requests that ran more than once.
func (ch *check) atMostOnce() {
	for _, re := range ch.hi.Results {
		if count := len(ch.runs[re.ID]); !re.Idempotent && count > 1 {
			ch.fail(9, "non-idempotent request %s ran %d times", re.ID, count)
		}
	}
}

// Summary returns the violations as text, one per line, or an empty string if
// there are none.
func Summary(list []Violation) string {
	var lines []string
	for _, vi := range list {
		lines = append(lines, vi.String())
	}
	return strings.Join(lines, "\n")
}
