package platformer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

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
