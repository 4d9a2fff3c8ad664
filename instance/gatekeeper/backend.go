package gatekeeper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"cornellanding.example/wire/peerproto"
)

// MaxAnswer bounds an answer's body, in bytes.
const MaxAnswer = 8 << 20

// The headers between the gate and its backend server.
const (
	headerEpoch     = "Fencing-Epoch"
	headerKey       = "Entity-Key"
	headerRequestID = "Request-Id"
	headerTimeout   = "Request-Timeout"
	headerWorkspace = "Workspace"
	// headerOutcome is set to notRun by a backend server that refused a
	// request before it ran.
	headerOutcome = "Request-Outcome"
	outcomeNotRun = "notRun"
)

const dialTimeout = 500 * time.Millisecond

// result classifies a run for the gate.
type result int

const (
	resultAnswered result = iota
	// resultShed is a refusal by the backend server.
	resultShed
	// resultCrashed is a connection that broke while the request ran.
	resultCrashed
	// resultCancelled is a run that the deadline or the lease ended.
	resultCancelled
)

// backend is the client of the backend server.
type backend struct {
	base      string
	transport *http.Transport
}

func newBackend(address string) *backend {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &backend{
		base: "http://" + address,
		transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
			IdleConnTimeout: time.Minute,
		},
	}
}

// setConnections sets how many connections are pooled. It must be called
// before the first request.
func (bs *backend) setConnections(connections int) {
	bs.transport.MaxConnsPerHost = connections
	bs.transport.MaxIdleConnsPerHost = connections
}

func (bs *backend) close() { bs.transport.CloseIdleConnections() }

// onceBody keeps http.Transport from sending a request again. The transport
// resends a request without a body, or with GetBody, on a reused connection
// that broke, if its method is safe or it carries an Idempotency-Key header.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

func (bs *backend) request(ctx context.Context, jo *job, epoch uint64) (*http.Request, error) {
	rq := jo.rq
	re, err := http.NewRequestWithContext(ctx, rq.GetMethod(), bs.base+rq.GetPathAndQuery(), nil)
	if err != nil {
		return nil, err
	}
	re.Body = onceBody{bytes.NewReader(rq.GetBody())}
	re.ContentLength = int64(len(rq.GetBody()))
	for _, he := range rq.GetHeaders() {
		re.Header.Add(he.GetName(), he.GetValue())
	}
	re.Header.Set(headerRequestID, rq.GetRequestId())
	re.Header.Set(headerKey, rq.GetKey())
	re.Header.Set(headerWorkspace, rq.GetWorkspace())
	re.Header.Set(headerTimeout, remaining(ctx))
	if epoch != 0 {
		re.Header.Set(headerEpoch, strconv.FormatUint(epoch, 10))
	}
	return re, nil
}

func remaining(ctx context.Context) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ""
	}
	return time.Until(deadline).Round(time.Millisecond).String()
}

// run sends the request once and reads the whole answer.
func (bs *backend) run(ctx context.Context, jo *job, epoch uint64) (*peerproto.ForwardResponse, result) {
	var wasConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wasConnected.Store(true) }}
	re, err := bs.request(httptrace.WithClientTrace(ctx, trace), jo, epoch)
	if err != nil {
		return refuse(CodeUnreachable, "the request can't be sent: "+err.Error()), resultAnswered
	}
	answer, err := bs.transport.RoundTrip(re)
	if err != nil {
		return failed(ctx, err, wasConnected.Load())
	}
	return bs.read(ctx, answer)
}

// failed classifies a request without an answer. It did not run only if there
// never was a connection to send it on.
func failed(ctx context.Context, err error, wasConnected bool) (*peerproto.ForwardResponse, result) {
	switch {
	case !wasConnected:
		return refuse(CodeUnreachable, "no connection to the backend server"), resultShed
	case ctx.Err() != nil:
		return lost("the deadline or the lease ended while the request ran"), resultCancelled
	default:
		return broken("the backend server's connection broke", err)
	}
}

// broken tells a crash from other errors of the transport.
func broken(reason string, err error) (*peerproto.ForwardResponse, result) {
	answer := lost(reason)
	isCrash := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
	if !isCrash {
		return answer, resultShed
	}
	answer.Code = CodeCrashed
	return answer, resultCrashed
}

func lost(reason string) *peerproto.ForwardResponse {
	return &peerproto.ForwardResponse{Outcome: OutcomeUnknown, Code: CodeLost, Reason: reason}
}

func (bs *backend) read(ctx context.Context, answer *http.Response) (*peerproto.ForwardResponse, result) {
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return lost("the deadline or the lease ended before the whole answer"), resultCancelled
	case err != nil:
		return broken("the answer was cut short", err)
	case len(body) > MaxAnswer:
		return lost("the answer is too large"), resultAnswered
	case answer.Header.Get(headerOutcome) == outcomeNotRun:
		return refuse(CodeShed, "the backend server refused with status "+strconv.Itoa(answer.StatusCode)), resultShed
	}
	fr := &peerproto.ForwardResponse{Outcome: OutcomeAnswered, Status: uint32(answer.StatusCode), Body: body}
	for name, values := range answer.Header {
		if isHop(name) {
			continue
		}
		for _, value := range values {
			fr.Headers = append(fr.Headers, &peerproto.Header{Name: name, Value: value})
		}
	}
	return fr, resultAnswered
}

// isHop reports whether a header belongs to one connection only, RFC 9110
// section 7.6.1.
func isHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}
