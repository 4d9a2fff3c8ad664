// Package signer authenticates datagrams and RPCs between instances with HMAC-SHA-256.
//
// All instances share one key, the fleet key of their settings. A datagram ends in a
// truncated tag. An RPC request carries a tag over its path and body, and its response a
// tag over the request's tag, the status and the body. Neither can therefore be forged,
// altered or truncated, and a response is invalid for a request with another path or body.
// Replays are not detected. Headers and the query are not signed. A request with a large body
// carries a tag over its head, the body's length and the body's tag, so that the receiver can
// refuse it before the body is sent, and reads the body in pieces.
//
// # Usage
//
//	si, err := signer.New(fleetKey)
//	client := &http.Client{Transport: si.Transport(base)}
//	server := si.Handler(twirpServer, countRejected)
//	packet = si.Seal(packet)
//	payload, ok := si.Open(packet)
package signer

import (
	"bytes"
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const (
	// TagSize is the size of a datagram's tag in bytes.
	TagSize = 8
	// MaxBody is the maximum size in bytes of the body of an RPC request or response.
	MaxBody      = 12 << 20
	minKeySize   = 16
	tagHeader    = "Cornellanding-Tag"
	requestLabel = "request"
	answerLabel  = "answer"
)

// ErrInvalidTag is returned for a response whose tag is missing or invalid.
var ErrInvalidTag = errors.New("signer: response tag is missing or invalid")

// Signer signs and verifies messages. It is safe for concurrent use.
type Signer struct {
	macs sync.Pool
}

// New returns a signer with the fleet key. It returns an error if the key is shorter than
// 16 bytes.
func New(key []byte) (*Signer, error) {
	if len(key) < minKeySize {
		return nil, fmt.Errorf("signer: key has %d bytes, needs at least %d", len(key), minKeySize)
	}
	kept := bytes.Clone(key)
	si := &Signer{}
	si.macs.New = func() any { return hmac.New(sha256.New, kept) }
	return si, nil
}

// sum returns the MAC of the parts, each preceded by its length so that no two lists of
// parts have the same input.
func (si *Signer) sum(parts ...[]byte) []byte {
	mac := si.macs.Get().(hash.Hash)
	defer si.macs.Put(mac)
	mac.Reset()
	for _, part := range parts {
		writePart(mac, part)
	}
	return mac.Sum(nil)
}

func writePart(mac hash.Hash, part []byte) {
	writeLength(mac, int64(len(part)))
	mac.Write(part)
}

func writeLength(mac hash.Hash, length int64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], uint64(length))
	mac.Write(encoded[:])
}

// Seal appends a tag to a datagram, in place if its capacity allows. The payload is not
// encrypted.
func (si *Signer) Seal(packet []byte) []byte {
	return append(packet, si.sum(packet)[:TagSize]...)
}

// Open returns the payload of a datagram, or false if it must be discarded because its tag
// is missing or invalid.
func (si *Signer) Open(packet []byte) ([]byte, bool) {
	if len(packet) < TagSize {
		return nil, false
	}
	payload, tag := packet[:len(packet)-TagSize], packet[len(packet)-TagSize:]
	return payload, hmac.Equal(tag, si.sum(payload)[:TagSize])
}

// Transport returns a round tripper that signs requests and verifies responses. It returns
// ErrInvalidTag for a response that fails verification, and an error for a body larger than
// MaxBody.
func (si *Signer) Transport(base http.RoundTripper) http.RoundTripper {
	return &transport{si: si, base: base}
}

type transport struct {
	si   *Signer
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It doesn't copy a body that can be read twice.
func (tr *transport) RoundTrip(re *http.Request) (*http.Response, error) {
	signed := re.Clone(re.Context())
	tag, isRead, err := tr.signTwice(re)
	if err != nil {
		return nil, err
	}
	if !isRead {
		body, err := readAll(re.Body, re.ContentLength)
		if err != nil {
			return nil, err
		}
		signed.Body = io.NopCloser(bytes.NewReader(body))
		signed.ContentLength = int64(len(body))
		tag = tr.si.sum([]byte(requestLabel), []byte(re.URL.Path), body)
	}
	signed.Header.Set(tagHeader, base64.RawStdEncoding.EncodeToString(tag))
	answer, err := tr.base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return tr.si.verify(answer, tag)
}

// signTwice returns the tag of a request whose body can be read a second time, or false.
func (tr *transport) signTwice(re *http.Request) (tag []byte, isRead bool, err error) {
	if re.GetBody == nil || re.ContentLength <= 0 || re.ContentLength > MaxBody {
		return nil, false, nil
	}
	body, err := re.GetBody()
	if err != nil {
		return nil, false, fmt.Errorf("signer: read body: %w", err)
	}
	defer body.Close()
	tag, err = tr.si.sumRequest(re.URL.Path, body, re.ContentLength)
	return tag, true, err
}

// sumRequest returns the tag of a request with a body of a length, which it reads.
func (si *Signer) sumRequest(path string, body io.Reader, length int64) ([]byte, error) {
	mac := si.macs.Get().(hash.Hash)
	defer si.macs.Put(mac)
	mac.Reset()
	writePart(mac, []byte(requestLabel))
	writePart(mac, []byte(path))
	writeLength(mac, length)
	if count, err := io.Copy(mac, body); err != nil || count != length {
		return nil, fmt.Errorf("signer: body of %d bytes, %d read: %w", length, count, cmp.Or(err, io.ErrUnexpectedEOF))
	}
	return mac.Sum(nil), nil
}

func (si *Signer) verify(answer *http.Response, requestTag []byte) (*http.Response, error) {
	body, err := readAll(answer.Body, answer.ContentLength)
	if err != nil {
		return nil, err
	}
	got, err := base64.RawStdEncoding.DecodeString(answer.Header.Get(tagHeader))
	want := si.answerTag(requestTag, answer.StatusCode, body)
	if err != nil || !hmac.Equal(got, want) {
		return nil, ErrInvalidTag
	}
	answer.Body = &onceReader{content: body}
	return answer, nil
}

func (si *Signer) answerTag(requestTag []byte, status int, body []byte) []byte {
	return si.sum([]byte(answerLabel), requestTag, strconv.AppendInt(nil, int64(status), 10), body)
}

// readAll reads and closes a body of at most MaxBody bytes, which may be nil. The length is
// that of the head, -1 if there is none.
func readAll(body io.ReadCloser, length int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	if length > MaxBody {
		return nil, fmt.Errorf("signer: body is larger than %d bytes", MaxBody)
	}
	// ReadFrom needs MinRead free bytes to see the end.
	buffer := bytes.NewBuffer(make([]byte, 0, max(0, length)+bytes.MinRead))
	if _, err := buffer.ReadFrom(io.LimitReader(body, MaxBody+1)); err != nil {
		return nil, fmt.Errorf("signer: read body: %w", err)
	}
	if buffer.Len() > MaxBody {
		return nil, fmt.Errorf("signer: body is larger than %d bytes", MaxBody)
	}
	return buffer.Bytes(), nil
}

// onceReader reads content once and drops it at its end.
type onceReader struct {
	content []byte
}

// Read implements io.Reader.
func (or *onceReader) Read(into []byte) (int, error) {
	if len(or.content) == 0 {
		or.content = nil
		return 0, io.EOF
	}
	count := copy(into, or.content)
	or.content = or.content[count:]
	return count, nil
}

// Close implements io.Closer.
func (or *onceReader) Close() error {
	or.content = nil
	return nil
}

// Handler returns a handler that passes requests with a valid tag to next and signs the
// responses. It calls rejected for every other request and answers it with status 403, or
// with 400 if the body cannot be read or is larger than MaxBody.
func (si *Signer) Handler(next http.Handler, rejected func()) http.Handler {
	return si.LimitedHandler(next, rejected, nil, func(*http.Request) bool { return true })
}

// LimitedHandler returns a handler like Handler that asks admit for each request before it
// reads the body. If admit returns false, the body is verified without being kept, and refuse
// serves the request in place of next, without its body. A nil refuse means that every request
// is admitted.
func (si *Signer) LimitedHandler(next http.Handler, rejected func(), refuse http.Handler, admit func(re *http.Request) bool) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if !admit(re) {
			si.refuse(wr, re, refuse, rejected)
			return
		}
		length := re.ContentLength
		if refuse == nil {
			// Without an account, memory is allocated only for bytes that have arrived.
			length = -1
		}
		body, err := readAll(re.Body, length)
		if err != nil {
			rejected()
			http.Error(wr, "unreadable body", http.StatusBadRequest)
			return
		}
		tag := si.sum([]byte(requestLabel), []byte(re.URL.Path), body)
		got, err := base64.RawStdEncoding.DecodeString(re.Header.Get(tagHeader))
		if err != nil || !hmac.Equal(got, tag) {
			rejected()
			http.Error(wr, "peers only", http.StatusForbidden)
			return
		}
		re.Body = &onceReader{content: body}
		re.ContentLength = int64(len(body))
		bu := &bufferedResponse{header: wr.Header(), status: http.StatusOK}
		next.ServeHTTP(bu, re)
		si.writeSigned(wr, bu, tag)
	})
}

// refuse serves an authentic request by the refuse handler. The body is read to its end, since
// a client may not read a response before it has sent all of it.
func (si *Signer) refuse(wr http.ResponseWriter, re *http.Request, refuse http.Handler, rejected func()) {
	tag, err := si.sumRequest(re.URL.Path, io.LimitReader(re.Body, MaxBody+1), re.ContentLength)
	got, decodeErr := base64.RawStdEncoding.DecodeString(re.Header.Get(tagHeader))
	if err != nil || decodeErr != nil || !hmac.Equal(got, tag) {
		rejected()
		http.Error(wr, "peers only", http.StatusForbidden)
		return
	}
	bu := &bufferedResponse{header: wr.Header(), status: http.StatusOK}
	re.Body, re.ContentLength = http.NoBody, 0
	refuse.ServeHTTP(bu, re)
	si.writeSigned(wr, bu, tag)
}

func (si *Signer) writeSigned(wr http.ResponseWriter, bu *bufferedResponse, tag []byte) {
	answer := si.answerTag(tag, bu.status, bu.body.Bytes())
	wr.Header().Set(tagHeader, base64.RawStdEncoding.EncodeToString(answer))
	wr.Header().Set("Content-Length", strconv.Itoa(bu.body.Len()))
	wr.WriteHeader(bu.status)
	// After a failed write the caller has an incomplete body, which fails verification.
	_, _ = wr.Write(bu.body.Bytes())
}

// bufferedResponse collects a response, since its tag is sent in a header before the body.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (bu *bufferedResponse) Header() http.Header { return bu.header }

// WriteHeader implements http.ResponseWriter.
func (bu *bufferedResponse) WriteHeader(status int) { bu.status = status }

// Write implements http.ResponseWriter.
func (bu *bufferedResponse) Write(content []byte) (int, error) { return bu.body.Write(content) }
