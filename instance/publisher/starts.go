package publisher

import (
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
)

// OutdatedSpan is for how long a gate still takes requests that were decided by an older
// configuration than its own: a change takes less than that to spread.
const OutdatedSpan = timer.Second

const (
	// OutServeSpan is for how long the server of a shared service still gets requests after
	// its VM is out: the other instances learn of it within that time.
	OutServeSpan = 1200 * timer.Millisecond
	// OutKeysSpan is the same for an exclusive service, whose keys no other server takes
	// before a map, and a heartbeat of this one, have moved them.
	OutKeysSpan = 3 * timer.Second
)

// ConfigStart is when a version of the configuration came in force at this instance.
type ConfigStart struct {
	Version uint64
	At      timer.Instant
}

// AddConfigStart returns the starts with a further one. Of those that are older than
// OutdatedSpan at that time only the latest is kept, since it makes all before it outdated.
func AddConfigStart(starts []ConfigStart, last ConfigStart) []ConfigStart {
	for len(starts) > 1 && last.At.Sub(starts[1].At) >= OutdatedSpan {
		starts = starts[1:]
	}
	return append(slices.Clone(starts), last)
}

// IsOutdated reports whether this instance has had a newer configuration than the version for
// OutdatedSpan or longer.
func (vi *View) IsOutdated(version uint64, now timer.Instant) bool {
	for _, cs := range vi.ConfigStarts {
		if cs.Version > version {
			return now.Sub(cs.At) >= OutdatedSpan
		}
	}
	return false
}

// IsOut reports whether this VM has been out for so long that its server gets no requests of
// a service of that class any more.
func (vi *View) IsOut(class cataloguer.ServiceClass, now timer.Instant) bool {
	span := OutServeSpan
	if class == cataloguer.Exclusive {
		span = OutKeysSpan
	}
	return vi.OutSince != 0 && now.Sub(vi.OutSince) >= span
}
