package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
)

// refusal is an answer that no backend server gave. Its outcome is notRun
// unless set.
type refusal struct {
	status     int
	code       string
	outcome    string
	reason     string
	retryAfter timer.Span
}

// wireRefusal is a refusal's JSON.
type wireRefusal struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retryAfter,omitempty"`
}

func (fo *Forwarder) refuse(wr http.ResponseWriter, ca *call, rf refusal) {
	if rf.outcome == "" {
		rf.outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
	}
	if ca.mayHaveRun {
		rf.outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeUnknown)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set(headerRequestID, ca.id)
	if rf.retryAfter > 0 {
		seconds := math.Ceil(rf.retryAfter.Duration().Seconds())
		wr.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	wr.WriteHeader(rf.status)
	// A failed write is the caller's broken connection.
	_ = json.NewEncoder(wr).Encode(wireRefusal{
		Code: rf.code, Outcome: rf.outcome, Reason: rf.reason, RequestID: ca.id,
		RetryAfter: rf.retryAfter.Duration().Seconds(),
	})
	fo.lo.Info("refused", "requestId", ca.id, "route", ca.route.Name, "workspace", ca.workspace,
		"code", rf.code, "outcome", rf.outcome, "reason", rf.reason, "attempts", ca.attempts)
	fo.observe(ca, rf.code, rf.status)
}

func (fo *Forwarder) answer(wr http.ResponseWriter, ca *call, answer *peerproto.ForwardResponse) {
	for _, he := range answer.GetHeaders() {
		wr.Header().Add(he.GetName(), he.GetValue())
	}
	wr.Header().Set(headerRequestID, ca.id)
	wr.Header().Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	wr.WriteHeader(int(answer.GetStatus()))
	// A failed write is the caller's broken connection.
	_, _ = wr.Write(answer.GetBody())
	if fo.isSampled() {
		fo.lo.Info("routed", "requestId", ca.id, "route", ca.route.Name, "workspace", ca.workspace,
			"backendServer", ca.servedBy, "status", answer.GetStatus(), "attempts", ca.attempts)
	}
	fo.observe(ca, "", int(answer.GetStatus()))
}

func (fo *Forwarder) isSampled() bool {
	return fo.sampleEvery > 0 && fo.decided.Add(1)%fo.sampleEvery == 0
}

func (fo *Forwarder) observe(ca *call, code string, status int) {
	if fo.observer == nil {
		return
	}
	fo.observer.Answered(ca.route.Service, ca.route.Name, code, status, fo.so.Now().Sub(ca.startedAt))
}
