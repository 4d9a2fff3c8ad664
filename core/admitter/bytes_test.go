package admitter

import (
	"math"
	"math/rand/v2"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// uploads plays 60 s of uploads to a server of 13 slots that crashes when it holds more than
// its memory and is away for 2 s then. It returns the crashes and the uploads that ended well.
func uploads(bl *ByteLimit, memory int64, perSecond float64) (crashes, served int) {
	type run struct {
		bytes int64
		endAt timer.Instant
	}
	source := rand.New(rand.NewPCG(1, 2))
	var runs []run
	awayUntil := timer.Instant(0)
	held := func() (sum int64) {
		for _, ru := range runs {
			sum += ru.bytes
		}
		return sum
	}
	for now := timer.Instant(timer.Second); now < timer.Instant(61*timer.Second); now = now.Add(timer.Millisecond) {
		left := runs[:0]
		for _, ru := range runs {
			if now.Before(ru.endAt) {
				left = append(left, ru)
				continue
			}
			served++
			if bl != nil {
				bl.Succeed(ru.bytes)
				bl.Leave(ru.bytes)
			}
		}
		runs = left
		if source.Float64() >= perSecond/1000 || now.Before(awayUntil) || len(runs) == 13 {
			continue
		}
		bytes := int64(min(360_000, max(16_384, 60_000*math.Exp(0.8*source.NormFloat64()-0.32))))
		if bl != nil && !bl.Arrive(bytes) {
			continue
		}
		if bl != nil {
			bl.Start(bytes)
		}
		runs = append(runs, run{bytes: bytes, endAt: now.Add(270 * timer.Millisecond)})
		if held() <= memory {
			continue
		}
		crashes++
		awayUntil = now.Add(2 * timer.Second)
		for _, ru := range runs {
			if bl != nil {
				bl.Crash(ru.bytes, now)
				bl.Leave(ru.bytes)
			}
		}
		runs = nil
	}
	return crashes, served
}

// TestByteLimitFindsTheMemory guards against a server that crashes again and again under large
// bodies, and against a bound that stays so low that the server is idle.
func TestByteLimitFindsTheMemory(t *testing.T) {
	is := is.New(t)
	for _, memory := range []int64{600_000, 1_000_000, 10_000_000} {
		before, servedBefore := uploads(nil, memory, 60)
		bl := NewByteLimit()
		after, served := uploads(bl, memory, 60)
		t.Logf("memory %d: crashes %d -> %d, served %d -> %d, bound %d", memory, before, after, servedBefore, served, bl.Bound())
		is.True(after <= max(3, before/4))
		is.True(served >= servedBefore*9/10)
	}
}

// TestByteLimitCrashes checks which crashes lower the bound: those with large bodies, once for
// all connections that break. Which requests are suspect is Quarantine's account, see
// TestUploadThatCrashes of package gatekeeper.
func TestByteLimitCrashes(t *testing.T) {
	is := is.New(t)
	bl := NewByteLimit()
	now := timer.Instant(timer.Second)
	for range 3 {
		is.True(bl.Arrive(100 << 10))
		bl.Start(100 << 10)
	}
	is.Equal(bl.Arrive(400<<10), false)
	is.True(bl.Arrive(1000)) // small
	bl.Start(1000)
	for _, bytes := range []int64{1000, 100 << 10, 100 << 10, 100 << 10} {
		bl.Crash(bytes, now)
	}
	is.Equal(bl.Bound(), int64(150<<10))
	for range 3 {
		bl.Leave(100 << 10)
	}
	now = now.Add(10 * timer.Second)
	is.True(bl.Arrive(1 << 20)) // alone, beyond the bound
	bl.Start(1 << 20)
	bl.Crash(1<<20, now)
	is.Equal(bl.Bound(), int64(minByteBound))
	bl.Leave(1 << 20)
	now = now.Add(10 * timer.Second)
	bl.Start(1000)
	bl.Start(1000)
	bl.Crash(1000, now) // no large bodies
	bl.End(1000)
	is.Equal([]int64{bl.Bound(), bl.admitted, bl.running, int64(bl.runs)}, []int64{minByteBound, 0, 0, 0})
}

// TestFullServerKeepsItsBound guards against a bound that falls because a full server resets
// single connections.
func TestFullServerKeepsItsBound(t *testing.T) {
	is := is.New(t)
	bl := NewByteLimit()
	for range 5 {
		bl.Start(100 << 10)
	}
	bl.Crash(100<<10, timer.Instant(timer.Second))
	bl.Crash(100<<10, timer.Instant(3*timer.Second))
	is.Equal(bl.Bound(), int64(firstByteBound))
}
