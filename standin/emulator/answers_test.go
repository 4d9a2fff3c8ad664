package emulator

import (
	"context"
	"net/http"
	"testing"

	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"github.com/matryer/is"
)

// TestBrokenPlatformAnswers guards against commits and objects that count as stored, and rows and
// objects that count as read, after an answer that is broken.
func TestBrokenPlatformAnswers(t *testing.T) {
	for _, ra := range RawAnswers(`{"rows":[],"version":7}`) {
		t.Run(ra.Name, func(t *testing.T) {
			is := is.New(t)
			rs, err := NewRawServer(ra, func(*http.Request) string { return "" })
			is.NoErr(err)
			defer rs.Close()
			check := func(call func(ta *tabler.Client, st *storer.Client) error) {
				t.Helper()
				ta, err := tabler.NewClient(rs.Address())
				is.NoErr(err)
				st, err := storer.NewClient(rs.Address())
				is.NoErr(err)
				is.Equal(call(ta, st) == nil, ra.IsWhole)
			}
			ctx := context.Background()
			for _, size := range ra.RequestSizes() {
				check(func(ta *tabler.Client, _ *storer.Client) error {
					_, err := ta.Commit(ctx, tabler.Transaction{Writes: []tabler.Write{{Key: "k", Value: make([]byte, size)}}})
					return err
				})
				check(func(_ *tabler.Client, st *storer.Client) error { return st.Put(ctx, "o", make([]byte, size)) })
			}
			check(func(ta *tabler.Client, _ *storer.Client) error {
				_, err := ta.Read(ctx, tabler.Query{Keys: []string{"k"}})
				return err
			})
			check(func(_ *tabler.Client, st *storer.Client) error {
				_, err := st.Get(ctx, "o")
				return err
			})
		})
	}
}
