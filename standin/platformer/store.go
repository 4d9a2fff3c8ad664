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
//	st.Restore(time.Now().Add(-4 * time.Second))
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

const (
	// eraHeader tells in all answers how often the store has come back from a copy. It is
	// left out at era 0.
	eraHeader = "Store-Era"
	// operatorTable is written by operators.
	operatorTable = "op"
)

// change is one applied transaction.
type change struct {
	at      time.Time
	version uint64
	rows    []Row
}

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
	// era counts the calls of Restore, above the first era. history holds all changes that
	// the rows result from, oldest first.
	era     uint64
	history []change
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
	return st.write([]Row{{Table: table, Key: key, Value: value}})
}

// Remove deletes a row without a condition, as operators do.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write([]Row{{Table: table, Key: key, Tombstone: true}})
}

// write sets rows at the next version, which it returns. The lock must be held.
func (st *Store) write(list []Row) uint64 {
	st.version++
	for i := range list {
		list[i].Version = st.version
	}
	st.record(change{at: time.Now(), version: st.version, rows: list})
	st.notifyChange()
	return st.version
}

func (st *Store) record(ch change) {
	for _, ro := range ch.rows {
		st.rows[rowID(ro.Table, ro.Key)] = ro
	}
	st.history = append(st.history, ch)
}

// SetEra sets the era of the store, which its answers name unless it is 0.
func (st *Store) SetEra(era uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era = era
}

// Restore makes the store come back from its copy of an instant, in the next era. Later
// writes of the router are gone, and those of operators are written again. The versions in
// between are given out again. It returns the versions before and of the copy.
func (st *Store) Restore(asOf time.Time) (before, copied uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	before = st.version
	former := st.history
	st.rows, st.version, st.history = map[string]Row{}, 0, nil
	kept := 0
	for ; kept < len(former) && !former[kept].at.After(asOf); kept++ {
		st.record(former[kept])
		st.version = former[kept].version
	}
	copied = st.version
	st.era++
	for _, ch := range former[kept:] {
		isRouters := func(ro Row) bool { return ro.Table != operatorTable }
		if byOperators := slices.DeleteFunc(slices.Clone(ch.rows), isRouters); len(byOperators) > 0 {
			st.write(byOperators)
		}
	}
	st.notifyChange()
	return before, copied
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
	setEra(wr, st.era)
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

// moment is the version and the era of the store at which rows are current.
type moment struct {
	version uint64
	era     uint64
}

func setEra(wr http.ResponseWriter, era uint64) {
	if era > 0 {
		wr.Header().Set(eraHeader, strconv.FormatUint(era, 10))
	}
}

// answer writes rows as of a moment. A reader continues from its version, so both must belong
// together.
func (st *Store) answer(wr http.ResponseWriter, status int, list []Row, hasMore bool, at moment) {
	setEra(wr, at.era)
	body := rows{Rows: list, HasMore: hasMore, Version: at.version, Now: time.Since(st.start).Seconds()}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller's connection broke.
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *Store) serveGet(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	list, at := st.list(func(ro Row) bool {
		return ro.Table == qu.Get("table") && !ro.Tombstone && ro.Key >= from && (to == "" || ro.Key < to)
	})
	slices.SortFunc(list, func(le, ri Row) int { return strings.Compare(le.Key, ri.Key) })
	hasMore := len(list) > pageLength
	st.answer(wr, http.StatusOK, list[:min(len(list), pageLength)], hasMore, at)
}

// list returns the matching rows and the moment as of which they are current.
func (st *Store) list(matches func(Row) bool) ([]Row, moment) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []Row{}
	for _, ro := range st.rows {
		if matches(ro) {
			list = append(list, ro)
		}
	}
	return list, moment{version: st.version, era: st.era}
}

func (st *Store) serveFeed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	st.mu.Lock()
	era := st.era
	st.mu.Unlock()
	for {
		st.mu.Lock()
		changed, isHistoryLost := st.changed, st.faults.IsHistoryLost || after > st.version
		isRestored := st.era != era
		st.mu.Unlock()
		if isRestored {
			panic(http.ErrAbortHandler) // its connections broke while the store was away
		}
		if isHistoryLost {
			http.Error(wr, "history is gone", http.StatusGone)
			return
		}
		list, at := st.list(func(ro Row) bool { return ro.Table == qu.Get("table") && ro.Version > after })
		slices.SortFunc(list, func(le, ri Row) int { return int(le.Version) - int(ri.Version) })
		if len(list) > 0 {
			st.answer(wr, http.StatusOK, list, false, at)
			return
		}
		select {
		case <-changed:
		case <-end:
			st.answer(wr, http.StatusOK, list, false, at)
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
	at := moment{version: st.version, era: st.era}
	isLost := isSatisfied && st.faults.LoseAnswers > 0
	if isLost {
		st.faults.LoseAnswers--
	}
	st.mu.Unlock()
	switch {
	case isLost:
		panic(http.ErrAbortHandler)
	case !isSatisfied:
		st.answer(wr, http.StatusPreconditionFailed, found, false, at)
	default:
		st.answer(wr, http.StatusOK, []Row{}, false, at)
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
	var list []Row
	for _, se := range tx.Set {
		list = append(list, Row{Table: se.Table, Key: se.Key, Value: se.Value})
	}
	for _, rm := range tx.Remove {
		list = append(list, Row{Table: rm.Table, Key: rm.Key, Tombstone: true})
	}
	st.write(list)
	return nil, true
}
