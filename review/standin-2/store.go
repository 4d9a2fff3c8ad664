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

// storedRow is a row as the platform's store sends it.
type storedRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Version   uint64 `json:"ver"`
	Value     []byte `json:"value,omitempty"`
	Tombstone bool   `json:"-"`
}

// store is the platform's row store in memory, without faults. A call takes as long as the
// site file says.
type store struct {
	mu      sync.Mutex
	rows    map[string]storedRow
	version uint64
	changed chan struct{}
	start   time.Time
}

const (
	storeDelay = 4 * time.Millisecond
	pageLength = 500
)

func newStore() *store {
	return &store{rows: map[string]storedRow{}, changed: make(chan struct{}), start: time.Now()}
}

func rowID(ro storedRow) string { return ro.Table + "\x00" + ro.Part + "\x00" + ro.Key }

// put writes a row of the operator. Its return is the acknowledgement.
func (st *store) put(table, key string, value []byte) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.set(storedRow{Table: table, Key: key, Value: value})
	return time.Now()
}

// drop removes a row of the operator.
func (st *store) drop(table, key string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.set(storedRow{Table: table, Key: key, Tombstone: true})
	return time.Now()
}

// set writes a row at the next version. The lock must be held.
func (st *store) set(ro storedRow) {
	st.version++
	ro.Version = st.version
	st.rows[rowID(ro)] = ro
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	time.Sleep(storeDelay)
	switch re.Method + " " + re.URL.Path {
	case "GET " + wire("root") + wire("get"):
		st.get(wr, re)
	case "GET " + wire("root") + wire("feed"):
		st.feed(wr, re)
	case "POST " + wire("root") + wire("tx"):
		st.transact(wr, re)
	default:
		http.NotFound(wr, re)
	}
}

func (st *store) answer(wr http.ResponseWriter, status int, rows []storedRow, hasMore bool, version uint64) {
	list := []map[string]any{}
	for _, ro := range rows {
		row := map[string]any{"table": ro.Table, "part": ro.Part, "key": ro.Key, "ver": ro.Version}
		if ro.Tombstone {
			row[wire("dropped")] = true
		} else {
			row["value"] = ro.Value
		}
		list = append(list, row)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(map[string]any{
		"rows": list, "hasMore": hasMore, "ver": version, "nowS": time.Since(st.start).Seconds(),
	})
}

func (st *store) list(matches func(storedRow) bool) ([]storedRow, uint64, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := []storedRow{}
	for _, ro := range st.rows {
		if matches(ro) {
			rows = append(rows, ro)
		}
	}
	return rows, st.version, st.changed
}

func (st *store) get(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	from, to := qu.Get("from"), qu.Get("to")
	rows, version, _ := st.list(func(ro storedRow) bool {
		return ro.Table == qu.Get("table") && ro.Part == qu.Get("part") && !ro.Tombstone && ro.Key >= from && (to == "" || ro.Key < to)
	})
	slices.SortFunc(rows, func(le, ri storedRow) int { return strings.Compare(le.Key, ri.Key) })
	limit := pageLength
	if asked, err := strconv.Atoi(qu.Get("limit")); err == nil {
		limit = min(limit, asked)
	}
	st.answer(wr, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit, version)
}

func (st *store) feed(wr http.ResponseWriter, re *http.Request) {
	qu := re.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := st.list(func(ro storedRow) bool { return ro.Table == qu.Get("table") && ro.Version > after })
		slices.SortFunc(rows, func(le, ri storedRow) int { return int(le.Version) - int(ri.Version) })
		if len(rows) > 0 {
			st.answer(wr, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			st.answer(wr, http.StatusOK, rows, false, version)
			return
		case <-re.Context().Done():
			return
		}
	}
}

func (st *store) transact(wr http.ResponseWriter, re *http.Request) {
	var tx map[string][]storedRow
	if err := json.NewDecoder(re.Body).Decode(&tx); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	conditions, writes, removals := tx[wire("conditions")], tx[wire("writes")], tx[wire("removals")]
	for _, ro := range slices.Concat(writes, removals) {
		if ro.Table == "op" || ro.Table == "servers" {
			http.Error(wr, "not yours", http.StatusForbidden)
			return
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var found []storedRow
	holds := true
	for _, ex := range conditions {
		ro := st.rows[rowID(ex)]
		if ro.Tombstone {
			ro = storedRow{}
		}
		holds = holds && ro.Version == ex.Version
		found = append(found, storedRow{Table: ex.Table, Part: ex.Part, Key: ex.Key, Version: ro.Version, Value: ro.Value})
	}
	if !holds {
		st.answer(wr, http.StatusPreconditionFailed, found, false, st.version)
		return
	}
	st.version++
	for _, ro := range writes {
		ro.Version = st.version
		st.rows[rowID(ro)] = ro
	}
	for _, ro := range removals {
		st.rows[rowID(ro)] = storedRow{Table: ro.Table, Part: ro.Part, Key: ro.Key, Version: st.version, Tombstone: true}
	}
	close(st.changed)
	st.changed = make(chan struct{})
	st.answer(wr, http.StatusOK, []storedRow{}, false, st.version)
}
