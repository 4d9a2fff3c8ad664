package publisher

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

func TestOutdatedVersions(t *testing.T) {
	is := is.New(t)
	const step = 400 * timer.Millisecond
	vi := &View{}
	is.True(!vi.IsOutdated(1, 0)) // no configuration is known
	at := timer.Instant(0)
	for version := uint64(10); version <= 100; version += 10 {
		vi.ConfigStarts = AddConfigStart(vi.ConfigStarts, ConfigStart{Version: version, At: at})
		at = at.Add(step)
	}
	now := at.Add(-step)
	is.True(len(vi.ConfigStarts) <= 5) // bounded in a series of changes
	is.True(!vi.IsOutdated(100, now.Add(10*timer.Second)))
	is.True(!vi.IsOutdated(80, now)) // 90 has just come in force
	is.True(vi.IsOutdated(79, now.Add(2*OutdatedSpan)))
	is.True(vi.IsOutdated(60, now)) // 70 came in force 1.2 s ago
	is.True(vi.IsOutdated(1, now))
}
