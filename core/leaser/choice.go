package leaser

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that could watch another.
type Candidate struct {
	Watcher    WatcherID
	DataCentre string
}

// ChooseWatchers picks up to WatcherCount watchers for the named backend server, in as
// many data centres as possible. Present watchers that are still candidates
// are preferred, then those with the best hash.
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
	watches := make([]WatcherID, 0, len(chosen))
	for _, ca := range chosen {
		watches = append(watches, ca.Watcher)
	}
	slices.SortFunc(watches, compareWatch)
	return watches
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

// nextCandidate returns the best candidate of the data centre that has the
// fewest chosen watchers.
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

func compareWatch(le, ri WatcherID) int {
	switch {
	case le.Incarnation < ri.Incarnation:
		return -1
	case le.Incarnation > ri.Incarnation:
		return 1
	default:
		return 0
	}
}
