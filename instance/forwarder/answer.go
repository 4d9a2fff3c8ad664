package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"cornellanding.example/core/sequencer"
	"cornellanding.example/wire/peerproto"
)

// wireRefusal is the JSON body of a refusal.
type wireRefusal struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retryAfter,omitempty"`
}

func (fo *Forwarder) refuse(wr http.ResponseWriter, ca *call, rf Refusal) {
	rf = ca.withOutcome(rf)
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set(headerRequestID, ca.id)
	if rf.RetryAfter > 0 {
		seconds := math.Ceil(rf.RetryAfter.Duration().Seconds())
		wr.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	wr.WriteHeader(rf.Status)
	// A write fails only if the caller's connection is broken.
	_ = json.NewEncoder(wr).Encode(wireRefusal{
		Code: rf.Code, Outcome: rf.Outcome, Reason: rf.Reason, RequestID: ca.id,
		RetryAfter: rf.RetryAfter.Duration().Seconds(),
	})
	fo.logRefusal(ca, rf)
}

func (fo *Forwarder) answer(wr http.ResponseWriter, ca *call, answer *peerproto.ForwardResponse) {
	for _, he := range answer.GetHeaders() {
		wr.Header().Add(he.GetName(), he.GetValue())
	}
	wr.Header().Set(headerRequestID, ca.id)
	wr.Header().Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	wr.WriteHeader(int(answer.GetStatus()))
	// A write fails only if the caller's connection is broken.
	_, _ = wr.Write(answer.GetBody())
	fo.logAnswer(ca, int(answer.GetStatus()))
}

func (fo *Forwarder) logAnswer(ca *call, status int) {
	if fo.isSampled() {
		fo.lo.Info("request answered", "requestId", ca.id, "route", ca.route.Name, "service", ca.service, "workspace", ca.workspace,
			"backendServer", ca.servedBy, "status", status, "attempts", ca.attempts,
			"config", sequencer.Format(ca.config), "took", fo.so.Now().Sub(ca.startedAt).Duration().String())
	}
	fo.observe(ca, "", status)
}

func (fo *Forwarder) logRefusal(ca *call, rf Refusal) {
	fo.lo.Info("request refused", "requestId", ca.id, "route", ca.route.Name, "service", ca.service, "workspace", ca.workspace,
		"code", rf.Code, "outcome", rf.Outcome, "reason", rf.Reason, "backendServer", ca.servedBy, "attempts", ca.attempts,
		"config", sequencer.Format(ca.config), "took", fo.so.Now().Sub(ca.startedAt).Duration().String())
	fo.observe(ca, rf.Code, rf.Status)
}

func (fo *Forwarder) isSampled() bool {
	return fo.sampleEvery > 0 && fo.decided.Add(1)%fo.sampleEvery == 0
}

func (fo *Forwarder) observe(ca *call, code string, status int) {
	fo.observeCall(ca, code, status)
	if fo.observer == nil {
		return
	}
	fo.observer.Answered(ca.service, ca.route.Name, code, status, fo.so.Now().Sub(ca.startedAt))
}
