package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// arrival is a request that a backend began to run.
type arrival struct {
	backend string
	// ip is the address of the machine whose backend ran the request.
	ip      string
	at      time.Time
	endedAt time.Time
	method  string
	target  string
	host    string
}

// recorder writes record.txt and remembers which requests ran where.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	arrivals map[string][]arrival
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now(), arrivals: map[string][]arrival{}}, nil
}

// line writes one line with the time since the start.
func (rec *recorder) line(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(format, args...)
}

func (rec *recorder) write(format string, args ...any) {
	fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *recorder) arrived(id, backend, ip string, re *http.Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.arrivals[id] = append(rec.arrivals[id], arrival{backend: backend, ip: ip, at: time.Now(), method: re.Method, target: re.RequestURI, host: re.Host})
	rec.write("request %s runs at backend %s: %s %s", id, backend, re.Method, re.RequestURI)
}

func (rec *recorder) ended(id, backend string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	list := rec.arrivals[id]
	for i := range list {
		if list[i].backend == backend && list[i].endedAt.IsZero() {
			list[i].endedAt = time.Now()
		}
	}
	rec.write("request %s ended at backend %s", id, backend)
}

// runs returns the arrivals of a request.
func (rec *recorder) runs(id string) []arrival {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]arrival(nil), rec.arrivals[id]...)
}

// arrivalsAt returns how many requests reached a backend after a time, and when the
// last one did.
func (rec *recorder) arrivalsAt(backend string, after time.Time) (int, time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	count, latest := 0, after
	for _, list := range rec.arrivals {
		for _, ar := range list {
			if ar.backend == backend && ar.at.After(after) {
				count++
				latest = maxTime(latest, ar.at)
			}
		}
	}
	return count, latest
}
