package gatekeeper

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

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
		for _, size := range []int{1, emulator.UploadBytes} {
			t.Run(fmt.Sprintf("%s/%d bytes", ra.Name, size), func(t *testing.T) {
				is := is.New(t)
				for range tries {
					gate, err := New(ga.pu, startRaw(t, ra, echoID))
					is.NoErr(err)
					rq := request("1", strings.Repeat("x", size))
					rq.Remaining = int64(timeout)
					startedAt := time.Now()
					answer := gate.Forward(context.Background(), rq)
					is.True(time.Since(startedAt) < atOnce)
					if ra.IsWhole {
						is.Equal(answer.GetOutcome(), uint32(OutcomeAnswered)) // a whole answer passes
						is.Equal(string(answer.GetBody()), rawBody)
					} else {
						is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown))    // the request may have run
						is.Equal(answer.GetCode() == CodeCrashed, !ra.IsInvalid) // counts towards the quarantine
						is.Equal(answer.GetCode() == CodeLost, ra.IsInvalid)
						// The log tells a head that is not valid from a connection that broke.
						is.Equal(strings.HasPrefix(answer.GetReason(), "the answer is not valid HTTP: "), ra.IsInvalid)
					}
				}
			})
		}
	}
}
