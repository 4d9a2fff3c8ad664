package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client and its answer. A status of 0 means that the connection
// ended without one.
type sent struct {
	id, vm, path, key string
	shardKey          uint64
	at, answeredAt    time.Time
	status            int
	isSigned          bool
}

// recorder collects what was sent, answered, run and held.
type recorder struct {
	start time.Time

	mu      sync.Mutex
	sents   []sent
	runs    []run
	periods []period
	notes   []string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

func (rc *recorder) sent(se sent) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sents = append(rc.sents, se)
}

func (rc *recorder) ran(ru run) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.runs = append(rc.runs, ru)
}

func (rc *recorder) held(pe period) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.periods = append(rc.periods, pe)
}

// note records an event of the scenario.
func (rc *recorder) note(format string, values ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(rc.start).Seconds(), fmt.Sprintf(format, values...))
	rc.notes = append(rc.notes, line)
	fmt.Println(line)
}

func (rc *recorder) seconds(at time.Time) float64 { return at.Sub(rc.start).Seconds() }

// write writes the record. Verdict lines come first.
func (rc *recorder) write(path string, verdict []string) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var sb strings.Builder
	for _, li := range slices.Concat(verdict, []string{"", "events, in seconds from the start:"}, rc.notes) {
		sb.WriteString(li + "\n")
	}
	sb.WriteString("\nranges held: backend, first key, last key, token, from, to\n")
	slices.SortStableFunc(rc.periods, func(le, ri period) int { return le.since.Compare(ri.since) })
	for _, pe := range rc.periods {
		fmt.Fprintf(&sb, "%s %d %d %d %.3f %.3f\n", pe.backend, pe.from, pe.to, pe.token, rc.seconds(pe.since), rc.seconds(pe.until))
	}
	sb.WriteString("\nrun: request, backend, key, at\n")
	for _, ru := range rc.runs {
		fmt.Fprintf(&sb, "%s %s %d %.3f\n", ru.id, ru.backend, ru.key, rc.seconds(ru.at))
	}
	sb.WriteString("\nsent: request, VM, path, key, sent, answered, status\n")
	for _, se := range rc.sents {
		fmt.Fprintf(&sb, "%s %s %s %d %.3f %.3f %d\n", se.id, se.vm, se.path, se.shardKey, rc.seconds(se.at), rc.seconds(se.answeredAt), se.status)
	}
	return os.WriteFile(path, []byte(sb.String()), 0o644)
}
