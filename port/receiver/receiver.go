// Package receiver is the HTTP client transport for servers that may be faulty: it returns an
// answer only if it is one.
//
// It sends requests by net/http and adds what that package leaves out:
//
//   - A body without a length ends with its connection, which must have been closed in good
//     order: after a failed write of the request, net/http takes a reset for such an end. An
//     answer that has arrived when the connection is reset is read nevertheless.
//   - The head must be one of a final HTTP/1 answer, see Check. The fields of interim heads and
//     of the trailer are checked, too.
//   - An HTTP/1.0 answer has no Transfer-Encoding, RFC 9112 section 6.1. net/http ignores it, and
//     takes chunks for the body.
//
// What net/http lets pass and Receiver does, too, as HTTP allows it: lines that end in LF alone,
// and folded lines, which become one with blanks.
//
// # Usage
//
//	rc := receiver.New(&http.Transport{MaxConnsPerHost: 4})
//	client := &http.Client{Transport: rc}
package receiver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Receiver is an http.RoundTripper. It is safe for concurrent use.
type Receiver struct {
	// Transport sends the requests. Its limits may be changed before the first one.
	Transport *http.Transport
}

// New returns a Receiver that sends requests by the transport, whose connections it wraps. The
// transport must have no other use.
func New(transport *http.Transport) *Receiver {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
	return &Receiver{Transport: transport}
}

// RoundTrip implements http.RoundTripper. It returns an error that wraps a *HeadError for an
// answer that Check doesn't accept. Reads of the body return one if the trailer is invalid.
func (rc *Receiver) RoundTrip(re *http.Request) (*http.Response, error) {
	in := &interim{}
	var cn *conn
	trace := &httptrace.ClientTrace{Got1xxResponse: in.got, GotConn: func(info httptrace.GotConnInfo) {
		if cn, _ = info.Conn.(*conn); cn != nil {
			cn.begin()
		}
	}}
	answer, err := rc.Transport.RoundTrip(re.WithContext(httptrace.WithClientTrace(re.Context(), trace)))
	if err != nil {
		return nil, parseError(err)
	}
	err = Check(answer)
	if err == nil && answer.ProtoMinor == 0 {
		err = checkOld(cn, in)
	}
	if err != nil {
		// An unread body closes the connection.
		_ = answer.Body.Close()
		return nil, err
	}
	if len(answer.TransferEncoding) > 0 {
		answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer}
	}
	return answer, nil
}

// checkOld returns a *HeadError if an HTTP/1.0 answer is framed as no such answer can be.
func checkOld(cn *conn, in *interim) error {
	switch {
	case in.bytes > 0:
		return &HeadError{Reason: "version 1.0 after an interim head"}
	case cn != nil && cn.isCoded():
		return &HeadError{Reason: "Transfer-Encoding in version 1.0"}
	default:
		return nil
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (rc *Receiver) CloseIdleConnections() { rc.Transport.CloseIdleConnections() }
