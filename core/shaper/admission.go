package shaper

import "cornellanding.example/core/timer"

const (
	// sizeWeight is the weight of a new sample in the mean size of a route's responses.
	sizeWeight = 0.05
	// targetShare is the part of the time to the target that the link may be expected to
	// take. Sizes vary, and with 0.9 in place of 0.7 fewer responses are in time.
	targetShare = 0.7
	// maxRoutes bounds the routes with a mean of their own. Responses of others count
	// as empty.
	maxRoutes = 4096
	// minRetryAfter and maxRetryAfter bound the retry delay advised on a refusal. More
	// than the upper one helps no caller.
	minRetryAfter = 100 * timer.Millisecond
	maxRetryAfter = 2 * timer.Second
)

// FinishFunc returns when a message of the given size in bytes would be completely sent,
// see Shaper.Finish.
type FinishFunc func(bytes int64, now timer.Instant) timer.Instant

// Admission decides which requests may run, by when the link can have sent their
// responses. It is a state machine like Shaper.
type Admission struct {
	// means are the smoothed sizes of responses by route, in bytes.
	means map[string]float64
	// queued and running are the expected sizes of all responses of requests that wait
	// for a slot or run, in bytes.
	queued  int64
	running int64
}

// Reservation is a request's share of the link. The zero value reserves nothing.
type Reservation struct {
	bytes     int64
	isQueued  bool
	isRunning bool
}

// IsHeld reports whether the reservation counts at present.
func (re *Reservation) IsHeld() bool { return re.isQueued || re.isRunning }

// Wish describes a request to Admission or to Shaper.Fits.
type Wish struct {
	Route string
	// TargetAt is by when the response should be sent, or 0. DeadlineAt is when it is of
	// no use any more.
	TargetAt   timer.Instant
	DeadlineAt timer.Instant
}

// NewAdmission returns an Admission without requests.
func NewAdmission() *Admission { return &Admission{means: map[string]float64{}} }

// Arrive reserves the expected response of a request in re, or returns false and the retry
// delay to advise if the response would be sent too late, see latestFinish.
func (ad *Admission) Arrive(re *Reservation, wi Wish, finish FinishFunc, now timer.Instant) (timer.Span, bool) {
	own := int64(ad.means[wi.Route])
	ahead := ad.queued + ad.running
	alone := finish(own, now).Sub(finish(0, now))
	if own >= Bulk && finish(ahead+own, now) > wi.latestFinish(alone, now) {
		return retryAfter(finish(ahead, now), now), false
	}
	*re = Reservation{bytes: own, isQueued: true}
	ad.queued += own
	return 0, true
}

// latestFinish returns by when the link must be expected to have sent the response, of
// which an idle link sends in the span alone. It counts towards the deadline if the
// target can't be met by an idle link either.
func (wi Wish) latestFinish(alone timer.Span, now timer.Instant) timer.Instant {
	by := wi.DeadlineAt
	if wi.TargetAt != 0 && now.Add(alone) <= wi.TargetAt {
		by = min(by, wi.TargetAt)
	}
	usable := timer.Span(targetShare * float64(by.Sub(now)))
	return min(by, now.Add(max(usable, alone)))
}

// retryAfter returns the retry delay to advise if the link has sent all at the given time.
func retryAfter(at, now timer.Instant) timer.Span {
	return min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
}

// Start records that a request gets a slot. It returns false and a retry delay if the link
// has become so busy that the response would be sent after the deadline: the slot would be
// wasted.
func (ad *Admission) Start(re *Reservation, wi Wish, finish FinishFunc, now timer.Instant) (timer.Span, bool) {
	ad.Release(re)
	if re.bytes >= Bulk && finish(ad.running+re.bytes, now) > wi.DeadlineAt {
		return retryAfter(finish(ad.queued+ad.running, now), now), false
	}
	re.isRunning = true
	ad.running += re.bytes
	return 0, true
}

// Release ends a reservation: the request was refused or left, or its response is ready,
// which then counts in the backlog of the link.
func (ad *Admission) Release(re *Reservation) {
	if re.isQueued {
		ad.queued -= re.bytes
	}
	if re.isRunning {
		ad.running -= re.bytes
	}
	re.isQueued, re.isRunning = false, false
}

// Observe records the size of a response in bytes.
func (ad *Admission) Observe(route string, bytes int64) {
	mean, isKnown := ad.means[route]
	switch {
	case isKnown:
		ad.means[route] = mean + sizeWeight*(float64(bytes)-mean)
	case len(ad.means) < maxRoutes:
		ad.means[route] = float64(bytes)
	}
}
