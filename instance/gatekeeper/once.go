package gatekeeper

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"cornellanding.example/core/admitter"
	"cornellanding.example/wire/peerproto"
)

// longestID is the length in bytes of the longest ID that is remembered as it is. Callers choose
// the request ID, which may be as long as a head.
const longestID = 160

// identity returns the identity for deduplication: the idempotency key if there is
// one, or else the request ID, or the digest of a long one.
func (jo *job) identity() admitter.Identity {
	id := jo.rq.GetIdempotencyKey()
	if id == "" {
		id = "request " + jo.rq.GetRequestId()
	}
	if len(id) > longestID {
		digest := sha256.Sum256([]byte(id))
		id = "digest " + hex.EncodeToString(digest[:])
	}
	return admitter.Identity{Workspace: jo.rq.GetWorkspace(), Route: jo.rq.GetRoute(), ID: id}
}

// runOnce admits a request. If it is not idempotent, further copies of it are refused,
// or answered with the kept answer of the first.
func (ga *Gatekeeper) runOnce(ctx context.Context, jo *job) *peerproto.ForwardResponse {
	if jo.rq.GetIdempotent() {
		return ga.admit(ctx, jo)
	}
	id := jo.identity()
	ga.mu.Lock()
	state, kept, hasRoom := ga.dd.Begin(id, jo.fingerprint, ga.pu.Now())
	ga.mu.Unlock()
	if !hasRoom {
		return refuse(CodeDeduperFull, "too many requests are remembered")
	}
	if state != admitter.FirstCopy {
		return duplicate(state, kept)
	}
	answer := ga.admit(ctx, jo)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch answer.GetOutcome() {
	case OutcomeNotRun:
		ga.dd.Forget(id)
	case OutcomeAnswered:
		ga.dd.Finish(id, toKept(answer))
	default:
		ga.dd.MarkLost(id)
	}
	return answer
}

// duplicate returns the answer to a further copy of a request.
func duplicate(state admitter.DuplicateState, kept admitter.Answer) *peerproto.ForwardResponse {
	switch state {
	case admitter.Answered:
		answer := &peerproto.ForwardResponse{Outcome: OutcomeAnswered, Status: uint32(kept.Status), Body: kept.Body}
		for _, he := range kept.Headers {
			answer.Headers = append(answer.Headers, &peerproto.Header{Name: he.Name, Value: he.Value})
		}
		return answer
	case admitter.DifferentBody:
		return refuse(CodeIdempotencyKeyReused, "the idempotency key was used for another request")
	case admitter.StillRunning:
		return &peerproto.ForwardResponse{Code: admitter.CodeDuplicate, Reason: "a copy of this request is running"}
	default:
		return &peerproto.ForwardResponse{Code: CodeLost, Reason: "a copy of this request began and its answer was lost"}
	}
}

func toKept(answer *peerproto.ForwardResponse) admitter.Answer {
	kept := admitter.Answer{Status: int(answer.GetStatus()), Body: answer.GetBody()}
	for _, he := range answer.GetHeaders() {
		kept.Headers = append(kept.Headers, admitter.Header{Name: he.GetName(), Value: he.GetValue()})
	}
	return kept
}
