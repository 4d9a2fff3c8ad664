// Package platformer is a stand-in for the users' platform, with fault switches:
// the store with its rows and its feed, and backend servers that announce
// themselves and hold ranges of keys. It speaks the published protocol and
// nothing else, and knows nothing of the product.
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

// StoreFaults are the fault switches of the store.
type StoreFaults struct {
	// Refuse answers every call with this status, if above 0. Nothing is done.
	Refuse int
	// IsHanging lets every call hang.
	IsHanging bool
	// Delay is added to each answer.
	Delay time.Duration
	// LoseAnswers carries out so many transactions without answering.
	LoseAnswers int
	// IsHistoryLost says that the history of the feed is gone.
	IsHistoryLost bool
}

// Row is a row of the store on the wire.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Version   uint64 `json:"ver"`
	Value     []byte `json:"value,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rows is an answer with rows.
type rows struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"nowS"`
}

// transaction is the body of a write.
type transaction struct {
	Expected []Row `json:"expectedRev"`
	Set      []Row `json:"setKeys"`
	Remove   []Row `json:"remove"`
}

// maxValue is how long a value may be in base64.
const maxValue = 65536

// pageLength is how many rows an answer holds at the most.
const pageLength = 500

// Store is the platform's store. It implements http.Handler.
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

// SetFaults replaces the fault switches.
func (st *Store) SetFaults(fa StoreFaults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.wake()
}

// Calls returns how many calls came in.
func (st *Store) Calls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Put writes a row as operators do, without a condition.
func (st *Store) Put(table, key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[name(table, key)] = Row{Table: table, Key: key, Version: st.version, Value: value}
	st.wake()
	return st.version
}

// Remove drops a row as operators do.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[name(table, key)] = Row{Table: table, Key: key, Version: st.version, Tombstone: true}
	st.wake()
}

// Get returns a row, or false if there is none.
func (st *Store) Get(table, key string) (Row, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ro, ok := st.rows[name(table, key)]
	return ro, ok && !ro.Tombstone
}

func name(table, key string) string { return table + "\x00" + key }

func (st *Store) wake() {
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

func (st *Store) answer(wr http.ResponseWriter, status int, list []Row, hasMore bool) {
	st.mu.Lock()
	body := rows{Rows: list, HasMore: hasMore, Version: st.version, Now: time.Since(st.start).Seconds()}
	st.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write is the caller's broken connection.
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *Store) serveGet(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	list := st.list(func(ro Row) bool {
		return ro.Table == qu.Get("table") && !ro.Tombstone && ro.Key >= from && (to == "" || ro.Key < to)
	})
	slices.SortFunc(list, func(le, ri Row) int { return strings.Compare(le.Key, ri.Key) })
	hasMore := len(list) > pageLength
	st.answer(wr, http.StatusOK, list[:min(len(list), pageLength)], hasMore)
}

func (st *Store) list(isAsked func(Row) bool) []Row {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []Row{}
	for _, ro := range st.rows {
		if isAsked(ro) {
			list = append(list, ro)
		}
	}
	return list
}

func (st *Store) serveFeed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		changed, isForgetful := st.changed, st.faults.IsHistoryLost
		st.mu.Unlock()
		if isForgetful {
			http.Error(wr, "history is gone", http.StatusGone)
			return
		}
		list := st.list(func(ro Row) bool { return ro.Table == qu.Get("table") && ro.Version > after })
		slices.SortFunc(list, func(le, ri Row) int { return int(le.Version) - int(ri.Version) })
		if len(list) > 0 {
			st.answer(wr, http.StatusOK, list, false)
			return
		}
		select {
		case <-changed:
		case <-end:
			st.answer(wr, http.StatusOK, list, false)
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
		if base64.StdEncoding.EncodedLen(len(se.Value)) > maxValue {
			http.Error(wr, "a value is too long", http.StatusBadRequest)
			return
		}
	}
	st.mu.Lock()
	found, isHeld := st.apply(tx)
	isLost := isHeld && st.faults.LoseAnswers > 0
	if isLost {
		st.faults.LoseAnswers--
	}
	st.mu.Unlock()
	switch {
	case isLost:
		panic(http.ErrAbortHandler)
	case !isHeld:
		st.answer(wr, http.StatusPreconditionFailed, found, false)
	default:
		st.answer(wr, http.StatusOK, []Row{}, false)
	}
}

// apply carries out a transaction if all its conditions hold. Otherwise it
// returns the rows that they name. The lock must be held.
func (st *Store) apply(tx transaction) ([]Row, bool) {
	isHeld := true
	var found []Row
	for _, ex := range tx.Expected {
		ro := st.rows[name(ex.Table, ex.Key)]
		if ro.Tombstone {
			ro = Row{}
		}
		isHeld = isHeld && ro.Version == ex.Version
		found = append(found, Row{Table: ex.Table, Key: ex.Key, Version: ro.Version, Value: ro.Value})
	}
	if !isHeld {
		return found, false
	}
	st.version++
	for _, se := range tx.Set {
		st.rows[name(se.Table, se.Key)] = Row{Table: se.Table, Key: se.Key, Version: st.version, Value: se.Value}
	}
	for _, rm := range tx.Remove {
		st.rows[name(rm.Table, rm.Key)] = Row{Table: rm.Table, Key: rm.Key, Version: st.version, Tombstone: true}
	}
	st.wake()
	return nil, true
}
