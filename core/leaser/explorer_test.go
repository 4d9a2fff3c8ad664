package leaser

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// The bounds of the model checked by exhaustive search. Instants are small
// integers, and the term is too short for a drift margin: all clocks of the model
// run at the same rate.
//
// Messages are modelled by their worst case. A renewal sent at any past instant
// may arrive at any watcher at any time, any number of times. Only the latest
// acknowledgement of each watcher is kept, and a state in which a taker, an instance
// that takes over the holder's keys, owns the row is a violation if the lease would
// be valid with all of them delivered. This covers loss, delay, duplication
// and reordering, because acknowledgements only ever extend the lease and the
// holder's steps do not depend on them.
const (
	modelTerm     = 2
	modelHolder   = 100
	modelWatchers = 4
	maxTakers     = 2
	never         = int8(-1)
)

// model bounds one exploration. Its last group of fields disables single rules of
// the protocol, to show that each is needed.
type model struct {
	end    int8
	takers int
	// isReplacing lets the holder replace its first watcher.
	isReplacing bool
	// restarts is how many watchers may restart. Their new incarnations vote for
	// the former ones.
	restarts int8

	isEarlyRevoke        bool
	countsFromReceipt    bool
	isMinority           bool
	isUnconditional      bool
	isRestartedVoter     bool
	isEarlyFormerVote    bool
	countsOldOnly        bool
	countsNewOnly        bool
	dropsUnprovenAttempt bool
}

// watcherState is the state of one watcher, with the send time of the latest
// renewal that it acknowledged.
type watcherState struct {
	expiresAt int8
	isRevoked bool
	acked     int8
	// restartedAt is when another incarnation replaced the named one on its VM.
	restartedAt int8
	votes       [maxTakers]bool
}

// modelState is one state of the model. It is comparable, for use as a map key.
type modelState struct {
	now        int8
	committed  int8 // version of the holder's row
	isPending  bool
	isWritten  bool // the compare-and-set was issued
	isInFlight bool // the compare-and-set may still take effect
	version    int8 // version of the table's row
	taker      int8 // index of the taker that owns the row plus 1, 0 for the holder
	restarts   int8
	read       [maxTakers]int8 // version that each taker read, 0 for none
	ws         [modelWatchers]watcherState
}

func newModelState() modelState {
	st := modelState{committed: 1, version: 1}
	for i := range st.ws {
		st.ws[i].expiresAt, st.ws[i].acked, st.ws[i].restartedAt = never, never, never
	}
	return st
}

// watchersOf returns the indexes of a row version's watchers.
func watchersOf(version int8) []int {
	if version == 1 {
		return []int{0, 1, 2}
	}
	return []int{1, 2, 3}
}

func rowOf(version int8) Row {
	ro := Row{Incarnation: modelHolder, Version: uint64(version)}
	for _, i := range watchersOf(version) {
		ro.Watchers = append(ro.Watchers, WatcherID{Incarnation: uint64(i + 1)})
	}
	return ro
}

// holder builds the Holder of a state, without acknowledgements.
func (st *modelState) holder() *Holder {
	ho, _ := NewHolder(HolderIncarnation(modelHolder), HolderTerm(modelTerm))
	ho.committed = rowOf(st.committed)
	if st.isPending {
		ro := rowOf(2)
		ho.proposed = &ro
	}
	return ho
}

// storeHolder copies the Holder's state into st.
func (st *modelState) storeHolder(ho *Holder) {
	st.committed = int8(ho.committed.Version)
	st.isPending = ho.proposed != nil
}

// watcher builds the Watcher with index i of a state.
func (st *modelState) watcher(i int) *Watcher {
	wa, _ := NewWatcher(WatcherIncarnation(uint64(i+1)), WatcherTerm(modelTerm))
	if ws := st.ws[i]; ws.expiresAt != never || ws.isRevoked {
		wa.promises[modelHolder] = promise{expiresAt: timer.Instant(max(0, ws.expiresAt)), revoked: ws.isRevoked}
	}
	return wa
}

// storeWatcher copies the Watcher's state into st.
func (st *modelState) storeWatcher(i int, wa *Watcher) {
	pr, ok := wa.promises[modelHolder]
	st.ws[i].isRevoked = pr.revoked
	if ok && pr.expiresAt != 0 {
		st.ws[i].expiresAt = int8(pr.expiresAt)
	}
}

// hasTwoOwners reports whether a taker owns the row while the former holder's lease
// would be valid with all acknowledgements delivered.
func (mo model) hasTwoOwners(st modelState) bool {
	if st.taker == 0 {
		return false
	}
	ho := st.holder()
	for i, ws := range st.ws {
		if ws.acked == never {
			continue
		}
		at := ws.acked
		if mo.countsFromReceipt {
			at = st.now
		}
		ho.Acknowledge(Ack{Watcher: uint64(i + 1), Holder: modelHolder, SentAt: timer.Instant(at)})
	}
	return ho.IsValid(timer.Instant(st.now))
}

// canonical sorts the two watchers that both rows name, which are
// interchangeable, to halve the number of states.
func (st modelState) canonical() modelState {
	if less(st.ws[2], st.ws[1]) {
		st.ws[1], st.ws[2] = st.ws[2], st.ws[1]
	}
	return st
}

func less(le, ri watcherState) bool { return rankOf(le) < rankOf(ri) }

func rankOf(ws watcherState) uint64 {
	rank := uint64(ws.expiresAt+1)<<40 | uint64(ws.acked+1)<<32 | uint64(ws.restartedAt+1)<<24
	for i, bit := range []bool{ws.isRevoked, ws.votes[0], ws.votes[1]} {
		if bit {
			rank |= 1 << i
		}
	}
	return rank
}

// step is a transition to another state.
type step struct {
	name string
	next modelState
}

// steps returns all transitions from a state.
func (mo model) steps(st modelState) []step {
	var list []step
	add := func(name string, ne modelState) { list = append(list, step{name: name, next: ne}) }
	if st.now < mo.end {
		ne := st
		ne.now++
		add("time passes", ne)
	}
	mo.holderSteps(st, add)
	mo.networkSteps(st, add)
	mo.tableSteps(st, add)
	for ta := range mo.takers {
		mo.takerSteps(st, ta, add)
	}
	if st.restarts < mo.restarts {
		for i := range st.ws {
			if st.ws[i].restartedAt != never {
				continue
			}
			ne := st
			ne.restarts++
			ne.ws[i].restartedAt = st.now
			add(fmt.Sprint("watcher restarts as a new incarnation ", i), ne)
		}
	}
	if mo.isRestartedVoter && st.restarts == 0 {
		for i := range st.ws {
			ne := st
			ne.restarts++
			ne.ws[i].expiresAt, ne.ws[i].isRevoked = never, false
			add(fmt.Sprint("watcher restarts without its state ", i), ne)
		}
	}
	return list
}

func (mo model) holderSteps(st modelState, add func(string, modelState)) {
	if !mo.isReplacing || st.isWritten {
		return
	}
	ho := st.holder()
	st.isWritten, st.isInFlight = true, true
	switch {
	case mo.countsNewOnly:
		ho.Commit(rowOf(2))
	case !mo.countsOldOnly:
		ho.Propose(rowOf(2))
	}
	st.storeHolder(ho)
	add("holder proposes", st)
}

func (mo model) networkSteps(st modelState, add func(string, modelState)) {
	for i := range st.ws {
		for at := int8(0); at <= st.now; at++ {
			add(fmt.Sprint("renewal arrives ", i, at), mo.renew(st, i, at))
		}
	}
}

func (mo model) renew(st modelState, i int, at int8) modelState {
	if st.ws[i].restartedAt != never {
		// The renewal is addressed to the former incarnation.
		return st
	}
	wa := st.watcher(i)
	ack := wa.Renew(Renewal{Holder: modelHolder, SentAt: timer.Instant(at)}, timer.Instant(st.now))
	st.storeWatcher(i, wa)
	if !ack.Revoked {
		st.ws[i].acked = max(st.ws[i].acked, int8(ack.SentAt))
	}
	return st
}

// tableSteps lets an issued compare-and-set take effect at any time, and lets the
// holder read the row at any time.
func (mo model) tableSteps(st modelState, add func(string, modelState)) {
	if st.isInFlight && st.version == 1 && st.taker == 0 {
		ne := st
		ne.version, ne.isInFlight = 2, false
		add("write takes effect", ne)
	}
	// Only a row newer than the version in the write's condition proves the
	// outcome of the write.
	isProof := st.version > 1 || mo.dropsUnprovenAttempt
	if st.isWritten && st.taker == 0 && isProof {
		ne := st
		ho := st.holder()
		ho.Commit(rowOf(st.version))
		ne.storeHolder(ho)
		add("holder reads the row", ne)
	}
}

func (mo model) takerSteps(st modelState, ta int, add func(string, modelState)) {
	if st.taker != 0 {
		return
	}
	if st.read[ta] != st.version {
		ne := st
		ne.read[ta] = st.version
		for i := range ne.ws {
			ne.ws[i].votes[ta] = false
		}
		add(fmt.Sprint("taker reads ", ta), ne)
	}
	if st.read[ta] == 0 {
		return
	}
	votes, named := 0, watchersOf(st.read[ta])
	for _, i := range named {
		if st.ws[i].votes[ta] {
			votes++
			continue
		}
		add(fmt.Sprint("taker requests a vote ", ta, i), mo.revoke(st, ta, i))
	}
	need := Majority(len(named))
	if mo.isMinority {
		need--
	}
	if votes >= need && (st.read[ta] == st.version || mo.isUnconditional) {
		ne := st
		ne.taker = int8(ta + 1)
		add(fmt.Sprint("taker writes ", ta), ne)
	}
}

func (mo model) revoke(st modelState, ta, i int) modelState {
	now := timer.Instant(st.now)
	if mo.isEarlyRevoke {
		now += 100
	}
	if at := st.ws[i].restartedAt; at != never {
		wa, _ := NewWatcher(WatcherIncarnation(uint64(i+11)), WatcherTerm(modelTerm), WatcherStart(timer.Instant(at)))
		if mo.isEarlyFormerVote {
			now += 100
		}
		st.ws[i].votes[ta] = wa.RevokeForPredecessor(modelHolder, now).Revoked
		return st
	}
	wa := st.watcher(i)
	vote := wa.Revoke(modelHolder, now)
	st.storeWatcher(i, wa)
	st.ws[i].votes[ta] = vote.Revoked
	return st
}

// explored is a visited state with the index of the state it was reached from.
type explored struct {
	state  modelState
	parent int32
}

// explore visits up to limit states breadth first. It returns the number of
// visited states, whether these were all, and the steps to the first state with
// two owners.
func (mo model) explore(limit int) (visited int, isComplete bool, trace []string) {
	first := newModelState().canonical()
	seen := map[modelState]struct{}{first: {}}
	list := []explored{{state: first, parent: -1}}
	for i := 0; i < len(list); i++ {
		if len(list) >= limit {
			return len(list), false, nil
		}
		for _, sp := range mo.steps(list[i].state) {
			ne := sp.next.canonical()
			if _, ok := seen[ne]; ok {
				continue
			}
			seen[ne] = struct{}{}
			list = append(list, explored{state: ne, parent: int32(i)})
			if mo.hasTwoOwners(ne) {
				return len(list), false, mo.traceTo(list)
			}
		}
	}
	return len(list), true, nil
}

// traceTo returns the names of the steps to the last state of the list.
func (mo model) traceTo(list []explored) []string {
	var names []string
	for i := len(list) - 1; list[i].parent >= 0; i = int(list[i].parent) {
		for _, sp := range mo.steps(list[list[i].parent].state) {
			if sp.next.canonical() == list[i].state {
				names = append(names, sp.name)
				break
			}
		}
	}
	slices.Reverse(names)
	return names
}

// exploreVariable is the environment variable that enables the large explorations.
const exploreVariable = "CORNELLANDING_EXPLORE"

// TestExploreTakeover searches for a schedule in which a taker and the former
// holder both own keys.
func TestExploreTakeover(t *testing.T) {
	cases := map[string]struct {
		model   model
		isLarge bool
	}{
		"one taker and a replacement":          {model: model{end: 3, takers: 1, isReplacing: true}},
		"two takers and a replacement":         {model: model{end: 2, takers: 2, isReplacing: true}},
		"restarting watchers":                  {model: model{end: 3, takers: 1, restarts: 2}},
		"a replacement and a restart":          {model: model{end: 2, takers: 1, isReplacing: true, restarts: 1}},
		"restarting watchers, longer":          {model: model{end: 4, takers: 1, restarts: 2}, isLarge: true},
		"a replacement and a restart, longer":  {model: model{end: 3, takers: 1, isReplacing: true, restarts: 1}, isLarge: true},
		"two takers and a replacement, longer": {model: model{end: 4, takers: 2, isReplacing: true}, isLarge: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.isLarge && os.Getenv(exploreVariable) == "" {
				t.Skip("large exploration: set " + exploreVariable + "=1 to run it")
			}
			is := is.New(t)
			visited, isComplete, trace := tc.model.explore(40_000_000)
			t.Logf("visited %d states", visited)
			is.Equal(strings.Join(trace, "; "), "") // no state has two owners
			is.True(isComplete)
		})
	}
}

// TestExploreLeftOutRules disables one rule of the protocol at a time and expects
// the search to find two owners.
func TestExploreLeftOutRules(t *testing.T) {
	cases := map[string]model{
		"revoking before the promise expired":                   {isEarlyRevoke: true},
		"counting from the receipt":                             {countsFromReceipt: true},
		"a minority of watchers":                                {isMinority: true},
		"an unconditional write":                                {isUnconditional: true, isReplacing: true},
		"a restarted watcher votes":                             {isRestartedVoter: true},
		"voting for a former incarnation too early":             {isEarlyFormerVote: true, restarts: 2},
		"only the old watchers during a replacement":            {countsOldOnly: true, isReplacing: true},
		"only the new watchers during a replacement":            {countsNewOnly: true, isReplacing: true},
		"dropping a proposal whose write may still take effect": {dropsUnprovenAttempt: true, isReplacing: true},
	}
	for name, mo := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mo.end, mo.takers = 2, 1
			visited, _, trace := mo.explore(2_000_000)
			t.Logf("visited %d states: %s", visited, strings.Join(trace, "; "))
			is.True(len(trace) > 0) // the rule is needed
		})
	}
}
