package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/port/receiver"
	"cornellanding.example/wire/peerproto"
)

// MaxAnswer is the largest accepted answer body, in bytes.
const MaxAnswer = 8 << 20

// maxAnswerHeader bounds the status line and the headers of an answer, in bytes.
const maxAnswerHeader = 64 << 10

// Headers between this package and the backend server.
const (
	headerEpoch     = "Fencing-Epoch"
	headerKey       = "Entity-Key"
	headerRequestID = "Request-Id"
	headerTimeout   = "Request-Timeout"
	headerWorkspace = "Workspace"
	// headerOutcome is set to notRun by a backend server that refused a request
	// before running it.
	headerOutcome = "Request-Outcome"
	outcomeNotRun = "notRun"
)

const (
	// dialTimeout bounds connecting to a server on the same VM.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is below the ten seconds after which servers close idle
	// connections, so that requests are not sent on a connection being closed.
	idleTimeout = 4 * time.Second
)

// Exchange is one request as sent to the backend server.
type Exchange struct {
	Request *peerproto.ForwardRequest
	Body    *assembler.Body
	// Server is the run of the backend server that the request is meant for, or
	// zero if the server does not announce itself.
	Server registrar.ServerRun
	// Epoch is the fencing epoch, or 0 for a shared service.
	Epoch uint64
	// Remaining is the time left until the deadline, or 0 without a deadline.
	Remaining time.Duration
}

// Verdict is the meaning of an answer of the backend server.
type Verdict int

const (
	// VerdictAnswered means that the answer is the result of the request.
	VerdictAnswered Verdict = iota
	// VerdictNotRun means that the server did not run the request.
	VerdictNotRun
	// VerdictNotOwner means that the server did not run the request because it
	// does not hold the key or has been restarted since.
	VerdictNotOwner
	// VerdictMismatch means that the answer belongs to another request or is
	// invalid.
	VerdictMismatch
)

// Codec is the protocol between this package and the backend server.
type Codec interface {
	// Encode sets the protocol's headers of a request. The caller's headers are
	// already present.
	Encode(header http.Header, ex Exchange)
	// Decode determines the verdict from the status and headers of an answer.
	Decode(answer *http.Response, ex Exchange) Verdict
	// Condition returns what the server says of itself in an answer to the request.
	Condition(answer *http.Response) Condition
}

// defaultCodec is the default protocol, see WithCodec.
type defaultCodec struct{}

// Encode implements Codec.
func (defaultCodec) Encode(header http.Header, ex Exchange) {
	header.Set(headerRequestID, ex.Request.GetRequestId())
	header.Set(headerKey, ex.Request.GetKey())
	header.Set(headerWorkspace, ex.Request.GetWorkspace())
	header.Set(headerTimeout, ex.Remaining.Round(time.Millisecond).String())
	if ex.Epoch != 0 {
		header.Set(headerEpoch, strconv.FormatUint(ex.Epoch, 10))
	}
}

// Decode implements Codec. A server that repeats the Request-Id is checked to answer that
// request.
func (defaultCodec) Decode(answer *http.Response, ex Exchange) Verdict {
	id := answer.Header.Get(headerRequestID)
	switch {
	case id != "" && id != ex.Request.GetRequestId():
		return VerdictMismatch
	case answer.Header.Get(headerOutcome) == outcomeNotRun:
		return VerdictNotRun
	default:
		return VerdictAnswered
	}
}

// Condition implements Codec. The default protocol has no headers for it.
func (defaultCodec) Condition(*http.Response) Condition { return Condition{} }

// result classifies the end of a run for admission control.
type result int

const (
	resultAnswered result = iota
	// resultShed means that the backend server refused the request, that no
	// connection to it was available in time, or that the transport failed without
	// a sign of a crash.
	resultShed
	// resultCrashed means that the connection broke while the request ran.
	resultCrashed
	// resultRefused means that the connection was refused: no server listens.
	resultRefused
	// resultCancelled means that the run was cancelled by the deadline or the end
	// of the lease.
	resultCancelled
)

// backend is an HTTP client of the backend server.
type backend struct {
	address string
	codec   Codec
	kept    *receiver.Receiver
	// single is for copies of requests that a server refused: each gets a connection of
	// its own. On a kept one, the refusal might come once more, in place of the answer to
	// the copy, which has the same request ID.
	single *receiver.Receiver
	// observe is called with the condition of each answer, the server it was meant
	// for and when the request was sent.
	observe func(cn Condition, run registrar.ServerRun, sentAt timer.Instant)
	now     func() timer.Instant
}

func newBackend(address string, now func() timer.Instant) *backend {
	return &backend{
		address: address, codec: defaultCodec{}, now: now,
		observe: func(Condition, registrar.ServerRun, timer.Instant) {},
		kept:    newReceiver(false), single: newReceiver(true),
	}
}

func newReceiver(isSingleUse bool) *receiver.Receiver {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return receiver.New(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true, DisableKeepAlives: isSingleUse,
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxAnswerHeader,
	})
}

// setConnections sets the maximum number of connections. It must be called before
// the first request.
func (bs *backend) setConnections(connections int) {
	bs.kept.Transport.MaxConnsPerHost = connections
	bs.kept.Transport.MaxIdleConnsPerHost = connections
	bs.single.Transport.MaxConnsPerHost = connections
}

func (bs *backend) close() { bs.kept.CloseIdleConnections() }

// onceBody keeps http.Transport from resending a request. The transport does so on a
// reused connection that broke if the request has no body or sets GetBody, and its
// method is safe or it carries an Idempotency-Key header.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// request builds the request to the backend server. It passes the request target on
// as received, without parsing and reassembling it.
func (bs *backend) request(ctx context.Context, ex Exchange) *http.Request {
	rq := ex.Request
	re := (&http.Request{
		Method: rq.GetMethod(), URL: targetURL(bs.address, rq.GetPathAndQuery()),
		Host: rq.GetHost(), Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	re.Body = onceBody{ex.Body.NewReader()}
	re.ContentLength = ex.Body.Len()
	for _, he := range rq.GetHeaders() {
		re.Header.Add(he.GetName(), he.GetValue())
	}
	if re.Header.Get("User-Agent") == "" {
		// Otherwise the transport would send its own User-Agent.
		re.Header.Set("User-Agent", "")
	}
	bs.codec.Encode(re.Header, ex)
	return re
}

// targetURL returns the URL of a request to the address whose target goes out as it is.
// An opaque part does, except after two slashes: net/url would put the scheme before it.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	ur := &url.URL{Scheme: "http", Host: address}
	ur.RawPath, ur.RawQuery, ur.ForceQuery = target, "", false
	if path, query, hasQuery := strings.Cut(target, "?"); hasQuery {
		ur.RawPath, ur.RawQuery, ur.ForceQuery = path, query, query == ""
	}
	// A path that can't be decoded has no URL that is written like it, see run.
	ur.Path, _ = url.PathUnescape(ur.RawPath)
	return ur
}

// remaining returns the time left until the deadline, or 0 without a deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// run sends the request at most once and reads the whole answer.
func (bs *backend) run(ctx context.Context, jo *job, epoch uint64, run registrar.ServerRun) (*peerproto.ForwardResponse, result) {
	var wasConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wasConnected.Store(true) }}
	ex := Exchange{Request: jo.rq, Body: jo.body, Server: run, Epoch: epoch, Remaining: remaining(ctx)}
	re := bs.request(httptrace.WithClientTrace(ctx, trace), ex)
	if re.URL.RequestURI() != jo.rq.GetPathAndQuery() {
		return refuse(CodeBadTarget, "the request target can't be passed on unchanged"), resultCancelled
	}
	sentAt := bs.now()
	rc := bs.kept
	if jo.rq.GetRefused() {
		rc = bs.single
	}
	answer, err := rc.RoundTrip(re)
	if err != nil {
		return classifyError(ctx, err, wasConnected.Load())
	}
	return bs.read(ctx, answer, ex, sentAt)
}

// classifyError classifies a failed request. It is certain not to have run only if
// no connection was available to send it on.
func classifyError(ctx context.Context, err error, wasConnected bool) (*peerproto.ForwardResponse, result) {
	switch {
	case !wasConnected && errors.Is(err, syscall.ECONNREFUSED):
		return refuse(CodeUnreachable, "the backend server's address refuses connections"), resultRefused
	case !wasConnected:
		return refuse(CodeUnreachable, "no connection to the backend server"), resultShed
	case ctx.Err() != nil:
		return lost("the deadline or the lease ended while the request ran"), resultCancelled
	default:
		return broken("the backend server's connection broke", err)
	}
}

// broken distinguishes a crash of the server from other transport errors.
func broken(reason string, err error) (*peerproto.ForwardResponse, result) {
	answer := lost(reason)
	var invalid *receiver.HeadError
	if errors.As(err, &invalid) {
		answer.Reason = "the answer is not valid HTTP: " + invalid.Reason
		return answer, resultShed
	}
	isCrash := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
	if !isCrash {
		return answer, resultShed
	}
	answer.Code = CodeCrashed
	return answer, resultCrashed
}

// lost is the answer for a request whose outcome is unknown.
func lost(reason string) *peerproto.ForwardResponse {
	return &peerproto.ForwardResponse{Outcome: OutcomeUnknown, Code: CodeLost, Reason: reason}
}

// read reads and classifies an answer.
func (bs *backend) read(ctx context.Context, answer *http.Response, ex Exchange, sentAt timer.Instant) (*peerproto.ForwardResponse, result) {
	defer answer.Body.Close()
	verdict := bs.codec.Decode(answer, ex)
	if verdict == VerdictMismatch {
		// The body is not read, so that the connection is not reused.
		return lost("the answer belongs to another request"), resultAnswered
	}
	if verdict != VerdictNotOwner { // such an answer may come from the server's successor
		bs.observe(bs.codec.Condition(answer), ex.Server, sentAt)
	}
	body, err := readAnswer(ctx, answer)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return lost("the answer is too large"), resultShed
	case err != nil && ctx.Err() != nil:
		return lost("the deadline or the lease ended before the whole answer"), resultCancelled
	case err != nil:
		return broken("the answer was cut short", err)
	case verdict == VerdictNotOwner:
		return refuse(CodeKeyRejected, "the backend server doesn't hold the key"), resultAnswered
	case verdict == VerdictNotRun:
		return refuse(CodeShed, "the backend server refused with status "+strconv.Itoa(answer.StatusCode)), resultShed
	}
	fr := &peerproto.ForwardResponse{Outcome: OutcomeAnswered, Status: uint32(answer.StatusCode), Body: body}
	for name, values := range answer.Header {
		if isHopByHop(name) {
			continue
		}
		for _, value := range values {
			fr.Headers = append(fr.Headers, &peerproto.Header{Name: name, Value: value})
		}
	}
	return fr, resultAnswered
}

// answerCopies is how often the body of an answer to another instance is held at once: as
// read, encoded, and as kept for its tag.
const answerCopies = 3

// readAnswer reads the body of an answer. It waits until the account of the connection on
// which the request arrived has room for it.
func readAnswer(ctx context.Context, answer *http.Response) ([]byte, error) {
	limited := http.MaxBytesReader(nil, answer.Body, MaxAnswer)
	hold := accountant.From(ctx)
	if !hold.IsLimited() {
		return io.ReadAll(limited)
	}
	copies, length := int64(1), answer.ContentLength
	if hold.IsPeer() {
		copies = answerCopies
	}
	switch {
	case answer.Body == http.NoBody:
		return nil, nil
	case length > MaxAnswer:
		return nil, &http.MaxBytesError{Limit: MaxAnswer}
	}
	gr := &growth{hold: hold, copies: copies, isKnown: length >= 0}
	defer gr.end()
	body, err := assembler.Read(limited, length, func(bytes int64) bool { return gr.take(ctx, bytes) })
	if err != nil || body.Pieces() <= 1 {
		return body.Bytes(), err
	}
	if err := hold.Await(ctx, body.Len()); err != nil {
		return nil, err
	}
	defer hold.Give(body.Len())
	return body.Bytes(), nil
}

// largeAnswer is the size in bytes from which answers of unknown length are read one at a time.
// Several that grow at once could each hold a part and wait for the rest until their deadlines.
const largeAnswer = 1 << 20

// growth charges an answer while it is read.
type growth struct {
	hold    accountant.Hold
	copies  int64
	isKnown bool
	bytes   int64
	// endTurn is nil until the answer is large.
	endTurn func()
}

// take charges a further piece as soon as there is room. It returns false if ctx ends before.
func (gr *growth) take(ctx context.Context, bytes int64) bool {
	gr.bytes += bytes
	if !gr.isKnown && gr.bytes > largeAnswer && gr.endTurn == nil {
		endTurn, err := gr.hold.AwaitTurn(ctx)
		if err != nil {
			return false
		}
		gr.endTurn = endTurn
	}
	return gr.hold.Await(ctx, bytes*gr.copies) == nil
}

func (gr *growth) end() {
	if gr.endTurn != nil {
		gr.endTurn()
	}
}

// isHopByHop reports whether a header applies to a single connection, RFC 9110
// section 7.6.1.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}
