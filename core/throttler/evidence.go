package throttler

import (
	"math"

	"cornellanding.example/core/timer"
)

const (
	// minBlock is the least length of a block. A block is twice as long as a run, so that
	// most runs end in the block in which their calls do.
	minBlock = 500 * timer.Millisecond
	// blockDecay is the weight that a block keeps when the next one ends: 50 blocks count.
	blockDecay = 0.98
	// Failed calls are a cause of bad runs if they explain minExplained of them, by both
	// measures, known to minDeviations standard errors from at least minBlocks blocks. Below
	// maxUnexplained they are none any more. Errors are estimated from few blocks at first,
	// so smallSample divided by their number raises minDeviations: without it, runs that
	// failed by themselves in the same seconds were throttled for 1 to 3 in 100 requests.
	minExplained   = 0.25
	maxUnexplained = 0.1
	minDeviations  = 4
	minBlocks      = 6
	smallSample    = 8
	// endShare is the part of a run's smoothed latency before its end, and minEnd the
	// least such span, in which the failed call lies if the server ends the run at once.
	endShare = 1.0 / 16
	minEnd   = 5 * timer.Millisecond
)

// perRoute holds a value for each route of calls, by its index.
type perRoute [maxCallRoutes]float64

// evidence says which failed calls make the runs of one route end badly. Two measures must
// agree.
//
// The trend: over blocks of time, as many more runs end badly as more calls fail. Runs that
// end badly for another reason do so in blocks without failed calls too.
//
// The excess: a run that ends badly because of its call has the failed call within its own
// time, beside failed calls of other runs. The same span just before the run has only the
// latter. So the difference of both counts is 1 on average if the calls are the cause, and
// 0 for runs that end badly at the same times for another reason, such as an overload of
// both services, however many calls fail and however long the runs are. Few calls lie by
// chance in a short span before the run's end, so the excess there is known sooner, if the
// server ends a run as soon as its call fails.
type evidence struct {
	block  block
	causes [maxCallRoutes]cause
}

// block sums up the runs that ended in a span of time.
type block struct {
	startedAt timer.Instant
	bad, good float64
	// ofBad and ofGood are the sums of excesses, and failedBefore is the number of failed
	// calls until the block's start by route.
	ofBad, ofGood excess
	failedBefore  perRoute
}

// excess is, by route, how many more failed calls lie within runs, and within spans before
// their ends, than before their starts.
type excess struct{ inRun, atEnd perRoute }

// cause says whether failed calls of a route are a cause of bad runs. Trend relates the bad
// runs to the failed calls of each block, and the others the excesses to the bad runs.
type cause struct {
	trend, inRun, atEnd regression
	isCause             bool
}

// observe records the end of a run. Failed is the number of failed calls so far by route, and
// routes the number of routes. Latency is that of the longer runs.
func (ev *evidence) observe(isBad bool, ex *excess, failed *perRoute, routes int, now timer.Instant, latency timer.Span) {
	bl := &ev.block
	if now.Sub(bl.startedAt) >= max(minBlock, 2*latency) {
		ev.closeBlock(failed, routes)
		*bl = block{startedAt: now, failedBefore: *failed}
	}
	sums := &bl.ofGood
	if isBad {
		bl.bad++
		sums = &bl.ofBad
	} else {
		bl.good++
	}
	for i := range routes {
		sums.inRun[i] += ex.inRun[i]
		sums.atEnd[i] += ex.atEnd[i]
	}
}

// closeBlock adds the block to the evidence. The mean excess of its good runs is
// subtracted, which is not 0 while failures become more or fewer.
func (ev *evidence) closeBlock(failed *perRoute, routes int) {
	bl := &ev.block
	if bl.bad+bl.good == 0 {
		return
	}
	for i := range routes {
		ca := &ev.causes[i]
		ca.trend.add(failed[i]-bl.failedBefore[i], bl.bad)
		if bl.bad > 0 {
			perGood := bl.bad / max(1, bl.good)
			ca.inRun.add(bl.bad, bl.ofBad.inRun[i]-perGood*bl.ofGood.inRun[i])
			ca.atEnd.add(bl.bad, bl.ofBad.atEnd[i]-perGood*bl.ofGood.atEnd[i])
			ca.review()
		}
	}
}

// review decides whether failed calls are a cause of bad runs.
func (ca *cause) review() {
	slope, slopeError := ca.trend.slope()
	inRun, inRunError := ca.inRun.ratio()
	atEnd, atEndError := ca.atEnd.ratio()
	explained := slope * ca.trend.x / ca.trend.y
	isTrend := explained >= minExplained && ca.trend.isCertain(slope, slopeError)
	isExcess := inRun >= minExplained && ca.inRun.isCertain(inRun, inRunError) ||
		atEnd >= minExplained && ca.atEnd.isCertain(atEnd, atEndError)
	switch {
	case isTrend && isExcess:
		ca.isCause = true
	case min(explained, max(inRun, atEnd)) < maxUnexplained:
		ca.isCause = false
	}
}

// dependsOn reports whether runs end badly when calls on the route fail.
func (ev *evidence) dependsOn(i int) bool { return ev.causes[i].isCause }

// regression relates y to x over blocks, by decayed sums. Seen is the number of blocks
// without decay.
type regression struct {
	seen       int
	n, x, y    float64
	xx, xy, yy float64
}

func (re *regression) add(x, y float64) {
	for _, sum := range []*float64{&re.n, &re.x, &re.y, &re.xx, &re.xy, &re.yy} {
		*sum *= blockDecay
	}
	re.seen++
	re.n++
	re.x, re.y = re.x+x, re.y+y
	re.xx, re.xy, re.yy = re.xx+x*x, re.xy+x*y, re.yy+y*y
}

// isCertain reports whether an estimate with a standard error is above 0.
func (re *regression) isCertain(estimate, deviation float64) bool {
	return re.seen >= minBlocks && estimate > minDeviations*(1+smallSample/re.n)*deviation
}

// slope returns by how much y grows with x, and its standard error.
func (re *regression) slope() (slope, deviation float64) {
	xx, xy, yy := re.xx-re.x*re.x/re.n, re.xy-re.x*re.y/re.n, re.yy-re.y*re.y/re.n
	if re.n <= 2 || xx <= 0 {
		return 0, math.Inf(1)
	}
	slope = xy / xx
	return slope, math.Sqrt(max(0, yy-slope*xy) / (re.n - 2) / xx)
}

// ratio returns the sum of y over that of x, and its standard error over blocks.
func (re *regression) ratio() (ratio, deviation float64) {
	if re.n <= 1 || re.x <= 0 {
		return 0, math.Inf(1)
	}
	ratio = re.y / re.x
	residual := re.yy - 2*ratio*re.xy + ratio*ratio*re.xx
	return ratio, math.Sqrt(max(0, residual)*re.n/(re.n-1)) / re.x
}
