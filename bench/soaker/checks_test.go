package soaker

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"cornellanding.example/standin/platformer"
	"github.com/matryer/is"
)

var (
	start     = time.Unix(1_700_000_000, 0)
	errBroken = errors.New("reset")
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func attemptOf(id string, status int) attempt {
	atm := attempt{tenant: openTenant, startedAt: at(0), endedAt: at(50)}
	atm.request = platformer.Request{ID: id, Key: 5}
	atm.answer = platformer.Answer{Status: status}
	if status == http.StatusOK {
		atm.answer.Signature, atm.answer.Body = "s", atm.request.ExpectedBody()
	}
	return atm
}

func runOf(id string, ms int) platformer.Run {
	return platformer.Run{RequestID: id, Key: 5, Tenant: openTenant, Caller: keyService, Body: id, StartedAt: at(ms), EndedAt: at(ms + 5)}
}

func tenureOf(fence uint64, from, until int) platformer.HoldPeriod {
	return platformer.HoldPeriod{From: 0, To: 9, FencingToken: fence, Since: at(from), Until: at(until)}
}

// TestVerifyHistory checks that each kind of violation is found in a history,
// and none in a valid one.
func TestVerifyHistory(t *testing.T) {
	for _, cas := range []struct {
		name string
		want string
		make func(hi *history)
	}{
		{"valid", "", func(*history) {}},
		{"answered and never run", "ran on no server", func(hi *history) { hi.servers[0].runs = nil }},
		{"run twice", "ran 2 times", func(hi *history) { hi.servers[1].runs = []platformer.Run{runOf("r-1", 300)} }},
		{"run despite status 503", "status 503 promises that it did not run, but it ran", func(hi *history) { hi.attempts[0] = attemptOf("r-1", http.StatusServiceUnavailable) }},
		{"request that no client sent", "no client sent it", func(hi *history) { hi.servers[0].runs = append(hi.servers[0].runs, runOf("r-9", 20)) }},
		{"another tenant", "ran for tenant", func(hi *history) { hi.servers[0].runs[0].Tenant = "x" }},
		{"forged caller", "with caller service", func(hi *history) { hi.servers[0].runs[0].Caller = "forged" }},
		{"credential passed on", "passed on", func(hi *history) { hi.servers[0].runs[0].HasCredential = true }},
		{"another body", "with body", func(hi *history) { hi.servers[0].runs[0].Body = "x" }},
		{"fencing token falls", "got fencing token", func(hi *history) { hi.servers[1].tenures[0].FencingToken = 1 }},
		{"two holders beyond the limit", "both held them", func(hi *history) { hi.servers[0].tenures[0].Until = at(700) }},
		{"two holders with requests", "both held them", func(hi *history) {
			hi.servers[0].tenures[0].Until = at(200)
			hi.servers[0].runs[0].StartedAt = at(150)
			hi.servers[1].runs = []platformer.Run{runOf("r-2", 160)}
			hi.attempts = append(hi.attempts, attemptOf("r-2", http.StatusOK))
		}},
		{"two holders briefly, one serving", "", func(hi *history) { hi.servers[0].tenures[0].Until = at(200) }},
		{"above the rate", "at most", func(hi *history) {
			hi.tenants = []platformer.Tenant{{Name: openTenant, RatePerS: 1, Burst: 1}}
			for range 40 {
				hi.servers[0].runs = append(hi.servers[0].runs, runOf("r-1", 10))
			}
			hi.attempts[0].isIdempotent = true
		}},
		{"withdrawn key", "withdrawn", func(hi *history) {
			hi.withdrawals = []withdrawal{{tenant: openTenant, from: at(-6000), until: at(1000)}}
		}},
		{"protocol error of a server", "bytes", func(hi *history) { hi.servers[0].protocolErrors = []string{"a reply of 9999 bytes"} }},
	} {
		t.Run(cas.name, func(t *testing.T) {
			hi := history{
				attempts: []attempt{attemptOf("r-1", http.StatusOK)},
				servers: []server{
					{id: "a", runs: []platformer.Run{runOf("r-1", 10)}, tenures: []platformer.HoldPeriod{tenureOf(1, 0, 100)}},
					{id: "b", tenures: []platformer.HoldPeriod{tenureOf(2, 100, 900)}},
				},
			}
			cas.make(&hi)
			expectViolation(t, cas.want, func(ve *verifier) { ve.verifyHistory(hi) })
		})
	}
}

// TestVerifyAnswer checks that wrong answers are found as they are received.
func TestVerifyAnswer(t *testing.T) {
	for _, cas := range []struct {
		name string
		want string
		make func(at *attempt)
	}{
		{"valid", "", func(*attempt) {}},
		{"no signature", "status 200 with signature", func(at *attempt) { at.answer.Signature = "" }},
		{"another body", "status 200 with signature", func(at *attempt) { at.answer.Body = "ran r-2" }},
		{"signed failure", "signature", func(at *attempt) { at.answer.Status = http.StatusBadGateway }},
		{"status 404", "for a valid request", func(at *attempt) { at.answer = platformer.Answer{Status: http.StatusNotFound} }},
		{"refused after recovery", "not served", func(at *attempt) {
			at.answer, at.isAfterRecovery = platformer.Answer{Status: http.StatusServiceUnavailable}, true
		}},
		{"broken after recovery", "not served", func(at *attempt) { at.answer, at.isAfterRecovery = platformer.Answer{Err: errBroken}, true }},
		{"broken during faults", "", func(at *attempt) { at.answer = platformer.Answer{Err: errBroken} }},
	} {
		t.Run(cas.name, func(t *testing.T) {
			atm := attemptOf("r-1", http.StatusOK)
			cas.make(&atm)
			expectViolation(t, cas.want, func(ve *verifier) { ve.verifyAnswer(atm) })
		})
	}
}

func expectViolation(t *testing.T, want string, verify func(ve *verifier)) {
	t.Helper()
	ve := &verifier{}
	verify(ve)
	found := strings.Join(ve.list(), "\n")
	if want == "" {
		is.New(t).Equal(found, "")
		return
	}
	if !strings.Contains(found, want) {
		t.Errorf("found %q, want %q", found, want)
	}
}

// TestBrokenAnswerIsNoAnswer guards against broken answers that the soak takes for answers.
func TestBrokenAnswerIsNoAnswer(t *testing.T) {
	rq := platformer.Request{ID: "r", Path: "/", Deadline: time.Second}
	for _, ra := range emulator.RawAnswers(rq.ExpectedBody()) {
		t.Run(ra.Name, func(t *testing.T) {
			is := is.New(t)
			rs, err := emulator.NewRawServer(ra, func(*http.Request) string { return "Connection: close\r\n" })
			is.NoErr(err)
			defer rs.Close()
			got := rq.Send(t.Context(), newLoad(nil, Settings{}).client, rs.Address())
			is.Equal(got.Err == nil, ra.IsWhole)
			is.Equal(got.Body == rq.ExpectedBody() && got.Err == nil, ra.IsWhole)
		})
	}
}
