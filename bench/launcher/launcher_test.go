package launcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornellanding.example/bench/launcher"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

func start(t *testing.T, opts ...launcher.Option) *launcher.Deployment {
	t.Helper()
	is := is.New(t)
	if testing.Verbose() {
		lo := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, JSONFormat: true})
		opts = append(opts, launcher.WithLogger(lo))
	}
	de, err := launcher.New(opts...)
	is.NoErr(err)
	t.Cleanup(de.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	is.NoErr(de.AwaitReady(ctx))
	return de
}

func post(t *testing.T, address, path, key, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	re, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	is.NoErr(err)
	re.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(re)
	is.NoErr(err)
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return answer.StatusCode, string(content)
}

func TestOrderThroughEveryEntry(t *testing.T) {
	is := is.New(t)
	de := start(t)
	for _, entry := range de.Entries() {
		status, content := post(t, entry, "/orders/k1", de.Keys["juazeiro"], "one")
		is.Equal(status, http.StatusOK)                  // the order is answered
		is.True(strings.Contains(content, `"key":"k1"`)) // by the owner of the key
	}
}
