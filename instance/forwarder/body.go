package forwarder

import (
	"errors"
	"io"
	"net/http"

	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
)

// ReadBody reads the body of a caller's request of at most limit bytes, as far as the account
// of its connection has room for it. After a refusal for lack of room the connection is closed
// with the response, since the rest of the body isn't read.
func ReadBody(wr http.ResponseWriter, re *http.Request, limit int64) (*assembler.Body, *Refusal) {
	notRun := gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
	body, err := readLimited(re, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Outcome: notRun, Reason: "the body is too large"}
	case errors.Is(err, assembler.ErrNoRoom):
		wr.Header().Set("Connection", "close")
		return nil, &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeNoMemory, Outcome: notRun, Reason: "no memory is left for the body", RetryAfter: accountant.RetryAfter,
		}
	case err != nil:
		return nil, &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Outcome: notRun, Reason: "the body can't be read"}
	}
	return body, nil
}

// readLimited reads a body. Without an account, memory is allocated only for bytes that have
// arrived.
func readLimited(re *http.Request, limit int64) (*assembler.Body, error) {
	limited := http.MaxBytesReader(nil, re.Body, limit)
	hold := accountant.From(re.Context())
	if !hold.IsLimited() {
		content, err := io.ReadAll(limited)
		return assembler.New(content), err
	}
	if re.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return assembler.Read(limited, re.ContentLength, hold.Take)
}
