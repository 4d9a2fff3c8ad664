package platformer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a caller. Send sends it with forged identity headers,
// which the router must not forward.
type Request struct {
	ID       string
	Host     string
	Path     string
	Key      uint64
	Deadline time.Duration
	// Credential is an API key of a tenant.
	Credential string
}

// Answer is the outcome of an attempt as its caller sees it.
type Answer struct {
	// Err is the failure of the connection if there was no complete response.
	Err    error
	Status int
	Body   string
	// Signature is the signature of the backend server, empty in a response of the
	// router itself.
	Signature string
}

// IsNotExecuted reports whether the response guarantees that the request has not
// run and never will.
func (an Answer) IsNotExecuted() bool {
	switch an.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return an.Err == nil
	}
	return false
}

// ExpectedBody returns the complete body of a backend server's response to the
// request.
func (rq Request) ExpectedBody() string { return "ran " + rq.ID }

// Head returns the head of the request without the empty line that ends it, for clients that
// send malformed or incomplete requests.
func (rq Request) Head() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Shard-Key: %d\r\nX-Deadline-Ms: %d\r\n",
		rq.Path, rq.Host, rq.ID, rq.Key, rq.Deadline.Milliseconds())
}

// Send sends the request to the router at address, as IP:port, and reads the
// response. The deadline is both a header and the limit on the exchange.
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
