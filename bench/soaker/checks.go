package soaker

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cornellanding.example/standin/platformer"
)

const (
	// overlapLimit is for how long two servers may hold a range, if neither or only
	// one of them begins requests on it: the platform's bound.
	overlapLimit = 500 * time.Millisecond
	// quotaWindow and the next two are the platform's bounds on a tenant's rate.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// withdrawnLimit is how long a withdrawn key may work: the platform's bound.
	withdrawnLimit = 5 * time.Second
	// recoveryLimit is how long after the last fault requests may fail: the
	// platform's bound.
	recoveryLimit = 15 * time.Second
)

// watch collects broken promises.
type watch struct {
	mu    sync.Mutex
	found []string
}

func (wa *watch) fail(format string, args ...any) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if len(wa.found) < maxFound {
		wa.found = append(wa.found, fmt.Sprintf(format, args...))
	}
}

const (
	maxFound    = 20
	clockLayout = "15:04:05.000"
)

func (wa *watch) list() []string {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return slices.Clone(wa.found)
}

// attempt is a client's attempt and its answer.
type attempt struct {
	request      platformer.Request
	answer       platformer.Answer
	tenant       string
	isRepeatable bool
	startedAt    time.Time
	endedAt      time.Time
	// isCalm says that all faults had ended recoveryLimit before.
	isCalm bool
}

// check judges one answer as soon as it is there.
func (wa *watch) check(at attempt) {
	an := at.answer
	switch {
	case an.Err != nil:
	case an.Status == http.StatusOK && (an.Signature == "" || an.Body != at.request.ExpectedBody()):
		wa.fail("%s: a success with signature %q and body %q", at.request.ID, an.Signature, an.Body)
	case an.Status != http.StatusOK && an.Signature != "":
		wa.fail("%s: status %d under a server's signature", at.request.ID, an.Status)
	case an.Status == http.StatusNotFound || an.Status == http.StatusBadRequest:
		wa.fail("%s: status %d for a proper request", at.request.ID, an.Status)
	}
	if at.isCalm && (an.Err != nil || an.Status != http.StatusOK) {
		wa.fail("%s: not served %s after the last fault: status %d, %v", at.request.ID, recoveryLimit, an.Status, an.Err)
	}
}

// history is what clients and servers saw.
type history struct {
	attempts []attempt
	servers  []server
	tenants  []platformer.Tenant
	// withdrawals tells when a key was withdrawn, and when it was granted again.
	withdrawals []withdrawal
}

type withdrawal struct {
	tenant      string
	from, until time.Time
}

// server is what one start of a backend server held and ran.
type server struct {
	id      string
	runs    []platformer.Run
	tenures []platformer.HoldPeriod
	faults  []string
}

func historyOf(bs *platformer.Server) server {
	return server{id: bs.ID(), runs: bs.Runs(), tenures: bs.HoldPeriods(), faults: bs.ProtocolErrors()}
}

// write lists all tenures, by range and time.
func (hi history) write(path string) error {
	var lines []string
	for _, bs := range hi.servers {
		for _, te := range bs.tenures {
			lines = append(lines, fmt.Sprintf("%05d %s - %s %-8s token %d",
				te.From, te.Since.Format(clockLayout), te.Until.Format(clockLayout), bs.id, te.Fence))
		}
	}
	slices.Sort(lines)
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// run is a run and the server that made it.
type run struct {
	platformer.Run
	server string
}

// judge checks the whole history.
func (wa *watch) judge(hi history) {
	runs := map[string][]run{}
	for _, bs := range hi.servers {
		for _, fault := range bs.faults {
			wa.fail("%s: %s", bs.id, fault)
		}
		for _, ru := range bs.runs {
			runs[ru.RequestID] = append(runs[ru.RequestID], run{Run: ru, server: bs.id})
		}
	}
	for _, at := range hi.attempts {
		wa.judgeRuns(at, runs[at.request.ID], hi.withdrawals)
		delete(runs, at.request.ID)
	}
	for id := range runs {
		wa.fail("%s ran and no client sent it", id)
	}
	wa.judgeHolds(hi.servers)
	for _, te := range hi.tenants {
		wa.judgeRate(te, hi)
	}
}

// judgeRuns checks what became of one attempt at the servers.
func (wa *watch) judgeRuns(at attempt, runs []run, withdrawals []withdrawal) {
	id := at.request.ID
	if !at.isRepeatable && len(runs) > 1 {
		wa.fail("%s ran %d times, on %s and %s", id, len(runs), runs[0].server, runs[1].server)
	}
	if at.answer.IsNotExecuted() && len(runs) > 0 {
		wa.fail("%s: status %d and ran on %s", id, at.answer.Status, runs[0].server)
	}
	if at.answer.Err == nil && at.answer.Status == http.StatusOK && len(runs) == 0 {
		wa.fail("%s was answered and is on no server", id)
	}
	for _, ru := range runs {
		switch {
		case ru.Tenant != at.tenant:
			wa.fail("%s of %q ran for %q", id, at.tenant, ru.Tenant)
		case ru.HasCredential:
			wa.fail("%s: the key of the tenant was passed on", id)
		case ru.Body != id || ru.Key != at.request.Key:
			wa.fail("%s ran with body %q and key %d", id, ru.Body, ru.Key)
		case ru.Caller != keyService && ru.Caller != plainService:
			wa.fail("%s ran for the service %q", id, ru.Caller)
		}
		for _, wi := range withdrawals {
			if wi.tenant == at.tenant && at.startedAt.After(wi.from.Add(withdrawnLimit)) && at.endedAt.Before(wi.until) {
				wa.fail("%s ran %s after its key was withdrawn", id, at.startedAt.Sub(wi.from))
			}
		}
	}
}

// held is a tenure and its server.
type held struct {
	platformer.HoldPeriod
	// start tells the server's starts apart; they may have one id.
	start int
	id    string
	runs  []platformer.Run
}

// judgeHolds checks that a range has one holder at a time, and that its tokens
// rise from one to the next.
func (wa *watch) judgeHolds(servers []server) {
	ranges := map[uint64][]held{}
	for start, bs := range servers {
		for _, te := range bs.tenures {
			ranges[te.From] = append(ranges[te.From], held{HoldPeriod: te, start: start, id: bs.id, runs: bs.runs})
		}
	}
	for _, list := range ranges {
		slices.SortFunc(list, func(le, ri held) int { return le.Since.Compare(ri.Since) })
		for i, later := range list {
			for _, earlier := range list[:i] {
				if earlier.start != later.start {
					wa.judgePair(earlier, later)
				}
			}
		}
	}
}

func (wa *watch) judgePair(earlier, later held) {
	if later.Fence <= earlier.Fence {
		wa.fail("keys from %d: %s got token %d after %s had %d", later.From, later.id, later.Fence, earlier.id, earlier.Fence)
	}
	until := earlier.Until
	if later.Until.Before(until) {
		until = later.Until
	}
	both := until.Sub(later.Since)
	if both <= 0 {
		return
	}
	if both > overlapLimit || begins(earlier, later.Since, until) && begins(later, later.Since, until) {
		wa.fail("keys from %d: %s and %s held them at once for %s", later.From, earlier.id, later.id, both)
	}
}

// begins reports whether the holder begins a request on its range in a span.
func begins(ho held, from, until time.Time) bool {
	return slices.ContainsFunc(ho.runs, func(ru platformer.Run) bool {
		return ru.Key >= ho.From && ru.Key <= ho.To && !ru.StartedAt.Before(from) && ru.StartedAt.Before(until)
	})
}

// judgeRate checks a tenant's runs in every window.
func (wa *watch) judgeRate(te platformer.Tenant, hi history) {
	if te.RatePerS == 0 {
		return
	}
	var starts []time.Time
	for _, bs := range hi.servers {
		for _, ru := range bs.runs {
			if ru.Tenant == te.Name {
				starts = append(starts, ru.StartedAt)
			}
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	most := int((te.RatePerS*quotaWindow.Seconds()+te.Burst)*(1+quotaOvershoot)) + quotaSlack
	for i := most; i < len(starts); i++ {
		if span := starts[i].Sub(starts[i-most]); span < quotaWindow {
			wa.fail("tenant %s: %d runs in %s, at most %d are allowed", te.Name, most+1, span, most)
			return
		}
	}
}
