package leaser

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that may become a watcher of a lease.
type Candidate struct {
	Watcher    WatcherID
	DataCentre string
}

// ChooseWatchers picks up to WatcherCount watchers for the lease of the named
// backend server's instance, spread over as many data centres as possible. Among
// equally used data centres it prefers present watchers that are still candidates,
// then the candidates with the lowest rendezvous hash of holder and candidate. The
// result is sorted by incarnation.
func ChooseWatchers(holder string, candidates []Candidate, present []WatcherID) []WatcherID {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(le, ri Candidate) int {
		return compareRank(rank(holder, le, present), rank(holder, ri, present))
	})
	var chosen []Candidate
	for len(chosen) < WatcherCount {
		next, ok := nextCandidate(ranked, chosen)
		if !ok {
			break
		}
		chosen = append(chosen, next)
	}
	watchers := make([]WatcherID, 0, len(chosen))
	for _, ca := range chosen {
		watchers = append(watchers, ca.Watcher)
	}
	slices.SortFunc(watchers, compareWatcherID)
	return watchers
}

type rankKey struct {
	isPresent bool
	hash      uint64
}

func rank(holder string, ca Candidate, present []WatcherID) rankKey {
	return rankKey{
		isPresent: slices.Contains(present, ca.Watcher),
		hash:      xxhash.Sum64String(holder + "\x00" + ca.Watcher.BackendServer),
	}
}

func compareRank(le, ri rankKey) int {
	switch {
	case le.isPresent != ri.isPresent && le.isPresent:
		return -1
	case le.isPresent != ri.isPresent:
		return 1
	case le.hash < ri.hash:
		return -1
	case le.hash > ri.hash:
		return 1
	default:
		return 0
	}
}

// nextCandidate returns the highest-ranked remaining candidate of the data centre
// with the fewest chosen watchers, or false if all are chosen.
func nextCandidate(ranked, chosen []Candidate) (Candidate, bool) {
	inCentre := map[string]int{}
	for _, ca := range chosen {
		inCentre[ca.DataCentre]++
	}
	best, found := Candidate{}, false
	for _, ca := range ranked {
		if slices.Contains(chosen, ca) {
			continue
		}
		if !found || inCentre[ca.DataCentre] < inCentre[best.DataCentre] {
			best, found = ca, true
		}
	}
	return best, found
}

func compareWatcherID(le, ri WatcherID) int {
	switch {
	case le.Incarnation < ri.Incarnation:
		return -1
	case le.Incarnation > ri.Incarnation:
		return 1
	default:
		return 0
	}
}
