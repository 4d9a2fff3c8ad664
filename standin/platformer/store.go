// Package platformer is a fake of the users' platform with fault injection: the row
// store with its feed of changes, and backend servers that send heartbeats and
// hold ranges of keys. It implements only the platform's published protocol and
// uses no code of the router.
//
// # Usage
//
//	st := platformer.NewStore()
//	server := httptest.NewServer(st)
//	st.Put("op", "config", content)
//	st.SetFaults(platformer.StoreFaults{Refuse: 503})
//
//	bs := platformer.NewServer("i-1", "booking", "127.0.0.1:9001", control)
//	go bs.Run(ctx)
package platformer

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults that the store injects.
type StoreFaults struct {
	// Refuse, if above 0, is the status with which every call fails without effect.
	Refuse int
	// IsHanging makes every call hang until its client gives up.
	IsHanging bool
	// Delay delays each call.
	Delay time.Duration
	// LoseAnswers is how many of the next transactions are carried out and then
	// have their connection closed without a response.
	LoseAnswers int
	// IsHistoryLost makes the feed respond that it has discarded its history.
	IsHistoryLost bool
}

// Row is the JSON of a row of the store.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Version   uint64 `json:"ver"`
	Value     []byte `json:"value,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rows is the JSON of a response with rows.
type rows struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	// Now is the time since the store's start, in seconds.
	Now float64 `json:"nowS"`
}

// transaction is the JSON body of a transaction.
type transaction struct {
	Expected []Row `json:"expectedRev"`
	Set      []Row `json:"setKeys"`
	Remove   []Row `json:"remove"`
}

// maxValueLength bounds the length of a value in base64.
const maxValueLength = 65536

// pageLength bounds the number of rows in a response to a read.
const pageLength = 500

// Store is the platform's row store in memory. It implements http.Handler and is
// safe for use by several goroutines.
type Store struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	changed chan struct{}
	faults  StoreFaults
	calls   int
	start   time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]Row{}, changed: make(chan struct{}), start: time.Now()}
}

// SetFaults replaces the injected faults.
func (st *Store) SetFaults(fa StoreFaults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.notifyChange()
}

// Calls returns the number of calls received so far.
func (st *Store) Calls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Put writes a row without a condition, as operators do, and returns its version.
func (st *Store) Put(table, key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[rowID(table, key)] = Row{Table: table, Key: key, Version: st.version, Value: value}
	st.notifyChange()
	return st.version
}

// Remove deletes a row without a condition, as operators do.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[rowID(table, key)] = Row{Table: table, Key: key, Version: st.version, Tombstone: true}
	st.notifyChange()
}

// Get returns a row, or false if there is none.
func (st *Store) Get(table, key string) (Row, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ro, ok := st.rows[rowID(table, key)]
	return ro, ok && !ro.Tombstone
}

func rowID(table, key string) string { return table + "\x00" + key }

func (st *Store) notifyChange() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *Store) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	st.mu.Lock()
	st.calls++
	fa := st.faults
	st.mu.Unlock()
	switch {
	case fa.IsHanging:
		<-re.Context().Done()
		return
	case fa.Refuse > 0:
		http.Error(wr, "refused", fa.Refuse)
		return
	}
	time.Sleep(fa.Delay)
	switch re.URL.Path {
	case "/cornellanding/rows-get":
		st.serveGet(wr, re)
	case "/cornellanding/rows-feed":
		st.serveFeed(wr, re)
	case "/cornellanding/rows-tx":
		st.serveTransaction(wr, re)
	default:
		http.NotFound(wr, re)
	}
}

// answer writes rows as of a version. A reader continues from that version, so both must be
// of one moment.
func (st *Store) answer(wr http.ResponseWriter, status int, list []Row, hasMore bool, version uint64) {
	body := rows{Rows: list, HasMore: hasMore, Version: version, Now: time.Since(st.start).Seconds()}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller's connection broke.
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *Store) serveGet(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	list, version := st.list(func(ro Row) bool {
		return ro.Table == qu.Get("table") && !ro.Tombstone && ro.Key >= from && (to == "" || ro.Key < to)
	})
	slices.SortFunc(list, func(le, ri Row) int { return strings.Compare(le.Key, ri.Key) })
	hasMore := len(list) > pageLength
	st.answer(wr, http.StatusOK, list[:min(len(list), pageLength)], hasMore, version)
}

// list returns the matching rows and the version as of which they are current.
func (st *Store) list(matches func(Row) bool) ([]Row, uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []Row{}
	for _, ro := range st.rows {
		if matches(ro) {
			list = append(list, ro)
		}
	}
	return list, st.version
}

func (st *Store) serveFeed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		changed, isHistoryLost := st.changed, st.faults.IsHistoryLost
		st.mu.Unlock()
		if isHistoryLost {
			http.Error(wr, "history is gone", http.StatusGone)
			return
		}
		list, version := st.list(func(ro Row) bool { return ro.Table == qu.Get("table") && ro.Version > after })
		slices.SortFunc(list, func(le, ri Row) int { return int(le.Version) - int(ri.Version) })
		if len(list) > 0 {
			st.answer(wr, http.StatusOK, list, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			st.answer(wr, http.StatusOK, list, false, version)
			return
		case <-re.Context().Done():
			return
		}
	}
}

func (st *Store) serveTransaction(wr http.ResponseWriter, re *http.Request) {
	var tx transaction
	if err := json.NewDecoder(re.Body).Decode(&tx); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	for _, se := range tx.Set {
		if base64.StdEncoding.EncodedLen(len(se.Value)) > maxValueLength {
			http.Error(wr, "a value is too long", http.StatusBadRequest)
			return
		}
	}
	st.mu.Lock()
	found, isSatisfied := st.apply(tx)
	version := st.version
	isLost := isSatisfied && st.faults.LoseAnswers > 0
	if isLost {
		st.faults.LoseAnswers--
	}
	st.mu.Unlock()
	switch {
	case isLost:
		panic(http.ErrAbortHandler)
	case !isSatisfied:
		st.answer(wr, http.StatusPreconditionFailed, found, false, version)
	default:
		st.answer(wr, http.StatusOK, []Row{}, false, version)
	}
}

// apply carries out a transaction if all its conditions hold. Otherwise it returns
// the current rows of the conditions, and false. The lock must be held.
func (st *Store) apply(tx transaction) ([]Row, bool) {
	isSatisfied := true
	var found []Row
	for _, ex := range tx.Expected {
		ro := st.rows[rowID(ex.Table, ex.Key)]
		if ro.Tombstone {
			ro = Row{}
		}
		isSatisfied = isSatisfied && ro.Version == ex.Version
		found = append(found, Row{Table: ex.Table, Key: ex.Key, Version: ro.Version, Value: ro.Value})
	}
	if !isSatisfied {
		return found, false
	}
	st.version++
	for _, se := range tx.Set {
		st.rows[rowID(se.Table, se.Key)] = Row{Table: se.Table, Key: se.Key, Version: st.version, Value: se.Value}
	}
	for _, rm := range tx.Remove {
		st.rows[rowID(rm.Table, rm.Key)] = Row{Table: rm.Table, Key: rm.Key, Version: st.version, Tombstone: true}
	}
	st.notifyChange()
	return nil, true
}
