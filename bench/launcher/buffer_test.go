package launcher_test

import (
	"bytes"
	"sync"
)

// syncBuffer is a buffer that several goroutines may write to.
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

// String returns what was written.
func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.String()
}
