package receiver

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError says what in the head or the trailer of an answer HTTP doesn't allow. It never holds
// bytes of the answer.
type HeadError struct {
	Reason string
}

// Error implements error.
func (er *HeadError) Error() string { return "receiver: not an HTTP answer: " + er.Reason }

// statusDigits is the length of a status code, RFC 9112 section 4.
const statusDigits = 3

// Check returns a *HeadError if the head of an answer to a request without an upgrade is not
// valid HTTP/1, RFC 9112 section 4 and RFC 9110 sections 5 and 15. It adds to http.ReadResponse,
// which accepts each status from 000 to 999, also with a sign, each version and reason phrase.
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
	return nil
}

// IsFinal reports whether a status is one of a final answer, RFC 9110 section 15.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }
