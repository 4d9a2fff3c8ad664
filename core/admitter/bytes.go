package admitter

import "cornellanding.example/core/timer"

const (
	// bulkBody is the size in bytes from which the body of a request counts as large.
	bulkBody = 16 << 10
	// minByteBound is the lowest bound, in bytes, and firstByteBound that of a server of
	// which nothing is known.
	minByteBound   = 128 << 10
	firstByteBound = 512 << 10
	// Each success under load raises the bound by its bytes divided by raiseDivisor, or
	// by nearRaiseDivisor from nearCrash of the bytes of the latest crash: there, each
	// step risks another one.
	raiseDivisor     = 8
	nearRaiseDivisor = 256
	nearCrash        = 0.7
	// crashSpan is the time within which the ends of all requests of one crash are seen.
	crashSpan = timer.Second
)

// ByteLimit bounds the bytes of the requests that a backend server holds, by what it has
// sustained so far: its memory is not known, and it crashes when that is exceeded. It is a
// state machine like Gate.
//
// Load: uploads of up to 360 KB on all slots at once, of a mean of 60 KB.
type ByteLimit struct {
	bound float64
	// crashedBytes is what the server held at its latest crash with large bodies, 0
	// before the first.
	crashedBytes float64
	// broken are the connections that broke since brokenAt, of brokenRuns requests with
	// brokenBytes that ran then.
	broken      int
	brokenAt    timer.Instant
	brokenRuns  int
	brokenBytes int64
	// admitted are the bytes of large bodies that wait for a slot or run, and running
	// those that run. runs is the number of all running requests.
	admitted int64
	running  int64
	runs     int
}

// NewByteLimit returns a ByteLimit for a server of which nothing is known.
func NewByteLimit() *ByteLimit { return &ByteLimit{bound: firstByteBound} }

// Bound returns the bound in force, in bytes.
func (bl *ByteLimit) Bound() int64 { return int64(bl.bound) }

// Arrive reports whether a request with a body of the given size may come, and reserves it
// until Leave. Small bodies always may, and a large one if no other is there.
func (bl *ByteLimit) Arrive(bytes int64) bool {
	if bytes < bulkBody {
		return true
	}
	if bl.admitted > 0 && float64(bl.admitted+bytes) > bl.bound {
		return false
	}
	bl.admitted += bytes
	return true
}

// Leave ends what Arrive reserved.
func (bl *ByteLimit) Leave(bytes int64) {
	if bytes >= bulkBody {
		bl.admitted -= bytes
	}
}

// Start records that the server gets a request.
func (bl *ByteLimit) Start(bytes int64) {
	bl.runs++
	if bytes >= bulkBody {
		bl.running += bytes
	}
}

// Succeed records that a request was answered, and raises the bound if the server held a good
// part of it.
func (bl *ByteLimit) Succeed(bytes int64) {
	if bytes >= bulkBody && float64(bl.running) >= bl.bound/2 {
		divisor := float64(raiseDivisor)
		if bl.crashedBytes > 0 && bl.bound >= nearCrash*bl.crashedBytes {
			divisor = nearRaiseDivisor
		}
		bl.bound += float64(bytes) / divisor
	}
	bl.End(bytes)
}

// End records the end of a request that shows neither a success nor a crash.
func (bl *ByteLimit) End(bytes int64) {
	bl.runs--
	if bytes >= bulkBody {
		bl.running -= bytes
	}
}

// Crash records that the connection of a request broke as in a crash of the server. The
// bound is halved once the connections of at least half of the requests broke: a server that
// is merely full resets single ones. Whether the request itself is suspect is left to
// Quarantine: one that crashes servers may have a large body, or run beside others.
func (bl *ByteLimit) Crash(bytes int64, now timer.Instant) {
	defer bl.End(bytes)
	isFurther := bl.broken > 0 && now.Sub(bl.brokenAt) < crashSpan
	if !isFurther && bl.running == 0 {
		return
	}
	if !isFurther {
		bl.broken, bl.brokenAt, bl.brokenRuns, bl.brokenBytes = 0, now, bl.runs, bl.running
	}
	bl.broken++
	if bl.broken == max(min(2, bl.brokenRuns), (bl.brokenRuns+1)/2) {
		bl.crashedBytes = float64(bl.brokenBytes)
		bl.bound = max(minByteBound, min(bl.bound, bl.crashedBytes)/2)
	}
}
