package receiver

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HeadError says what in the head or the trailer of an answer HTTP doesn't allow. It never holds
// bytes of the answer.
type HeadError struct {
	Reason string
}

// Error implements error.
func (er *HeadError) Error() string { return "receiver: not an HTTP answer: " + er.Reason }

// maxInterimBytes bounds the interim heads before an answer, in bytes.
const maxInterimBytes = 64 << 10

// interim checks the interim heads of one answer.
type interim struct {
	bytes int
}

// got implements httptrace.ClientTrace.Got1xxResponse. With it, http.Transport doesn't bound the
// heads together.
func (in *interim) got(_ int, header textproto.MIMEHeader) error {
	in.bytes += len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			in.bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if in.bytes > maxInterimBytes {
		return &HeadError{Reason: "too many interim heads"}
	}
	return checkFields(http.Header(header), "interim head")
}

// checkedBody is a body in chunks whose end is returned only if the trailer is valid.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (cb *checkedBody) Read(into []byte) (int, error) {
	count, err := cb.ReadCloser.Read(into)
	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF):
		return count, cmp.Or(checkFields(cb.answer.Trailer, "trailer"), err)
	default:
		return count, parseError(err)
	}
}

// parseError returns a *HeadError for an error of net/http that quotes what it can't parse, and any
// other error unchanged. Most of those errors have no type.
func parseError(err error) error {
	if strings.Contains(err.Error(), "malformed") {
		return &HeadError{Reason: "malformed line"}
	}
	return err
}

// statusDigits is the length of a status code, RFC 9112 section 4.
const statusDigits = 3

// Check returns a *HeadError if the head of an answer to a request without an upgrade is not
// valid HTTP/1, RFC 9112 section 4 and RFC 9110 sections 5 and 15. It adds to http.ReadResponse,
// which accepts each status from 000 to 999, also with a sign, each version and reason phrase,
// and blanks in the names of fields.
func Check(answer *http.Response) error {
	if answer.ProtoMajor != 1 {
		return &HeadError{Reason: fmt.Sprintf("version %d.%d", answer.ProtoMajor, answer.ProtoMinor)}
	}
	if len(answer.Status) < statusDigits || answer.Status[:statusDigits] != fmt.Sprintf("%03d", answer.StatusCode) {
		return &HeadError{Reason: "status code is not a number"}
	}
	if !IsFinal(answer.StatusCode) {
		return &HeadError{Reason: fmt.Sprintf("status %03d", answer.StatusCode)}
	}
	if !httpguts.ValidHeaderFieldValue(answer.Status[statusDigits:]) {
		return &HeadError{Reason: "invalid byte in the reason phrase"}
	}
	return checkFields(answer.Header, "head")
}

// checkFields returns a *HeadError if a field of the named part of an answer is invalid.
func checkFields(header http.Header, part string) error {
	for name, values := range header {
		for _, value := range values {
			if !IsField(name, value) {
				return &HeadError{Reason: "invalid byte in a field of the " + part}
			}
		}
	}
	return nil
}

// IsField reports whether HTTP allows a field, RFC 9110 section 5.
func IsField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// IsFinal reports whether a status is one of a final answer, RFC 9110 section 15.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }
