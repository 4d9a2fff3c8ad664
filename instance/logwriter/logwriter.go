// Package logwriter provides a log writer that never blocks.
//
// Lines go into a bounded queue that one goroutine writes out. Lines are dropped and
// counted when the queue is full or the rate is exceeded. The next line that is
// written is preceded by a line with the number of those dropped.
//
// # Usage
//
//	lw, err := logwriter.New(os.Stdout, logwriter.Rate(500))
//	lo := hclog.New(&hclog.LoggerOptions{Output: lw, JSONFormat: true})
//	defer lw.Close()
package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultRate is the default maximum of lines written per second. An instance
	// that handles some 200 requests per second logs two lines for each.
	DefaultRate = 500
	// queueLength is how many lines can be queued, about 2 s at the default rate.
	queueLength = 1024
	// queueBytes bounds the queued lines together. A line repeats what callers send, such
	// as a request ID of 16 KiB.
	queueBytes = 4 << 20
	// closeTimeout bounds how long Close waits for the queue to be written.
	closeTimeout = 200 * time.Millisecond
)

// Option sets one option of New.
type Option func(*Writer)

// Rate sets the maximum of lines written per second, which must be above 0.
func Rate(perSecond int) Option { return func(lw *Writer) { lw.rate = perSecond } }

// Writer is an io.Writer that never blocks. Each call must write one line.
type Writer struct {
	out     io.Writer
	rate    int
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	// queued is the number of bytes in the queue.
	queued atomic.Int64

	mu       sync.Mutex
	isClosed bool
	second   int64
	count    int
}

// New returns a writer to out and starts its goroutine, which Close ends. It returns
// an error if an option is invalid.
func New(out io.Writer, opts ...Option) (*Writer, error) {
	lw := &Writer{out: out, rate: DefaultRate, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	for _, opt := range opts {
		opt(lw)
	}
	if lw.rate < 1 {
		return nil, fmt.Errorf("logwriter: option Rate: %d lines per second, must be above 0", lw.rate)
	}
	go lw.run()
	return lw, nil
}

// Write implements io.Writer. It succeeds even if the line is dropped.
func (lw *Writer) Write(line []byte) (int, error) {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	if lw.isClosed || !lw.isWithinRate(time.Now().Unix()) {
		lw.dropped.Add(1)
		return len(line), nil
	}
	if lw.queued.Load()+int64(len(line)) > queueBytes {
		lw.dropped.Add(1)
		return len(line), nil
	}
	select {
	case lw.lines <- bytes.Clone(line):
		lw.queued.Add(int64(len(line)))
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

func (lw *Writer) isWithinRate(second int64) bool {
	if second != lw.second {
		lw.second, lw.count = second, 0
	}
	lw.count++
	return lw.count <= lw.rate
}

// Dropped returns the number of lines dropped so far. A failed write to the output
// counts as one.
func (lw *Writer) Dropped() uint64 { return lw.dropped.Load() }

// Close stops the writer and waits up to 200 ms for the queued lines to be written.
// It returns nil always.
func (lw *Writer) Close() error {
	lw.mu.Lock()
	if !lw.isClosed {
		lw.isClosed = true
		close(lw.lines)
	}
	lw.mu.Unlock()
	select {
	case <-lw.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (lw *Writer) run() {
	defer close(lw.done)
	reported := uint64(0)
	for line := range lw.lines {
		lw.queued.Add(-int64(len(line)))
		if dropped := lw.dropped.Load(); dropped > reported {
			line = append(fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d,\"total\":%d}\n", dropped-reported, dropped), line...)
			reported = dropped
		}
		if _, err := lw.out.Write(line); err != nil {
			// There is nowhere to report that the log can't be written.
			lw.dropped.Add(1)
		}
	}
}
