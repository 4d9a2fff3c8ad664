// Package signer authenticates what instances send each other with a keyed
// MAC.
//
// All instances share one fleet key from their settings. A datagram ends in a
// short tag. An RPC carries a tag over its path and body, and the answer one
// over its request's tag, status and body, so that neither can be forged,
// altered, cut short or crossed with another.
//
// # Usage
//
//	si, err := signer.New(fleetKey)
//	client := &http.Client{Transport: si.Transport(base)}
//	server := si.Handler(twirpServer)
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
	// MaxBody bounds the body of an RPC or its answer, in bytes.
	MaxBody      = 12 << 20
	minKeySize   = 16
	tagHeader    = "Cornellanding-Tag"
	requestLabel = "request"
	answerLabel  = "answer"
)

// ErrInvalidTag is returned for an answer whose tag is missing or wrong.
var ErrInvalidTag = errors.New("signer: the answer's tag is wrong")

// Signer signs and verifies. It is safe for use by several goroutines.
type Signer struct {
	macs sync.Pool
}

// New returns a signer with the fleet's key, of at least 16 bytes.
func New(key []byte) (*Signer, error) {
	if len(key) < minKeySize {
		return nil, fmt.Errorf("signer: key of %d bytes, at least %d are needed", len(key), minKeySize)
	}
	kept := bytes.Clone(key)
	si := &Signer{}
	si.macs.New = func() any { return hmac.New(sha256.New, kept) }
	return si, nil
}

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

// Seal appends a tag to a datagram.
func (si *Signer) Seal(packet []byte) []byte {
	return append(packet, si.sum(packet)[:TagSize]...)
}

// Open returns the payload of a datagram, or false if the tag is wrong.
func (si *Signer) Open(packet []byte) ([]byte, bool) {
	if len(packet) < TagSize {
		return nil, false
	}
	payload, tag := packet[:len(packet)-TagSize], packet[len(packet)-TagSize:]
	return payload, hmac.Equal(tag, si.sum(payload)[:TagSize])
}

// Transport returns a round tripper that signs requests and verifies answers.
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
	return tr.verify(answer, tag)
}

func (tr *transport) verify(answer *http.Response, requestTag []byte) (*http.Response, error) {
	body, err := readAll(answer.Body)
	if err != nil {
		return nil, err
	}
	got, err := base64.RawStdEncoding.DecodeString(answer.Header.Get(tagHeader))
	want := tr.si.answerTag(requestTag, answer.StatusCode, body)
	if err != nil || !hmac.Equal(got, want) {
		return nil, ErrInvalidTag
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer, nil
}

func (si *Signer) answerTag(requestTag []byte, status int, body []byte) []byte {
	return si.sum([]byte(answerLabel), requestTag, strconv.AppendInt(nil, int64(status), 10), body)
}

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

// Handler returns a handler that passes on only requests with a right tag and
// signs the answers. Rejected is called for each other request.
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
		bu := &buffer{header: wr.Header(), status: http.StatusOK}
		next.ServeHTTP(bu, re)
		si.flush(wr, bu, tag)
	})
}

func (si *Signer) flush(wr http.ResponseWriter, bu *buffer, tag []byte) {
	answer := si.answerTag(tag, bu.status, bu.body.Bytes())
	wr.Header().Set(tagHeader, base64.RawStdEncoding.EncodeToString(answer))
	wr.Header().Set("Content-Length", strconv.Itoa(bu.body.Len()))
	wr.WriteHeader(bu.status)
	// A failed write leaves the caller with a wrong tag, which it detects.
	_, _ = wr.Write(bu.body.Bytes())
}

// buffer holds an answer until its tag is known.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (bu *buffer) Header() http.Header { return bu.header }

// WriteHeader implements http.ResponseWriter.
func (bu *buffer) WriteHeader(status int) { bu.status = status }

// Write implements http.ResponseWriter.
func (bu *buffer) Write(content []byte) (int, error) { return bu.body.Write(content) }
