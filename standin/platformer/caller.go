package platformer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID       string
	Host     string
	Path     string
	Key      uint64
	Deadline time.Duration
	// Credential is the key of a tenant.
	Credential string
}

// Answer is what a client saw of its attempt.
type Answer struct {
	// Err is the broken connection, if there was no whole answer.
	Err    error
	Status int
	Body   string
	// Signature is that of the backend server.
	Signature string
}

// IsNotExecuted reports whether the answer promises that the request has not run
// and never will.
func (an Answer) IsNotExecuted() bool {
	switch an.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return an.Err == nil
	}
	return false
}

// ExpectedBody returns the whole answer of a backend server to the request.
func (rq Request) ExpectedBody() string { return "ran " + rq.ID }

// Send sends the request on a connection of the client.
func (rq Request) Send(ctx context.Context, client *http.Client, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, rq.Deadline)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+rq.Path, strings.NewReader(rq.ID))
	if err != nil {
		return Answer{Err: err}
	}
	re.Host = rq.Host
	re.Header.Set("X-Request-Id", rq.ID)
	re.Header.Set("X-Deadline-Ms", fmt.Sprint(rq.Deadline.Milliseconds()))
	re.Header.Set("X-Shard-Key", fmt.Sprint(rq.Key))
	re.Header.Set("X-Caller-Service", "forged")
	re.Header.Set("X-Tenant-Id", "forged")
	re.Header.Set("Authorization", "Bearer "+rq.Credential)
	answer, err := client.Do(re)
	if err != nil {
		return Answer{Err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return Answer{Err: err, Status: answer.StatusCode, Body: string(body), Signature: answer.Header.Get("X-Server-Signature")}
}
