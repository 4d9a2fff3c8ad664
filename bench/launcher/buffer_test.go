package launcher_test

import (
	"bytes"
	"sync"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bu bytes.Buffer
}

// Write implements io.Writer.
func (sb *syncBuffer) Write(content []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.Write(content)
}

// String returns everything written so far.
func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.String()
}
