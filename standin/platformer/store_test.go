package platformer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// get sends a call to the store.
func get(st *Store, method, path, body string) rows {
	rec := httptest.NewRecorder()
	st.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	var answer rows
	if err := json.Unmarshal(rec.Body.Bytes(), &answer); err != nil {
		panic(err)
	}
	return answer
}

// TestFeedSkipsNoChange guards against an answer whose version is newer than its rows: a
// reader that continues from there never hears of what was written in between.
func TestFeedSkipsNoChange(t *testing.T) {
	const (
		changes = 3000
		readers = 4
	)
	st := NewStore()
	var wg sync.WaitGroup
	for range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			after, seen := uint64(0), 0
			for after < changes {
				answer := get(st, http.MethodGet, fmt.Sprintf("/cornellanding/rows-feed?table=op&after=%d&waitMs=1", after), "")
				seen += len(answer.Rows)
				after = answer.Version
			}
			if seen != changes {
				t.Errorf("the feed sent %d of %d changes", seen, changes)
			}
		}()
	}
	for i := range changes {
		st.Put("op", fmt.Sprint(i), nil)
	}
	wg.Wait()
}

// TestTransactionAnswersWithItsVersion guards against an answer with the version of another
// transaction: the writer would take it for that of its rows.
func TestTransactionAnswersWithItsVersion(t *testing.T) {
	is := is.New(t)
	st := NewStore()
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		versions = map[uint64]bool{}
	)
	const writers, writes = 4, 500
	for wr := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range writes {
				answer := get(st, http.MethodPost, "/cornellanding/rows-tx", fmt.Sprintf(`{"setKeys":[{"table":"t","key":"%d-%d","value":""}]}`, wr, i))
				mu.Lock()
				versions[answer.Version] = true
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	is.Equal(len(versions), writers*writes)
}

// TestRestore checks that a store that comes back from a copy has lost the router's later
// writes, keeps those of operators, gives versions out again and names the next era.
func TestRestore(t *testing.T) {
	is := is.New(t)
	st := NewStore()
	st.SetEra(1)
	server := httptest.NewServer(st)
	defer server.Close()
	commit := func(key string) {
		get(st, http.MethodPost, "/cornellanding/rows-tx", fmt.Sprintf(`{"setKeys":[{"table":"cornellanding","key":%q,"value":"eA=="}]}`, key))
	}
	commit("kept")
	st.Put("op", "config", []byte("1"))
	asOf := time.Now()
	time.Sleep(2 * time.Millisecond)
	commit("lost")
	st.Put("op", "config", []byte("2"))
	st.Remove("op", "evacuate/a")
	before, copied := st.Restore(asOf)
	is.Equal(before, uint64(5))
	is.Equal(copied, uint64(2))
	_, isKept := st.Get("cornellanding", "kept")
	_, isLost := st.Get("cornellanding", "lost")
	config, _ := st.Get("op", "config")
	is.True(isKept && !isLost)
	is.Equal(string(config.Value), "2")
	is.Equal(config.Version, uint64(3)) // given out before to the row that is lost
	an, err := http.Get(server.URL + "/cornellanding/rows-get?table=op&part=")
	is.NoErr(err)
	an.Body.Close()
	is.Equal(an.Header.Get("Store-Era"), "2")
	an, err = http.Get(server.URL + "/cornellanding/rows-feed?table=op&after=5&waitMs=0")
	is.NoErr(err)
	an.Body.Close()
	is.Equal(an.StatusCode, http.StatusGone)
}
