// Package logwriter keeps logging from slowing an instance down.
//
// Lines go into a bounded queue that one goroutine writes out. When the queue is
// full, or more lines come than the rate allows, lines are dropped and counted;
// a line that tells how many were dropped follows within a second.
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
	// DefaultRate is how many lines a second are written at the most: an
	// instance that handles some 200 requests a second logs two for each.
	DefaultRate = 500
	// queueLength is how many lines may wait, some two seconds' worth.
	queueLength = 1024
	// closeTimeout bounds how long Close waits for what is queued.
	closeTimeout = 200 * time.Millisecond
)

// Option sets one option of New.
type Option func(*Writer)

// Rate sets how many lines a second are written at the most.
func Rate(perSecond int) Option { return func(lw *Writer) { lw.rate = perSecond } }

// Writer is an io.Writer that takes one line a call and never blocks.
type Writer struct {
	out     io.Writer
	rate    int
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu       sync.Mutex
	isClosed bool
	second   int64
	count    int
}

// New returns a writer to out and starts its goroutine.
func New(out io.Writer, opts ...Option) (*Writer, error) {
	lw := &Writer{out: out, rate: DefaultRate, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	for _, opt := range opts {
		opt(lw)
	}
	if lw.rate < 1 {
		return nil, fmt.Errorf("logwriter: option Rate: %d is not above 0", lw.rate)
	}
	go lw.run()
	return lw, nil
}

// Write implements io.Writer. It reports success for a dropped line too.
func (lw *Writer) Write(line []byte) (int, error) {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	if lw.isClosed || !lw.isWithinRate(time.Now().Unix()) {
		lw.dropped.Add(1)
		return len(line), nil
	}
	select {
	case lw.lines <- bytes.Clone(line):
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

// Dropped returns how many lines were dropped so far.
func (lw *Writer) Dropped() uint64 { return lw.dropped.Load() }

// Close writes what is queued, for a short while at the most.
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
		if dropped := lw.dropped.Load(); dropped > reported {
			line = append(fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d,\"total\":%d}\n", dropped-reported, dropped), line...)
			reported = dropped
		}
		if _, err := lw.out.Write(line); err != nil {
			// Nobody reads the log: there is nowhere to tell.
			lw.dropped.Add(1)
		}
	}
}
