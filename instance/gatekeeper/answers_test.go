package gatekeeper

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// uploadBytes is more than a connection takes while the server doesn't read.
const uploadBytes = 16 << 20

const rawBody = "whole"

// startRaw starts a server that gives the answer.
func startRaw(t *testing.T, ra emulator.RawAnswer, fields func(re *http.Request) string) string {
	t.Helper()
	rs, err := emulator.NewRawServer(ra, fields)
	is.New(t).NoErr(err)
	t.Cleanup(func() { rs.Close() })
	return rs.Address()
}

func echoID(re *http.Request) string {
	return "Request-Id: " + re.Header.Get(headerRequestID) + "\r\n"
}

// TestBrokenAnswers guards against answers that are incomplete or not HTTP and pass for answers,
// and against whole ones that are taken for broken, while the request is written and after it.
func TestBrokenAnswers(t *testing.T) {
	const (
		tries   = 8
		atOnce  = time.Second
		timeout = 10 * time.Second
	)
	ga := newGate(t)
	for _, ra := range emulator.RawAnswers(rawBody) {
		for name, body := range map[string]string{"upload": strings.Repeat("x", uploadBytes), "request": "body"} {
			t.Run(ra.Name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				for range tries {
					gate, err := New(ga.pu, startRaw(t, ra, echoID))
					is.NoErr(err)
					rq := request("1", body)
					rq.Remaining = int64(timeout)
					startedAt := time.Now()
					answer := gate.Forward(context.Background(), rq)
					is.True(time.Since(startedAt) < atOnce)
					if ra.IsWhole {
						is.Equal(answer.GetOutcome(), uint32(OutcomeAnswered)) // a whole answer passes
						is.Equal(string(answer.GetBody()), rawBody)
					} else {
						is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown)) // the request may have run
					}
				}
			})
		}
	}
}
