package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store. The parts are not used: the router keeps all
// its rows in the empty part.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
	Value   []byte `json:"value,omitempty"`
}

type storeAnswer struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"nowS"`
}

// transaction changes rows if others have the expected versions. The router removes none.
type transaction struct {
	Expected []row
	Set      []row
}

// pageLength bounds the rows in one answer, and callTime is how long an undisturbed call
// takes.
const (
	pageLength = 500
	callTime   = 4 * time.Millisecond
)

// store is the platform's row store in memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), start: time.Now()}
}

func rowID(table, key string) string { return table + "\x00" + key }

// put writes a row as the operator does, and returns its version.
func (st *store) put(table, key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[rowID(table, key)] = row{Table: table, Key: key, Version: st.version, Value: value}
	st.notify()
	return st.version
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	time.Sleep(callTime)
	switch re.URL.Path {
	case names["pathGet"]:
		st.serveGet(wr, re)
	case names["pathFeed"]:
		st.serveFeed(wr, re)
	case names["pathTransaction"]:
		st.serveTransaction(wr, re)
	default:
		http.NotFound(wr, re)
	}
}

func (st *store) answer(wr http.ResponseWriter, status int, list []row, hasMore bool, version uint64) {
	if list == nil {
		list = []row{}
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller's connection broke.
	_ = json.NewEncoder(wr).Encode(storeAnswer{Rows: list, HasMore: hasMore, Version: version, Now: time.Since(st.start).Seconds()})
}

func (st *store) list(matches func(row) bool) ([]row, uint64, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []row
	for _, ro := range st.rows {
		if matches(ro) {
			list = append(list, ro)
		}
	}
	return list, st.version, st.changed
}

func (st *store) serveGet(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	list, version, _ := st.list(func(ro row) bool {
		return ro.Table == qu.Get("table") && ro.Key >= from && (to == "" || ro.Key < to)
	})
	slices.SortFunc(list, func(le, ri row) int { return strings.Compare(le.Key, ri.Key) })
	st.answer(wr, http.StatusOK, list[:min(len(list), pageLength)], len(list) > pageLength, version)
}

func (st *store) serveFeed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		list, version, changed := st.list(func(ro row) bool { return ro.Table == qu.Get("table") && ro.Version > after })
		if len(list) > 0 {
			slices.SortFunc(list, func(le, ri row) int { return int(le.Version) - int(ri.Version) })
			st.answer(wr, http.StatusOK, list, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			st.answer(wr, http.StatusOK, nil, false, version)
			return
		case <-re.Context().Done():
			return
		}
	}
}

func (st *store) serveTransaction(wr http.ResponseWriter, re *http.Request) {
	var (
		body map[string]json.RawMessage
		tx   transaction
	)
	err := json.NewDecoder(re.Body).Decode(&body)
	if err == nil {
		err = errors.Join(json.Unmarshal(body[names["conditionsField"]], &tx.Expected), json.Unmarshal(body[names["changesField"]], &tx.Set))
	}
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	found, version, isApplied := st.apply(tx)
	if !isApplied {
		st.answer(wr, http.StatusPreconditionFailed, found, false, version)
		return
	}
	st.answer(wr, http.StatusOK, nil, false, version)
}

func (st *store) apply(tx transaction) ([]row, uint64, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var found []row
	isSatisfied := true
	for _, ex := range tx.Expected {
		ro := st.rows[rowID(ex.Table, ex.Key)]
		isSatisfied = isSatisfied && ro.Version == ex.Version
		found = append(found, row{Table: ex.Table, Key: ex.Key, Version: ro.Version, Value: ro.Value})
	}
	if !isSatisfied {
		return found, st.version, false
	}
	st.version++
	for _, se := range tx.Set {
		st.rows[rowID(se.Table, se.Key)] = row{Table: se.Table, Key: se.Key, Version: st.version, Value: se.Value}
	}
	st.notify()
	return nil, st.version, true
}
