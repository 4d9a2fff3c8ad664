package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/shaper"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"google.golang.org/protobuf/proto"
)

const (
	// bodyPath is the path of requests whose body follows once the owner admits it, by
	// HTTP's Expect: 100-continue.
	bodyPath = "/forward/body"
	// wholeBodyMax is the size in bytes from which bodies follow their heads although
	// the link is not limited. It leaves room for the rest of the request in
	// signer.MaxBody.
	wholeBodyMax = 8 << 20
	// maxHead bounds the encoded head of such a request, in bytes. It travels in a header
	// field, a third longer. maxPeerHeader bounds all header fields of a peer's request.
	maxHead       = 64 << 10
	maxPeerHeader = 96 << 10
	// maxContinueWait bounds the wait for the owner. The request's deadline is earlier.
	maxContinueWait = time.Hour
	// pieceTimeout is how long a transfer may make no progress before it ends.
	pieceTimeout = time.Second
	// pieceSize bounds the pieces in which a body is held, in bytes.
	pieceSize = 64 << 10
)

// errStatus is returned for an authentic response with another status than 200.
var errStatus = errors.New("router: unexpected status of a peer's response")

// bodyReader notes when the whole body has been read.
type bodyReader struct {
	io.Reader
	left  int64
	isEnd *atomic.Bool
}

// Read implements io.Reader.
func (br *bodyReader) Read(into []byte) (int, error) {
	count, err := br.Reader.Read(into)
	if br.left -= int64(count); br.left <= 0 {
		br.isEnd.Store(true)
	}
	return count, err
}

// forwardInSteps sends the head of a request, and the body once the owner admits it. The
// request can't have run before all of the body was sent.
func (pe *peers) forwardInSteps(ctx context.Context, address string, rq *peerproto.ForwardRequest, body *assembler.Body) (*peerproto.ForwardResponse, bool, error) {
	rq.Body = nil
	if refusal := pe.refuseOnOwnLink(rq, body.Len()); refusal != nil {
		return refusal, false, nil
	}
	head, err := proto.Marshal(rq)
	if err != nil {
		return nil, false, err
	}
	if len(head) > maxHead {
		return refuseTransfer(rq, gatekeeper.CodeBadTarget, "the headers are too large for a request with a large body", 0), false, nil
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+bodyPath, http.NoBody)
	if err != nil {
		return nil, false, err
	}
	re.ContentLength = body.Len()
	re.Header.Set("Expect", "100-continue")
	var wasSent atomic.Bool
	isHashed := false
	answer, err := pe.si.RoundTripStream(pe.requests.base, re, head, func() io.Reader {
		if !isHashed {
			isHashed = true
			return body.NewReader()
		}
		return &bodyReader{Reader: body.NewReader(), left: body.Len(), isEnd: &wasSent}
	})
	if err != nil {
		return nil, wasSent.Load(), err
	}
	fr, err := readForwardResponse(answer)
	return fr, wasSent.Load(), err
}

// refuseOnOwnLink returns a refusal if this VM's link can't send the body in time.
func (pe *peers) refuseOnOwnLink(rq *peerproto.ForwardRequest, size int64) *peerproto.ForwardResponse {
	if pe.li == nil {
		return nil
	}
	now := pe.li.clock.Now()
	retryAfter, ok := pe.li.fits(size, wishOf(rq, now), now)
	if ok {
		return nil
	}
	return refuseTransfer(rq, admitter.CodeLinkFull, "the link of the VM where the request arrived can't send the body in time", retryAfter)
}

// refuseTransfer is the answer to a request that was not run. RetryAfter is the advised retry
// delay, 0 for none.
func refuseTransfer(rq *peerproto.ForwardRequest, code, reason string, retryAfter timer.Span) *peerproto.ForwardResponse {
	return &peerproto.ForwardResponse{RequestId: rq.GetRequestId(), Outcome: gatekeeper.OutcomeNotRun, Code: code, Reason: reason, RetryAfter: int64(retryAfter)}
}

// wishOf returns the times of a request whose remaining times count from startedAt.
func wishOf(rq *peerproto.ForwardRequest, startedAt timer.Instant) shaper.Wish {
	wi := shaper.Wish{DeadlineAt: startedAt.Add(timer.Span(rq.GetRemaining()))}
	if left := rq.GetTargetRemaining(); left != 0 {
		wi.TargetAt = startedAt.Add(timer.Span(left))
	}
	return wi
}

func readForwardResponse(answer *http.Response) (*peerproto.ForwardResponse, error) {
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errStatus
	}
	fr := &peerproto.ForwardResponse{}
	return fr, proto.Unmarshal(content, fr)
}

// peerHandler returns the handler of other instances' calls.
func (ro *Router) peerHandler(in *incarnation) http.Handler {
	calls := ro.callHandler(in)
	bodies := &bodyServer{ga: in.ga, si: ro.si, inlet: ro.inlet, clock: ro.clock, rejected: ro.meter.PeerCallRejected}
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if re.URL.Path == bodyPath {
			bodies.ServeHTTP(wr, re)
			return
		}
		calls.ServeHTTP(wr, re)
	})
}

// bodyGate is the admission control behind a bodyServer.
type bodyGate interface {
	RefuseHead(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse
	RefuseBody(rq *peerproto.ForwardRequest, code, reason string, retryAfter timer.Span, startedAt timer.Instant) *peerproto.ForwardResponse
	Forward(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse
}

// bodyServer serves requests whose body follows their head.
type bodyServer struct {
	ga bodyGate
	si *signer.Signer
	// inlet is nil if all bodies are admitted at once.
	inlet    *link
	clock    timer.Clock
	rejected func()
}

// ServeHTTP implements http.Handler.
func (bs *bodyServer) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	head, ok := bs.si.ReadHead(re)
	rq := &peerproto.ForwardRequest{}
	if !ok || proto.Unmarshal(head.Content, rq) != nil {
		bs.rejected()
		http.Error(wr, "peers only", http.StatusForbidden)
		return
	}
	content, err := proto.Marshal(bs.serve(wr, re, head, rq))
	if err != nil {
		http.Error(wr, "response can't be encoded", http.StatusInternalServerError)
		return
	}
	bs.si.WriteSigned(wr, head, http.StatusOK, content)
}

func (bs *bodyServer) serve(wr http.ResponseWriter, re *http.Request, head signer.Head, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	startedAt := bs.clock.Now()
	if refusal := bs.ga.RefuseHead(re.Context(), rq); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(re.Context(), time.Duration(rq.GetRemaining()))
	defer cancel()
	hold := accountant.From(re.Context())
	if !hold.Take(head.Length + int64(len(rq.GetHeaders()))*accountant.LineBytes) {
		return bs.ga.RefuseBody(rq, gatekeeper.CodeNoMemory, "no memory is left for the body", accountant.RetryAfter, startedAt)
	}
	tr := &transfer{bs: bs, re: re, rc: http.NewResponseController(wr), head: head, rq: rq}
	if rf := tr.receive(ctx, startedAt); rf != nil {
		return bs.ga.RefuseBody(rq, rf.code, rf.reason, rf.retryAfter, startedAt)
	}
	took := int64(bs.clock.Now().Sub(startedAt))
	rq.Remaining -= took
	if rq.GetTargetRemaining() != 0 {
		rq.TargetRemaining -= took
	}
	hold.PassOn()
	return bs.ga.Forward(gatekeeper.WithBody(re.Context(), &tr.body), rq)
}

// transfer is one body on its way.
type transfer struct {
	bs   *bodyServer
	re   *http.Request
	rc   *http.ResponseController
	head signer.Head
	rq   *peerproto.ForwardRequest
	body assembler.Body
}

// bodyRefusal says why a body was not received.
type bodyRefusal struct {
	code       string
	reason     string
	retryAfter timer.Span
}

func incomplete(reason string) *bodyRefusal {
	return &bodyRefusal{code: gatekeeper.CodeBodyIncomplete, reason: reason}
}

// receive waits for the turn of the body and receives all of it. The first read makes the
// sender begin.
func (tr *transfer) receive(ctx context.Context, startedAt timer.Instant) *bodyRefusal {
	bh := tr.bs.si.NewBodyHash()
	rf := tr.receivePieces(ctx, bh, startedAt)
	// The connection may be used again.
	err := errors.Join(tr.rc.SetReadDeadline(time.Time{}), tr.head.Check(bh.Sum()))
	switch {
	case rf != nil:
		return rf
	case err != nil:
		tr.bs.rejected()
		return incomplete("the body is not the announced one")
	default:
		return nil
	}
}

func (tr *transfer) receivePieces(ctx context.Context, bh *signer.BodyHash, startedAt timer.Instant) *bodyRefusal {
	if tr.bs.inlet == nil {
		return tr.receiveNext(tr.head.Length, bh)
	}
	if retryAfter, ok := tr.bs.inlet.fits(tr.head.Length, wishOf(tr.rq, startedAt), startedAt); !ok {
		return &bodyRefusal{code: admitter.CodeLinkFull, reason: "the VM's link can't receive the body in time", retryAfter: retryAfter}
	}
	priority := min(cataloguer.Priority(tr.rq.GetPriority()), cataloguer.PriorityCount-1)
	ticket, turns := tr.bs.inlet.arrive(tr.head.Length, priority)
	defer tr.bs.inlet.leave(ticket)
	for tr.body.Len() < tr.head.Length {
		select {
		case limit := <-turns:
			if rf := tr.receiveNext(limit, bh); rf != nil {
				return rf
			}
			tr.bs.inlet.written(ticket, limit)
		case <-ctx.Done():
			return &bodyRefusal{code: admitter.CodeDeadline, reason: "the deadline passed before the whole body was admitted"}
		}
	}
	return nil
}

// Read implements io.Reader for the body. Each call may last for pieceTimeout.
func (tr *transfer) Read(into []byte) (int, error) {
	_ = tr.rc.SetReadDeadline(time.Now().Add(pieceTimeout)) // a failure shows at Read
	return tr.re.Body.Read(into)
}

// receiveNext receives the next bytes of the body.
func (tr *transfer) receiveNext(bytes int64, bh *signer.BodyHash) *bodyRefusal {
	for bytes > 0 {
		piece := make([]byte, min(bytes, pieceSize))
		_, err := io.ReadFull(tr, piece)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return incomplete("the body stopped for a second")
		case err != nil:
			return incomplete("the connection broke before the whole body")
		}
		_, _ = bh.Write(piece) // never fails
		tr.body.Append(piece)
		bytes -= int64(len(piece))
	}
	return nil
}
