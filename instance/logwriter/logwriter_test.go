package logwriter

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocked is a writer that blocks until free is closed.
type blocked struct{ free chan struct{} }

func (bl blocked) Write(line []byte) (int, error) {
	<-bl.free
	return len(line), nil
}

// TestNeverBlocks guards against an instance that hangs when the reader of its log
// has stopped.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	bl := blocked{free: make(chan struct{})}
	lw, err := New(bl, Rate(1_000_000))
	is.NoErr(err)
	before := time.Now()
	for range 3 * queueLength {
		_, err := lw.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(before) < 5*time.Second)
	is.True(lw.Dropped() >= queueLength)
	is.NoErr(lw.Close()) // returns after closeTimeout
	close(bl.free)
}

// TestQueueIsBoundedInBytes guards against long lines that hold memory while the output is
// blocked.
func TestQueueIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	bl := blocked{free: make(chan struct{})}
	lw, err := New(bl, Rate(1_000_000))
	is.NoErr(err)
	line := make([]byte, 64<<10)
	for range queueLength / 2 {
		_, err := lw.Write(line)
		is.NoErr(err)
	}
	is.True(lw.queued.Load() <= queueBytes)
	is.True(lw.Dropped() >= queueLength/2-queueBytes/uint64(len(line))-1)
	is.NoErr(lw.Close())
	close(bl.free)
}

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (sb *safeBuffer) Write(line []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.Buffer.Write(line)
}

// TestRate writes lines faster than the rate. The excess must be dropped, and the
// number of dropped lines logged.
func TestRate(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	lw, err := New(out, Rate(10))
	is.NoErr(err)
	for i := range 100 {
		fmt.Fprintf(lw, "line %d\n", i)
	}
	time.Sleep(1100 * time.Millisecond)
	fmt.Fprintln(lw, "the last")
	is.NoErr(lw.Close())
	is.True(lw.Dropped() >= 70) // the loop may span two seconds
	is.True(strings.Contains(out.String(), "log lines dropped"))
	is.True(strings.HasSuffix(out.String(), "the last\n"))
	_, err = New(out, Rate(0))
	is.True(err != nil)
}
