package timer

import (
	"context"
	"time"
)

// Sleep waits for du in real time and reports false if ctx ended first. It is for
// adapters only: decision libraries take the current instant as an argument.
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
