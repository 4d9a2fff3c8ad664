package administrator

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// TestBrokenAnswersToOperators guards against changes that count as made after an answer that is
// broken.
func TestBrokenAnswersToOperators(t *testing.T) {
	for _, ra := range emulator.RawAnswers(`{"version":7}`) {
		t.Run(ra.Name, func(t *testing.T) {
			is := is.New(t)
			rs, err := emulator.NewRawServer(ra, func(*http.Request) string { return "Connection: close\r\n" })
			is.NoErr(err)
			defer rs.Close()
			for _, size := range ra.RequestSizes() {
				err := NewClient(rs.Address(), "key").Forget(context.Background(), WireForget{BackendServer: strings.Repeat("x", size)})
				is.Equal(err == nil, ra.IsWhole)
			}
		})
	}
}
