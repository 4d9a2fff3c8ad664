package freshener

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const limit = 4 * timer.Second

var three = []string{"a", "b", "c"}

func seconds(count float64) timer.Instant { return timer.Instant(count * float64(timer.Second)) }

func TestRead(t *testing.T) {
	is := is.New(t)
	fr := New(three, limit)
	is.Equal(fr.FreshUntil(), timer.Instant(0))
	fr.RecordAttempt("a", seconds(1), true)
	is.Equal(fr.FreshUntil(), seconds(5))
	fr.Merge(Report{HasRead: true, ReadAge: timer.Second}, seconds(3))
	is.Equal(fr.FreshUntil(), seconds(6)) // counted from before the report was sent
	fr.Merge(Report{HasRead: true, ReadAge: 3 * timer.Second}, seconds(4))
	is.Equal(fr.FreshUntil(), seconds(6)) // an older one changes nothing
}

// TestOutage checks that failed attempts of a majority of data centres count as fresh,
// and those of a minority do not.
func TestOutage(t *testing.T) {
	is := is.New(t)
	fr := New(three, limit)
	fr.RecordAttempt("a", seconds(0), true)
	fr.RecordAttempt("a", seconds(10), false)
	is.Equal(fr.FreshUntil(), seconds(4)) // a single data centre may be partitioned from the table
	fr.Merge(Report{Attempts: []byte{unknownAge, unknownAge, 10}}, seconds(10))
	is.Equal(fr.FreshUntil(), seconds(13)) // a majority fails, so the table is down
	is.True(fr.HasContact(seconds(12)))
	is.Equal(fr.HasContact(seconds(14)), false)
	fr.Merge(Report{Attempts: []byte{0}}, seconds(20))
	is.Equal(fr.FreshUntil(), seconds(13)) // attempts for another list of data centres are ignored
}

func TestHalfIsNoMajority(t *testing.T) {
	is := is.New(t)
	fr := New([]string{"a", "b", "c", "d", "e", "f"}, limit)
	for _, centre := range three {
		fr.RecordAttempt(centre, seconds(10), false)
	}
	is.Equal(fr.FreshUntil(), timer.Instant(0)) // half of the data centres may be partitioned from the table
	fr.RecordAttempt("d", seconds(10), false)
	is.Equal(fr.FreshUntil(), seconds(14))
}

// TestReportsNeverGain passes reports along a chain with random delays and checks that
// no receiver considers its knowledge fresh for longer than the sender does.
func TestReportsNeverGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := timer.Instant(0)
		chain := []*Freshener{New(three, limit), New(three, limit), New(three, limit)}
		chain[0].RecordAttempt(rapid.SampledFrom(three).Draw(t, "centre"), 0, rapid.Bool().Draw(t, "isSuccess"))
		chain[0].RecordAttempt(rapid.SampledFrom(three).Draw(t, "centre"), 0, false)
		for i := range 2 {
			sentAfter := now
			now = now.Add(timer.Span(rapid.Int64Range(0, int64(2*timer.Second)).Draw(t, "delay")))
			report := chain[i].Report(now)
			now = now.Add(timer.Span(rapid.Int64Range(0, int64(2*timer.Second)).Draw(t, "delay")))
			chain[i+1].Merge(report, sentAfter)
			if chain[i+1].FreshUntil() > chain[i].FreshUntil() {
				t.Fatalf("hop %d is fresh for longer than its source: %v > %v", i, chain[i+1].FreshUntil(), chain[i].FreshUntil())
			}
		}
	})
}

// TestStrict checks that failed attempts never count as fresh with the option Strict: the
// store may accept a withdrawal while it refuses all instances.
func TestStrict(t *testing.T) {
	is := is.New(t)
	fr := New(three, limit, Strict(true))
	fr.RecordAttempt("a", seconds(0), true)
	for _, centre := range three {
		fr.RecordAttempt(centre, seconds(3), false)
	}
	is.Equal(fr.FreshUntil(), seconds(4))
	fr.RecordAttempt("b", seconds(5), true)
	is.Equal(fr.FreshUntil(), seconds(9))
}

// TestUninformed: a table that is down for the readers is known to be read, and an instance
// that hears of no reader is not informed.
func TestUninformed(t *testing.T) {
	is := is.New(t)
	const span = 1200 * timer.Millisecond
	fr := New(three, limit)
	is.True(fr.IsUninformed(seconds(0), span))
	fr.RecordAttempt("a", seconds(0), true)
	is.True(!fr.IsUninformed(seconds(1), span))
	is.True(fr.IsUninformed(seconds(1.2), span))
	fr.RecordAttempt("a", seconds(1), false)
	is.True(fr.IsUninformed(seconds(1.2), span)) // one data centre may be cut off
	fr.RecordAttempt("b", seconds(1), false)
	is.True(!fr.IsUninformed(seconds(1.2), span)) // a majority tries in vain
	is.True(fr.IsUninformed(seconds(2.2), span))
}
