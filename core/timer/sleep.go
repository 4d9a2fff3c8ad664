package timer

import (
	"context"
	"time"
)

// Sleep waits in real time, for adapters only. It reports false if ctx ends
// before.
func Sleep(ctx context.Context, du time.Duration) bool {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
