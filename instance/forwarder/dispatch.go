package forwarder

import (
	"context"
	"net/http"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
)

const (
	// ownerCandidates is how many owners in a row are tried.
	ownerCandidates = 3
	minRetryDelay   = 2 * time.Millisecond
	maxRetryDelay   = 40 * time.Millisecond
	// answerReserve is what an attempt leaves of the call's time, so that the
	// gate can still say whether it ran: several times the way between instances.
	answerReserve = 12 * timer.Millisecond
	// comeBack is when a caller should come back whose key has no owner just
	// now. A move between owners takes about as long.
	comeBack = 200 * timer.Millisecond
	// ownerCheck is how often a waiting idempotent call looks for a new owner.
	ownerCheck = 20 * time.Millisecond
)

// attempt is the result of one forward.
type attempt struct {
	to      placer.Member
	answer  *peerproto.ForwardResponse
	wasSent bool
	// arrivals is how many backend servers may have received the copy.
	arrivals int
	err      error
	// isTooLate says that nothing was forwarded, since no time was left.
	isTooLate bool
}

// latest returns the attempt that tells why a call was not served. One that
// found no time says less than the one before it.
func latest(before, at attempt) attempt {
	isAttempt := before.answer != nil || before.err != nil
	if at.isTooLate && isAttempt && before.outcome() == gatekeeper.OutcomeNotRun {
		return before
	}
	return at
}

// outcome returns what is known of the request after the attempt.
func (at attempt) outcome() uint32 {
	switch {
	case at.err == nil:
		return at.answer.GetOutcome()
	case at.wasSent:
		return gatekeeper.OutcomeUnknown
	default:
		return gatekeeper.OutcomeNotRun
	}
}

// dispatch forwards a call until it is answered or refused for good.
func (fo *Forwarder) dispatch(ctx context.Context, ca *call) (*peerproto.ForwardResponse, *Refusal) {
	fo.retries.deposit(ca.service, fo.entries())
	sv, ok := fo.so.View().Services[ca.service]
	if !ok {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: CodeNoOwner, Reason: "the service is not known"}
	}
	if sv.Class == cataloguer.Shared {
		return fo.dispatchShared(ctx, ca)
	}
	return fo.dispatchExclusive(ctx, ca)
}

// dispatchExclusive tries the owner, and after a failure the members next in
// order, since one of them takes over. A key on its way to another owner is
// still served by its former one.
func (fo *Forwarder) dispatchExclusive(ctx context.Context, ca *call) (*peerproto.ForwardResponse, *Refusal) {
	delay := minRetryDelay
	last := attempt{}
	failures := 0
	for {
		order := fo.order(ca)
		if len(order) > 0 {
			last = latest(last, fo.tryOwner(ctx, ca, order[failures%len(order)]))
			if isNotOwner(last) {
				if former, ok := fo.formerOwner(ca, last.to); ok {
					last = latest(last, fo.tryOwner(ctx, ca, former))
				}
			}
			if isFinal(last, ca) {
				return fo.conclude(last)
			}
			if last.outcome() == gatekeeper.OutcomeUnknown {
				return fo.resolve(ctx, ca, last)
			}
			failures = nextFailures(failures, last)
		}
		if !fo.mayTryAgain(ca, last, delay) || !timer.Sleep(ctx, delay) {
			return nil, notInTime(ctx, last)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func isNotOwner(at attempt) bool {
	return at.err == nil && at.answer.GetCode() == gatekeeper.CodeNotOwner
}

// formerOwner returns the live member that owned the call's partition before
// the owner, if it is another.
func (fo *Forwarder) formerOwner(ca *call, owner placer.Member) (placer.Member, bool) {
	tb := fo.so.View().Tables[ca.service]
	if tb == nil {
		return placer.Member{}, false
	}
	former, ok := tb.PreviousOwner(tb.Partition(ca.key))
	return former, ok && former.Incarnation != owner.Incarnation
}

// mayTryAgain bounds how long and how often a call is tried that has not run. A
// try after the delay must find more time than an attempt leaves.
func (fo *Forwarder) mayTryAgain(ca *call, last attempt, delay time.Duration) bool {
	if ca.deadlineAt.Sub(fo.so.Now())-timer.FromDuration(delay) <= answerReserve {
		return false
	}
	if last.err == nil && last.answer.GetCode() == gatekeeper.CodeShed {
		return fo.mayRepeat(ca)
	}
	return ca.giveUpAt == 0 || fo.so.Now().Before(ca.giveUpAt)
}

// mayRepeat takes one repeat from the route's attempts and the retry budget.
func (fo *Forwarder) mayRepeat(ca *call) bool {
	if ca.route.MaxAttempts > 0 && ca.arrivals >= ca.route.MaxAttempts {
		return false
	}
	return fo.retries.withdraw(ca.service)
}

func (fo *Forwarder) order(ca *call) []placer.Member {
	tb := fo.so.View().Tables[ca.service]
	if tb == nil {
		return nil
	}
	return tb.PreferenceList(tb.Partition(ca.key), ownerCandidates)
}

// nextFailures moves on to the next candidate only if the last one did not
// answer at all. One that answers tells that it is alive, and so that the
// owner is the first candidate of the latest map.
func nextFailures(failures int, last attempt) int {
	if last.err != nil {
		return failures + 1
	}
	return 0
}

// tryOwner forwards a call once. An idempotent one does not wait for a member
// that lost the key meanwhile, which may never answer.
func (fo *Forwarder) tryOwner(ctx context.Context, ca *call, to placer.Member) attempt {
	if !ca.idempotent {
		return fo.try(ctx, ca, to)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	copied := ca.copy()
	ca.attempts++
	ca.servedBy = to.BackendServer
	result := make(chan attempt, 1)
	go func() { result <- fo.try(ctx, copied, to) }()
	ticker := time.NewTicker(ownerCheck)
	defer ticker.Stop()
	for {
		select {
		case at := <-result:
			ca.arrivals = copied.arrivals
			return at
		case <-ticker.C:
			if fo.isGone(ca.service, to) {
				ca.arrivals++
				return attempt{to: to, wasSent: true, err: errOwnerGone}
			}
		}
	}
}

func (fo *Forwarder) isGone(service string, me placer.Member) bool {
	tb := fo.so.View().Tables[service]
	if tb == nil {
		return false
	}
	_, isMember := tb.Map.ByIncarnation(me.Incarnation)
	return !isMember
}

// isFinal reports whether an attempt ends the call: it was answered, or refused
// for a reason that another attempt would not change.
func isFinal(at attempt, ca *call) bool {
	if at.err != nil {
		return false
	}
	if at.answer.GetOutcome() == gatekeeper.OutcomeAnswered {
		return true
	}
	switch at.answer.GetCode() {
	case admitter.CodeOverloaded, admitter.CodeDeadline, admitter.CodeQuarantined, admitter.CodeDuplicate,
		gatekeeper.CodeReused, gatekeeper.CodeNoRoom:
		return true
	case gatekeeper.CodeLost, gatekeeper.CodeCrashed:
		return !ca.idempotent
	default:
		return false
	}
}

// conclude turns a final attempt into an answer or a refusal.
func (fo *Forwarder) conclude(at attempt) (*peerproto.ForwardResponse, *Refusal) {
	if at.answer.GetOutcome() == gatekeeper.OutcomeAnswered {
		return at.answer, nil
	}
	rf := &Refusal{
		Status: statusOf(at.answer.GetCode()), Code: at.answer.GetCode(), Reason: at.answer.GetReason(),
		Outcome: gatekeeper.OutcomeName(at.answer.GetOutcome()), RetryAfter: timer.Span(at.answer.GetRetryAfter()),
	}
	return nil, rf
}

func statusOf(code string) int {
	switch code {
	case admitter.CodeDeadline:
		return http.StatusGatewayTimeout
	case admitter.CodeDuplicate, gatekeeper.CodeReused:
		return http.StatusConflict
	case admitter.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case gatekeeper.CodeLost, gatekeeper.CodeCrashed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// resolve deals with an attempt whose outcome is unknown. An idempotent request
// is sent again within the retry budget. Another one is asked for again at the
// same incarnation only, whose gate refuses to run a second copy.
func (fo *Forwarder) resolve(ctx context.Context, ca *call, last attempt) (*peerproto.ForwardResponse, *Refusal) {
	ca.mayHaveRun = true
	for last.outcome() == gatekeeper.OutcomeUnknown {
		isRetried := timer.Sleep(ctx, minRetryDelay) && fo.mayRepeat(ca)
		if !isRetried {
			return nil, unknown(ctx, last)
		}
		if ca.idempotent {
			return fo.again(ctx, ca)
		}
		next := fo.try(ctx, ca, last.to)
		if next.err != nil {
			return nil, unknown(ctx, last)
		}
		if isFinal(next, ca) && next.answer.GetCode() != admitter.CodeDuplicate {
			return fo.conclude(next)
		}
		if next.answer.GetOutcome() == gatekeeper.OutcomeNotRun {
			// The gate may have forgotten nothing, but another incarnation
			// can't speak for the first copy.
			return nil, unknown(ctx, last)
		}
	}
	return nil, unknown(ctx, last)
}

func (fo *Forwarder) again(ctx context.Context, ca *call) (*peerproto.ForwardResponse, *Refusal) {
	if fo.so.View().Services[ca.service].Class == cataloguer.Shared {
		return fo.dispatchShared(ctx, ca)
	}
	return fo.dispatchExclusive(ctx, ca)
}

func unknown(ctx context.Context, last attempt) *Refusal {
	rf := &Refusal{Status: http.StatusBadGateway, Code: CodeLost, Reason: "the connection to the owner broke while the request may have run"}
	switch {
	case ctx.Err() != nil:
		rf.Status, rf.Code, rf.Reason = http.StatusGatewayTimeout, CodeDeadline, "the deadline passed or the caller left while the request may have run"
	case last.err == nil && last.answer.GetReason() != "":
		rf.Reason = last.answer.GetReason()
	case last.err != nil:
		rf.Reason += ": " + last.err.Error()
	}
	rf.Outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeUnknown)
	return rf
}

// notInTime refuses a call that no attempt has run.
func notInTime(ctx context.Context, last attempt) *Refusal {
	rf := &Refusal{Status: http.StatusServiceUnavailable, Code: CodeNoOwner, Reason: "no owner served the key in time", RetryAfter: timer.Second}
	if last.err == nil && last.answer.GetCode() != "" {
		rf.Code, rf.Reason = last.answer.GetCode(), last.answer.GetReason()
	}
	if ctx.Err() == nil {
		rf.RetryAfter = comeBack
		return rf
	}
	rf.Reason += "; the deadline passed or the caller left"
	rf.Code = CodeDeadline
	return rf
}

// try forwards a call once.
func (fo *Forwarder) try(ctx context.Context, ca *call, to placer.Member) attempt {
	ca.attempts++
	ca.servedBy = to.BackendServer
	remaining := ca.deadlineAt.Sub(fo.so.Now()) - answerReserve
	if remaining <= 0 {
		return attempt{to: to, isTooLate: true, answer: &peerproto.ForwardResponse{
			Outcome: gatekeeper.OutcomeNotRun, Code: CodeDeadline, Reason: "the deadline passed",
		}}
	}
	rq := &peerproto.ForwardRequest{
		RequestId: ca.id, Route: ca.route.Name, Service: ca.service, Workspace: ca.workspace, Key: ca.key,
		Method: ca.method, PathAndQuery: ca.target, Headers: ca.headers, Body: ca.body,
		Remaining: int64(remaining), IdempotencyKey: ca.idemKey, Attempt: uint32(ca.attempts), To: to.Incarnation,
		Idempotent: ca.idempotent, Priority: uint32(ca.priority), Crashes: ca.crashes.Load(),
		Host: ca.host, CallerService: ca.callerService, TargetRemaining: int64(ca.targetLeft(fo.so.Now())),
	}
	answer, wasSent, err := fo.gates.Forward(ctx, to.Address, rq)
	if answer.GetCode() == gatekeeper.CodeCrashed {
		ca.crashes.Add(1)
	}
	if wasSent && (err != nil || answer.GetOutcome() != gatekeeper.OutcomeNotRun || answer.GetCode() == gatekeeper.CodeShed) {
		ca.arrivals++
	}
	if err == nil && answer.GetRequestId() != ca.id {
		return attempt{to: to, wasSent: true, err: errCrossed}
	}
	return attempt{to: to, answer: answer, wasSent: wasSent, err: err}
}
