package platformer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	grantPath   = "/cornellanding/grant"
	releasePath = "/cornellanding/release"
	// blockKeys is the number of keys of a block, the unit in which a server that is
	// called to grant keys records its holds.
	blockKeys = 256
	// clockDriftShare is the divisor of the time by which a server's clock lets a
	// granted hold outlast its term.
	clockDriftShare = 50
	// releaseCheck separates checks whether the work on released keys has ended.
	releaseCheck = 2 * time.Millisecond
)

// WithGrantsByCall makes the server take its keys from calls in place of the replies to
// its heartbeats.
func WithGrantsByCall() ServerOption { return func(bs *Server) { bs.grantsByCall = true } }

// LeaveGrantsUnanswered makes the server leave the next grants unanswered and apply each
// of them after a delay. The time of their holds counts from their arrival.
func (bs *Server) LeaveGrantsUnanswered(count int, delay time.Duration) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.unansweredGrants, bs.grantDelay = count, delay
}

// UnansweredGrants returns how many of the next grants will be left unanswered.
func (bs *Server) UnansweredGrants() int {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.unansweredGrants
}

// grantCall is the JSON body of a grant or a release.
type grantCall struct {
	From         uint64  `json:"from"`
	To           uint64  `json:"to"`
	FencingToken uint64  `json:"fence"`
	HoldS        float64 `json:"holdS"`
}

// readGrantCall reads the body of a call, and answers a malformed one.
func (bs *Server) readGrantCall(wr http.ResponseWriter, re *http.Request) (grantCall, bool) {
	var gc grantCall
	err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxReplyBytes)).Decode(&gc)
	if err == nil && (gc.From%blockKeys != 0 || (gc.To+1)%blockKeys != 0 || gc.To < gc.From) {
		err = fmt.Errorf("keys %d to %d are no blocks of %d", gc.From, gc.To, blockKeys)
	}
	if err != nil {
		bs.mu.Lock()
		bs.protocolErrors = append(bs.protocolErrors, "malformed "+re.URL.Path+": "+err.Error())
		bs.mu.Unlock()
		wr.WriteHeader(http.StatusBadRequest)
		return gc, false
	}
	return gc, true
}

func (bs *Server) serveGrant(wr http.ResponseWriter, re *http.Request) {
	arrivedAt := time.Now()
	gc, ok := bs.readGrantCall(wr, re)
	if !ok {
		return
	}
	bs.mu.Lock()
	if bs.unansweredGrants > 0 {
		bs.unansweredGrants--
		time.AfterFunc(bs.grantDelay, func() {
			bs.mu.Lock()
			defer bs.mu.Unlock()
			bs.applyGrant(gc, arrivedAt)
		})
		bs.mu.Unlock()
		<-re.Context().Done()
		return
	}
	defer bs.mu.Unlock()
	if !bs.applyGrant(gc, arrivedAt) {
		wr.WriteHeader(http.StatusConflict)
	}
}

// applyGrant applies a grant, and reports false if the server has seen a higher token.
// The lock must be held.
func (bs *Server) applyGrant(gc grantCall, arrivedAt time.Time) bool {
	for from := gc.From; from < gc.To; from += blockKeys {
		if gc.FencingToken < bs.maxToken[from] {
			return false
		}
	}
	term := time.Duration(gc.HoldS * float64(time.Second))
	until := arrivedAt.Add(term + term/clockDriftShare)
	now := time.Now()
	if bs.hasCrashed || !now.Before(until) {
		return true
	}
	for from := gc.From; from < gc.To; from += blockKeys {
		bs.maxToken[from] = gc.FencingToken
		ho := Hold{From: from, To: from + blockKeys - 1, FencingToken: gc.FencingToken, Until: until}
		bs.removeHold(from)
		bs.holds = append(bs.holds, ho)
		bs.recordHold(ho, now)
	}
	return true
}

// removeHold removes the hold of the block from its first key. The lock must be held.
func (bs *Server) removeHold(from uint64) {
	for i, ho := range bs.holds {
		if ho.From == from {
			bs.holds = append(bs.holds[:i], bs.holds[i+1:]...)
			return
		}
	}
}

func (bs *Server) serveRelease(wr http.ResponseWriter, re *http.Request) {
	gc, ok := bs.readGrantCall(wr, re)
	if !ok {
		return
	}
	bs.mu.Lock()
	for from := gc.From; from < gc.To; from += blockKeys {
		bs.removeHold(from)
	}
	bs.mu.Unlock()
	for bs.isWorking(gc.From, gc.To) {
		select {
		case <-time.After(releaseCheck):
		case <-re.Context().Done():
			return
		}
	}
	bs.mu.Lock()
	for from := gc.From; from < gc.To; from += blockKeys {
		bs.endHold(from, time.Now())
	}
	bs.mu.Unlock()
	wr.Header().Set("X-Handover", fmt.Sprintf("%s-%d", bs.ID(), gc.From))
}

// isWorking reports whether a request on the keys runs.
func (bs *Server) isWorking(from, to uint64) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for _, ru := range bs.runs {
		if ru.EndedAt.IsZero() && ru.Key >= from && ru.Key <= to {
			return true
		}
	}
	return false
}
