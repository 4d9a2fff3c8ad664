package router

import (
	"sync"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/shaper"
	"cornellanding.example/core/timer"
)

const (
	// socketBufferSpan is the size of a connection's kernel buffers, as time at the rate of
	// the link. By default, the kernel buffers up to 4 MiB for a reader that has stopped:
	// at 18 Mbit/s, others waited 6 s for the turn of three such readers.
	socketBufferSpan = 100 * time.Millisecond
	// maxSocketBuffer is the size from which the kernel's default is kept: a link that fast
	// needs a large buffer.
	maxSocketBuffer = 1 << 20
)

// link drives the shaper of one direction of the VM's link. It is safe for concurrent use.
type link struct {
	clock timer.Clock
	// socketBuffer is the size in bytes of each of the kernel's buffers of a connection, or
	// 0 for its default.
	socketBuffer int

	mu sync.Mutex
	sh *shaper.Shaper
	// turns receive the grants of the messages that wait or are written.
	turns map[shaper.Ticket]chan int64
	// alarm calls advance at alarmAt, 0 if it is not set.
	alarm   *time.Timer
	alarmAt timer.Instant
	// sent and received are the bytes on all connections that were wrapped.
	sent     int64
	received int64
}

// newLink returns the outbound link with a rate in bytes a second, or nil for a rate of 0:
// then nothing is shaped.
func newLink(rate float64, clock timer.Clock) (*link, error) {
	return makeLink(rate, clock, shaper.New)
}

// newInlet returns the inbound link, for bodies of requests, or nil for a rate of 0.
func newInlet(rate float64, clock timer.Clock) (*link, error) {
	return makeLink(rate, clock, shaper.NewInlet)
}

func makeLink(rate float64, clock timer.Clock, newShaper func(rate float64) (*shaper.Shaper, error)) (*link, error) {
	if rate == 0 {
		return nil, nil
	}
	sh, err := newShaper(rate)
	if err != nil {
		return nil, err
	}
	li := &link{clock: clock, sh: sh, turns: map[shaper.Ticket]chan int64{}}
	if buffer := int(rate * socketBufferSpan.Seconds()); buffer < maxSocketBuffer {
		li.socketBuffer = buffer
	}
	return li, nil
}

// countSent records bytes that were sent without waiting.
func (li *link) countSent(bytes int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.sent += int64(bytes)
	li.sh.Count(int64(bytes), li.clock.Now())
}

func (li *link) countReceived(bytes int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.received += int64(bytes)
}

// arrive queues a bulk message. Its grants, in bytes, come on the channel.
func (li *link) arrive(size int64, priority cataloguer.Priority) (shaper.Ticket, <-chan int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ticket := li.sh.Arrive(size, priority, li.clock.Now())
	// A message has at most one grant at a time.
	turns := make(chan int64, 1)
	li.turns[ticket] = turns
	li.advance()
	return ticket, turns
}

// written records the bytes written of the latest grant.
func (li *link) written(ticket shaper.Ticket, bytes int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.sent += bytes
	li.sh.Written(ticket, li.clock.Now())
	li.advance()
}

// leave ends a message, whether or not it has been written completely.
func (li *link) leave(ticket shaper.Ticket) {
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.turns, ticket)
	li.sh.Leave(ticket)
	li.advance()
}

// advance hands out the grants that are due and sets the alarm for the next ones. The
// lock must be held.
func (li *link) advance() {
	grants, nextAt := li.sh.Start(li.clock.Now())
	for _, gr := range grants {
		li.turns[gr.Ticket] <- gr.Bytes
	}
	if nextAt == 0 || nextAt == li.alarmAt {
		return
	}
	li.alarmAt = nextAt
	span := nextAt.Sub(li.clock.Now()).Duration()
	if li.alarm == nil {
		li.alarm = time.AfterFunc(span, li.onAlarm)
		return
	}
	li.alarm.Reset(span)
}

func (li *link) onAlarm() {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.alarmAt = 0
	li.advance()
}

// Finish implements gatekeeper.Link.
func (li *link) Finish(bytes int64, now timer.Instant) timer.Instant {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.sh.Finish(bytes, now)
}

// fits reports whether a bulk message would be sent in time, or else returns the retry delay
// to advise.
func (li *link) fits(size int64, wi shaper.Wish, now timer.Instant) (timer.Span, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.sh.Fits(size, wi, now)
}

// traffic returns the bytes sent and received so far, and those of bulk messages that
// wait.
func (li *link) traffic() (sent, received, backlog int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.sent, li.received, li.sh.Backlog()
}
