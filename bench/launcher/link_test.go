package launcher_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cornellanding.example/bench/launcher"
	"cornellanding.example/instance/administrator"
	"github.com/matryer/is"
)

// TestBulkBesideConfiguration guards against large requests and responses, of three times what
// the owner's link can take, that are lost, late, run twice or hold up the configuration or
// small requests. The backend server repeats the body in its response.
func TestBulkBesideConfiguration(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		loadOwner(t, func(de *launcher.Deployment, owner *launcher.VM) string { return vmElsewhere(de, owner).CallerAddress })
	})
	t.Run("responses", func(t *testing.T) {
		loadOwner(t, func(_ *launcher.Deployment, owner *launcher.VM) string { return owner.CallerAddress })
	})
}

func loadOwner(t *testing.T, entryOf func(de *launcher.Deployment, owner *launcher.VM) string) {
	is := is.New(t)
	const linkRate, size, span = 18e6 / 8, 90_000, 4 * time.Second
	de := startDeployment(t, launcher.WithLinkRate(linkRate))
	owner := ownerOf(t, de)
	entry := entryOf(de, owner)
	body := strings.Repeat("x", size)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			wg.Go(func() {
				an, err := tryOrder(entry, de.Keys["juazeiro"], body)
				outcome := "broken"
				switch {
				case err == nil && an.status == http.StatusOK:
					outcome = "answered"
				case err == nil && strings.Contains(an.body, "linkFull") && strings.Contains(an.body, `"outcome":"notRun"`):
					outcome = "linkFull"
				case err == nil:
					outcome = an.body
				}
				mu.Lock()
				defer mu.Unlock()
				counts[outcome]++
			})
			time.Sleep(12 * time.Millisecond)
		}
	})
	time.Sleep(span / 4)
	editedAt := time.Now()
	is.NoErr(de.Edit(ctx, administrator.KeyGrant{Workspace: "olinda", Digest: sha256.Sum256([]byte("fresh key"))}))
	eventually(t, "the new key at the busy owner", func() bool {
		an, err := tryOrder(owner.CallerAddress, "fresh key", "small")
		return err == nil && an.status == http.StatusOK
	})
	inForce := time.Since(editedAt)
	wg.Wait()
	t.Logf("configuration in force after %v; requests: %v", inForce, counts)
	is.True(inForce < 2500*time.Millisecond)
	is.True(counts["answered"] >= int(0.4*linkRate*span.Seconds()/size))
	is.True(counts["linkFull"] > 0)
	is.Equal(len(counts), 2)
	checkInvariants(t, de, nil)
}
