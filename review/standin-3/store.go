package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
	Value   []byte `json:"value"`
	// Tombstone says that the row was removed.
	Tombstone bool `json:"-"`
}

// MarshalJSON implements json.Marshaler.
func (ro row) MarshalJSON() ([]byte, error) {
	fields := map[string]any{"table": ro.Table, "part": ro.Part, "key": ro.Key, "ver": ro.Version}
	if ro.Value != nil {
		fields["value"] = ro.Value
	}
	if ro.Tombstone {
		fields[wire("removed")] = true
	}
	return json.Marshal(fields)
}

func (ro row) id() string { return ro.Table + "\x00" + ro.Part + "\x00" + ro.Key }

// change is one applied transaction.
type change struct {
	at   time.Time
	rows []row
}

// store is the platform's metadata store. It keeps its whole history, so that it can come
// back from a copy that is some seconds old.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	history []change
	changed chan struct{}
	isAway  bool
	era     int
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), era: 1, start: time.Now()}
}

// apply sets rows at the next version. The lock must be held.
func (st *store) apply(rows []row) {
	st.version++
	ch := change{at: time.Now()}
	for _, ro := range rows {
		ro.Version = st.version
		st.rows[ro.id()] = ro
		ch.rows = append(ch.rows, ro)
	}
	st.history = append(st.history, ch)
	st.notify()
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// put is a write of the operator.
func (st *store) put(table, key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]row{{Table: table, Key: key, Value: value}})
	return st.version
}

// latest returns the store's version.
func (st *store) latest() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.version
}

// keys returns the keys of a table that exist, with their versions.
func (st *store) keys(table string) map[string]uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	found := map[string]uint64{}
	for _, ro := range st.rows {
		if ro.Table == table && !ro.Tombstone {
			found[ro.Key] = ro.Version
		}
	}
	return found
}

// setAway makes each call fail with 503, or serves again.
func (st *store) setAway(isAway bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.isAway = isAway
	st.notify()
}

// restore brings the store back from its copy of an instant: what the system wrote since is
// gone, and what the operator wrote since is written again. It returns the versions before and
// after.
func (st *store) restore(asOf time.Time) (before, after uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	before = st.version
	former := st.history
	st.rows, st.version, st.history = map[string]row{}, 0, nil
	for _, ch := range former {
		if ch.at.After(asOf) {
			break
		}
		st.version++
		for _, ro := range ch.rows {
			st.rows[ro.id()] = ro
		}
		st.history = append(st.history, ch)
	}
	after = st.version
	for _, ch := range former[len(st.history):] {
		var byOperator []row
		for _, ro := range ch.rows {
			if ro.Table == "op" || ro.Table == "servers" {
				byOperator = append(byOperator, ro)
			}
		}
		if len(byOperator) > 0 {
			st.apply(byOperator)
		}
	}
	st.era++
	st.notify()
	return before, after
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	time.Sleep(4 * time.Millisecond)
	st.mu.Lock()
	isAway := st.isAway
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	st.mu.Unlock()
	if isAway {
		http.Error(wr, "away", http.StatusServiceUnavailable)
		return
	}
	switch re.URL.Path {
	case wire("get"):
		st.serveGet(wr, re)
	case wire("feed"):
		st.serveFeed(wr, re)
	case wire("parts"):
		answer(wr, http.StatusOK, map[string]any{"parts": []string{""}, "ver": st.latest()})
	case wire("transaction"):
		st.serveTransaction(wr, re)
	default:
		http.NotFound(wr, re)
	}
}

func answer(wr http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(content)
}

func (st *store) body(rows []row, hasMore bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "hasMore": hasMore, "ver": st.version, "nowS": time.Since(st.start).Seconds()}
}

func (st *store) serveGet(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	limit := 500
	if li, err := strconv.Atoi(qu.Get("limit")); err == nil && li > 0 {
		limit = min(limit, li)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var rows []row
	for _, ro := range st.rows {
		if ro.Table == qu.Get("table") && ro.Part == qu.Get("part") && !ro.Tombstone && ro.Key >= from && (to == "" || ro.Key < to) {
			rows = append(rows, ro)
		}
	}
	slices.SortFunc(rows, func(le, ri row) int { return strings.Compare(le.Key, ri.Key) })
	answer(wr, http.StatusOK, st.body(rows[:min(limit, len(rows))], len(rows) > limit))
}

func (st *store) serveFeed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	st.mu.Lock()
	era := st.era
	st.mu.Unlock()
	for {
		st.mu.Lock()
		changed := st.changed
		if st.isAway || st.era != era {
			st.mu.Unlock()
			panic(http.ErrAbortHandler) // the connection breaks as the store goes away
		}
		if after > st.version {
			st.mu.Unlock()
			http.Error(wr, "no such version", http.StatusGone)
			return
		}
		var rows []row
		for _, ro := range st.rows {
			if ro.Table == qu.Get("table") && ro.Version > after {
				rows = append(rows, ro)
			}
		}
		if len(rows) > 0 {
			slices.SortFunc(rows, func(le, ri row) int { return int(le.Version) - int(ri.Version) })
			answer(wr, http.StatusOK, st.body(rows, false))
			st.mu.Unlock()
			return
		}
		st.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			st.mu.Lock()
			answer(wr, http.StatusOK, st.body(nil, false))
			st.mu.Unlock()
			return
		case <-re.Context().Done():
			return
		}
	}
}

func (st *store) serveTransaction(wr http.ResponseWriter, re *http.Request) {
	var body map[string]json.RawMessage
	var tx struct{ Expected, Set, Remove []row }
	err := json.NewDecoder(re.Body).Decode(&body)
	for name, rows := range map[string]*[]row{wire("conditions"): &tx.Expected, wire("writes"): &tx.Set, "remove": &tx.Remove} {
		if fields, ok := body[name]; ok && err == nil {
			err = json.Unmarshal(fields, rows)
		}
	}
	if err != nil {
		http.Error(wr, "malformed transaction", http.StatusBadRequest)
		return
	}
	if len(tx.Expected)+len(tx.Set)+len(tx.Remove) > 100 {
		http.Error(wr, "too many entries", http.StatusBadRequest)
		return
	}
	for _, ro := range slices.Concat(tx.Set, tx.Remove) {
		if ro.Table == "op" || ro.Table == "servers" {
			http.Error(wr, "not yours", http.StatusForbidden)
			return
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isAway {
		http.Error(wr, "away", http.StatusServiceUnavailable)
		return
	}
	isMet := true
	var found []row
	for _, ex := range tx.Expected {
		ro := st.rows[ex.id()]
		if ro.Tombstone {
			ro = row{}
		}
		isMet = isMet && ro.Version == ex.Version
		found = append(found, row{Table: ex.Table, Part: ex.Part, Key: ex.Key, Version: ro.Version, Value: ro.Value})
	}
	if !isMet {
		answer(wr, http.StatusPreconditionFailed, st.body(found, false))
		return
	}
	rows := tx.Set
	for _, ro := range tx.Remove {
		rows = append(rows, row{Table: ro.Table, Part: ro.Part, Key: ro.Key, Tombstone: true})
	}
	st.apply(rows)
	answer(wr, http.StatusOK, st.body(nil, false))
}
