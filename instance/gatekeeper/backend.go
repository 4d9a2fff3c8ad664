package gatekeeper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
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

const (
	// dialTimeout bounds connecting to a server on the same VM.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is below the ten seconds after which servers close idle
	// connections.
	idleTimeout = 4 * time.Second
)

// Exchange is one request as the gate sends it.
type Exchange struct {
	Request *peerproto.ForwardRequest
	// ServerID names the start of the backend server that it is for, if the
	// server announces itself.
	ServerID string
	// Epoch is the fencing epoch, 0 for a shared service.
	Epoch uint64
	// Remaining is what is left of the deadline.
	Remaining time.Duration
}

// Verdict says what an answer of the backend server means.
type Verdict int

const (
	// VerdictAnswered is the answer to the request.
	VerdictAnswered Verdict = iota
	// VerdictNotRun is the server's word that it did not run the request.
	VerdictNotRun
	// VerdictNotOwner is its word that it did not run the request since it
	// doesn't hold the key or is another start.
	VerdictNotOwner
	// VerdictMismatch is an answer to another request, or none at all.
	VerdictMismatch
)

// Codec is the protocol between the gate and its backend server.
type Codec interface {
	// Encode sets the headers of a request beside those that are passed on.
	Encode(header http.Header, ex Exchange)
	// Decode judges an answer by its status and headers.
	Decode(answer *http.Response, ex Exchange) Verdict
}

// ownCodec is the project's own protocol.
type ownCodec struct{}

// Encode implements Codec.
func (ownCodec) Encode(header http.Header, ex Exchange) {
	header.Set(headerRequestID, ex.Request.GetRequestId())
	header.Set(headerKey, ex.Request.GetKey())
	header.Set(headerWorkspace, ex.Request.GetWorkspace())
	header.Set(headerTimeout, ex.Remaining.Round(time.Millisecond).String())
	if ex.Epoch != 0 {
		header.Set(headerEpoch, strconv.FormatUint(ex.Epoch, 10))
	}
}

// Decode implements Codec.
func (ownCodec) Decode(answer *http.Response, _ Exchange) Verdict {
	if answer.Header.Get(headerOutcome) == outcomeNotRun {
		return VerdictNotRun
	}
	return VerdictAnswered
}

// result classifies a run for the gate.
type result int

const (
	resultAnswered result = iota
	// resultShed is a refusal by the backend server.
	resultShed
	// resultCrashed is a connection that broke while the request ran.
	resultCrashed
	// resultAbsent is a connection refused: nothing listens.
	resultAbsent
	// resultCancelled is a run that the deadline or the lease ended.
	resultCancelled
)

// backend is the client of the backend server.
type backend struct {
	address   string
	codec     Codec
	transport *http.Transport
}

func newBackend(address string) *backend {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &backend{
		address: address, codec: ownCodec{},
		transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
			IdleConnTimeout: idleTimeout,
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

// request returns the request for the backend server. Its target is passed on
// as it was received, without being parsed and put together again.
func (bs *backend) request(ctx context.Context, ex Exchange) *http.Request {
	rq := ex.Request
	re := (&http.Request{
		Method: rq.GetMethod(), URL: &url.URL{Scheme: "http", Host: bs.address, Opaque: rq.GetPathAndQuery()},
		Host: rq.GetHost(), Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	re.Body = onceBody{bytes.NewReader(rq.GetBody())}
	re.ContentLength = int64(len(rq.GetBody()))
	for _, he := range rq.GetHeaders() {
		re.Header.Add(he.GetName(), he.GetValue())
	}
	if re.Header.Get("User-Agent") == "" {
		// The transport would name itself.
		re.Header.Set("User-Agent", "")
	}
	bs.codec.Encode(re.Header, ex)
	return re
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// run sends the request once and reads the whole answer.
func (bs *backend) run(ctx context.Context, jo *job, epoch uint64, serverID string) (*peerproto.ForwardResponse, result) {
	var wasConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wasConnected.Store(true) }}
	ex := Exchange{Request: jo.rq, ServerID: serverID, Epoch: epoch, Remaining: remaining(ctx)}
	re := bs.request(httptrace.WithClientTrace(ctx, trace), ex)
	answer, err := bs.transport.RoundTrip(re)
	if err != nil {
		return failed(ctx, err, wasConnected.Load())
	}
	return bs.read(ctx, answer, ex)
}

// failed classifies a request without an answer. It did not run only if there
// never was a connection to send it on.
func failed(ctx context.Context, err error, wasConnected bool) (*peerproto.ForwardResponse, result) {
	switch {
	case !wasConnected && errors.Is(err, syscall.ECONNREFUSED):
		return refuse(CodeUnreachable, "the backend server's address refuses connections"), resultAbsent
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

func (bs *backend) read(ctx context.Context, answer *http.Response, ex Exchange) (*peerproto.ForwardResponse, result) {
	defer answer.Body.Close()
	verdict := bs.codec.Decode(answer, ex)
	if verdict == VerdictMismatch {
		// The body is left unread, so that the connection is not used again.
		return lost("the answer belongs to another request"), resultAnswered
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return lost("the deadline or the lease ended before the whole answer"), resultCancelled
	case err != nil:
		return broken("the answer was cut short", err)
	case len(body) > MaxAnswer:
		return lost("the answer is too large"), resultAnswered
	case verdict == VerdictNotOwner:
		return refuse(CodeNotOwner, "the backend server doesn't hold the key"), resultAnswered
	case verdict == VerdictNotRun:
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
