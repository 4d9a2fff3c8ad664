package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// answeringPeer is an instance whose gate gives one answer to all requests.
type answeringPeer struct {
	peerproto.Peer
	testGate
	answer *peerproto.ForwardResponse
}

// Forward implements bodyGate.
func (ap *answeringPeer) Forward(_ context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	answer := proto.Clone(ap.answer).(*peerproto.ForwardResponse)
	answer.RequestId = rq.GetRequestId()
	return answer
}

// callServer serves the RPC Forward of an answeringPeer.
type callServer struct {
	peerproto.Peer
	ap *answeringPeer
}

// Forward implements peerproto.Peer.
func (cs *callServer) Forward(ctx context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, error) {
	return cs.ap.Forward(ctx, rq), nil
}

// TestBrokenAnswerOfAPeer guards against answers that are not valid HTTP and reach a client
// through an instance of an older build.
func TestBrokenAnswerOfAPeer(t *testing.T) {
	field := func(name, value string) []*peerproto.Header {
		return []*peerproto.Header{{Name: "Valid", Value: "x"}, {Name: name, Value: value}}
	}
	si := newTestSigner(t)
	for name, cas := range map[string]struct {
		answer  *peerproto.ForwardResponse
		isWhole bool
	}{
		"whole":                {&peerproto.ForwardResponse{Status: http.StatusOK, Headers: field("Odd!", "\tx \u00e9")}, true},
		"status 599":           {&peerproto.ForwardResponse{Status: 599}, true},
		"status 000":           {&peerproto.ForwardResponse{}, false},
		"status 101":           {&peerproto.ForwardResponse{Status: http.StatusSwitchingProtocols}, false},
		"status 600":           {&peerproto.ForwardResponse{Status: 600}, false},
		"status above 32 bits": {&peerproto.ForwardResponse{Status: 1<<32 - 1}, false},
		"blank in a name":      {&peerproto.ForwardResponse{Status: http.StatusOK, Headers: field("Odd Name", "x")}, false},
		"no name":              {&peerproto.ForwardResponse{Status: http.StatusOK, Headers: field("", "x")}, false},
		"control in a name":    {&peerproto.ForwardResponse{Status: http.StatusOK, Headers: field("Odd\x01", "x")}, false},
		"line end in a value":  {&peerproto.ForwardResponse{Status: http.StatusOK, Headers: field("Odd", "x\r\ny: z")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cas.answer.Outcome = gatekeeper.OutcomeAnswered
			cas.answer.Body = []byte("body")
			ap := &answeringPeer{answer: cas.answer}
			mux := http.NewServeMux()
			mux.Handle("/", si.Handler(peerproto.NewPeerServer(&callServer{ap: ap}), func() {}))
			mux.Handle(bodyPath, &bodyServer{ga: ap, si: si, clock: timer.BootClock{}, rejected: func() {}})
			server := httptest.NewServer(mux)
			defer server.Close()
			pe := newPeers(si, everywhere, nil)
			defer pe.close()
			for _, size := range []int{0, wholeBodyMax} { // with the request, and behind its head
				ctx := gatekeeper.WithBody(context.Background(), assembler.New(make([]byte, size)))
				rq := &peerproto.ForwardRequest{RequestId: "r", Remaining: int64(time.Minute)}
				answer, wasSent, err := pe.Forward(ctx, strings.TrimPrefix(server.URL, "http://"), rq)
				is.NoErr(err)
				is.True(wasSent)
				is.Equal(answer.GetRequestId(), "r")
				if cas.isWhole {
					is.Equal(answer.GetOutcome(), uint32(gatekeeper.OutcomeAnswered))
					is.Equal(len(answer.GetHeaders()), len(cas.answer.GetHeaders()))
					continue
				}
				is.Equal([]any{answer.GetOutcome(), answer.GetCode()}, []any{uint32(gatekeeper.OutcomeUnknown), gatekeeper.CodeLost})
				is.Equal(len(answer.GetBody())+len(answer.GetHeaders()), 0)
			}
		})
	}
}
