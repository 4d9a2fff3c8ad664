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
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
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
	var length [8]byte
	for _, part := range parts {
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
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

// RoundTrip implements http.RoundTripper.
func (tr *transport) RoundTrip(re *http.Request) (*http.Response, error) {
	body, err := readAll(re.Body)
	if err != nil {
		return nil, err
	}
	signed := re.Clone(re.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	tag := tr.si.sum([]byte(requestLabel), []byte(re.URL.Path), body)
	signed.Header.Set(tagHeader, base64.RawStdEncoding.EncodeToString(tag))
	answer, err := tr.base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return tr.si.verify(answer, tag)
}

func (si *Signer) verify(answer *http.Response, requestTag []byte) (*http.Response, error) {
	body, err := readAll(answer.Body)
	if err != nil {
		return nil, err
	}
	got, err := base64.RawStdEncoding.DecodeString(answer.Header.Get(tagHeader))
	want := si.answerTag(requestTag, answer.StatusCode, body)
	if err != nil || !hmac.Equal(got, want) {
		return nil, ErrInvalidTag
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer, nil
}

func (si *Signer) answerTag(requestTag []byte, status int, body []byte) []byte {
	return si.sum([]byte(answerLabel), requestTag, strconv.AppendInt(nil, int64(status), 10), body)
}

// readAll reads and closes a body of at most MaxBody bytes, which may be nil.
func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer body.Close()
	content, err := io.ReadAll(io.LimitReader(body, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("signer: read body: %w", err)
	}
	if len(content) > MaxBody {
		return nil, fmt.Errorf("signer: body is larger than %d bytes", MaxBody)
	}
	return content, nil
}

// Handler returns a handler that passes requests with a valid tag to next and signs the
// responses. It calls rejected for every other request and answers it with status 403, or
// with 400 if the body cannot be read or is larger than MaxBody.
func (si *Signer) Handler(next http.Handler, rejected func()) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		body, err := readAll(re.Body)
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
		re.Body = io.NopCloser(bytes.NewReader(body))
		re.ContentLength = int64(len(body))
		bu := &bufferedResponse{header: wr.Header(), status: http.StatusOK}
		next.ServeHTTP(bu, re)
		si.writeSigned(wr, bu, tag)
	})
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
