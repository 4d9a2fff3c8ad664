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
	// overlapLimit bounds how long two servers may both hold a range of keys,
	// provided that at most one of them starts requests on it. The platform
	// allows 500 ms.
	overlapLimit = 500 * time.Millisecond
	// The platform bounds a tenant's rate: in any quotaWindow, at most
	// (rate × quotaWindow + burst) × (1 + quotaOvershoot) + quotaSlack requests
	// may run.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// withdrawnLimit is how long the platform lets a withdrawn key be accepted.
	withdrawnLimit = 5 * time.Second
	// recoveryLimit is how long after the last fault the platform lets requests
	// fail.
	recoveryLimit = 15 * time.Second
)

// verifier collects violations of the platform's guarantees. Its methods may be
// called concurrently.
type verifier struct {
	mu         sync.Mutex
	violations []string
}

func (ve *verifier) fail(format string, args ...any) {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	if len(ve.violations) < maxViolations {
		ve.violations = append(ve.violations, fmt.Sprintf(format, args...))
	}
}

const (
	maxViolations = 20
	clockLayout   = "15:04:05.000"
)

func (ve *verifier) list() []string {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	return slices.Clone(ve.violations)
}

// attempt is one request of a client with its answer.
type attempt struct {
	request      platformer.Request
	answer       platformer.Answer
	tenant       string
	isIdempotent bool
	startedAt    time.Time
	endedAt      time.Time
	// isAfterRecovery is set if the request started more than recoveryLimit
	// after the last fault and its tenant has no rate limit, so that it must
	// succeed.
	isAfterRecovery bool
}

// verifyAnswer checks one answer as soon as it is received.
func (ve *verifier) verifyAnswer(at attempt) {
	an := at.answer
	switch {
	case an.Err != nil:
	case an.Status == http.StatusOK && (an.Signature == "" || an.Body != at.request.ExpectedBody()):
		ve.fail("%s: status 200 with signature %q and body %q", at.request.ID, an.Signature, an.Body)
	case an.Status != http.StatusOK && an.Signature != "":
		ve.fail("%s: status %d with a server's signature", at.request.ID, an.Status)
	case an.Status == http.StatusNotFound || an.Status == http.StatusBadRequest:
		ve.fail("%s: status %d for a valid request", at.request.ID, an.Status)
	}
	if at.isAfterRecovery && (an.Err != nil || an.Status != http.StatusOK) {
		ve.fail("%s: not served %s after the last fault: status %d, %v", at.request.ID, recoveryLimit, an.Status, an.Err)
	}
}

// history is what clients and backend servers observed during a soak.
type history struct {
	attempts []attempt
	servers  []server
	tenants  []platformer.Tenant
	// withdrawals lists when keys were withdrawn and granted again.
	withdrawals []withdrawal
}

type withdrawal struct {
	tenant      string
	from, until time.Time
}

// server is the record of one run of a backend server, from its start to its
// end. tenures are the periods in which it held key ranges.
type server struct {
	id             string
	runs           []platformer.Run
	tenures        []platformer.HoldPeriod
	protocolErrors []string
}

func historyOf(bs *platformer.Server) server {
	return server{id: bs.ID(), runs: bs.Runs(), tenures: bs.HoldPeriods(), protocolErrors: bs.ProtocolErrors()}
}

// write lists all tenures in a file, ordered by key range and time.
func (hi history) write(path string) error {
	var lines []string
	for _, bs := range hi.servers {
		for _, te := range bs.tenures {
			lines = append(lines, fmt.Sprintf("%05d %s - %s %-8s token %d",
				te.From, te.Since.Format(clockLayout), te.Until.Format(clockLayout), bs.id, te.FencingToken))
		}
	}
	slices.Sort(lines)
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// run is a request that a backend server ran, with the server's id.
type run struct {
	platformer.Run
	server string
}

// verifyHistory checks the whole history after the soak.
func (ve *verifier) verifyHistory(hi history) {
	runs := map[string][]run{}
	for _, bs := range hi.servers {
		for _, fault := range bs.protocolErrors {
			ve.fail("%s: %s", bs.id, fault)
		}
		for _, ru := range bs.runs {
			runs[ru.RequestID] = append(runs[ru.RequestID], run{Run: ru, server: bs.id})
		}
	}
	for _, at := range hi.attempts {
		ve.verifyRuns(at, runs[at.request.ID], hi.withdrawals)
		delete(runs, at.request.ID)
	}
	for id := range runs {
		ve.fail("%s ran but no client sent it", id)
	}
	ve.verifyTenures(hi.servers)
	for _, te := range hi.tenants {
		ve.verifyRate(te, hi)
	}
}

// verifyRuns checks the runs of one attempt against its answer, its tenant and
// the withdrawals of keys.
func (ve *verifier) verifyRuns(at attempt, runs []run, withdrawals []withdrawal) {
	id := at.request.ID
	if !at.isIdempotent && len(runs) > 1 {
		ve.fail("%s ran %d times, on %s and %s", id, len(runs), runs[0].server, runs[1].server)
	}
	if at.answer.IsNotExecuted() && len(runs) > 0 {
		ve.fail("%s: status %d promises that it did not run, but it ran on %s", id, at.answer.Status, runs[0].server)
	}
	if at.answer.Err == nil && at.answer.Status == http.StatusOK && len(runs) == 0 {
		ve.fail("%s was answered but ran on no server", id)
	}
	for _, ru := range runs {
		switch {
		case ru.Tenant != at.tenant:
			ve.fail("%s of tenant %q ran for tenant %q", id, at.tenant, ru.Tenant)
		case ru.HasCredential:
			ve.fail("%s: the tenant's key was passed on to the server", id)
		case ru.Body != id || ru.Key != at.request.Key:
			ve.fail("%s ran with body %q and key %d", id, ru.Body, ru.Key)
		case ru.Caller != keyService && ru.Caller != plainService:
			ve.fail("%s ran with caller service %q", id, ru.Caller)
		}
		for _, wi := range withdrawals {
			if wi.tenant == at.tenant && at.startedAt.After(wi.from.Add(withdrawnLimit)) && at.endedAt.Before(wi.until) {
				ve.fail("%s ran %s after its key was withdrawn", id, at.startedAt.Sub(wi.from))
			}
		}
	}
}

// heldRange is a tenure of a key range and the server run that had it.
type heldRange struct {
	platformer.HoldPeriod
	// start distinguishes runs of a server that kept its id.
	start int
	id    string
	runs  []platformer.Run
}

// verifyTenures checks that each key range has one holder at a time, and that
// fencing tokens increase from one holder to the next.
func (ve *verifier) verifyTenures(servers []server) {
	ranges := map[uint64][]heldRange{}
	for start, bs := range servers {
		for _, te := range bs.tenures {
			ranges[te.From] = append(ranges[te.From], heldRange{HoldPeriod: te, start: start, id: bs.id, runs: bs.runs})
		}
	}
	for _, list := range ranges {
		slices.SortFunc(list, func(le, ri heldRange) int { return le.Since.Compare(ri.Since) })
		for i, later := range list {
			for _, earlier := range list[:i] {
				if earlier.start != later.start {
					ve.verifyPair(earlier, later)
				}
			}
		}
	}
}

// verifyPair checks the tenures of one key range in two server runs. earlier
// began first.
func (ve *verifier) verifyPair(earlier, later heldRange) {
	if later.FencingToken <= earlier.FencingToken {
		ve.fail("keys from %d: %s got fencing token %d after %s had %d", later.From, later.id, later.FencingToken, earlier.id, earlier.FencingToken)
	}
	until := earlier.Until
	if later.Until.Before(until) {
		until = later.Until
	}
	both := until.Sub(later.Since)
	if both <= 0 {
		return
	}
	if both > overlapLimit || startsRequest(earlier, later.Since, until) && startsRequest(later, later.Since, until) {
		ve.fail("keys from %d: %s and %s both held them for %s", later.From, earlier.id, later.id, both)
	}
}

// startsRequest reports whether the holder starts a request on its range within
// [from, until).
func startsRequest(ho heldRange, from, until time.Time) bool {
	return slices.ContainsFunc(ho.runs, func(ru platformer.Run) bool {
		return ru.Key >= ho.From && ru.Key <= ho.To && !ru.StartedAt.Before(from) && ru.StartedAt.Before(until)
	})
}

// verifyRate checks a tenant's request rate in every quotaWindow and reports the
// first violation. A rate of 0 is unlimited.
func (ve *verifier) verifyRate(te platformer.Tenant, hi history) {
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
			ve.fail("tenant %s: %d runs in %s, at most %d are allowed", te.Name, most+1, span, most)
			return
		}
	}
}
