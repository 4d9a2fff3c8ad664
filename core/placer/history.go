package placer

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ownerHistory computes the owners of partitions under the generations of a map, the
// newest included. The score of a backend server's weight unit does not depend on the
// generation, so scores are computed once for each partition. It is safe for
// concurrent use.
type ownerHistory struct {
	// gens is ordered from the newest.
	gens []Generation
	// ids holds, for each generation's members, a number for the member's backend
	// server. seeds holds units seeds for each number.
	ids   [][]int32
	seeds []uint64
	units int

	mu sync.Mutex
	// owners caches the result of ownersOf by partition.
	owners map[uint32][]int32
}

func newOwnerHistory(ma Map) *ownerHistory {
	oh := &ownerHistory{gens: ma.Generations(), owners: map[uint32][]int32{}}
	numbers := map[string]int32{}
	var names []string
	for _, ge := range oh.gens {
		ids := make([]int32, len(ge.Members))
		for i, me := range ge.Members {
			id, ok := numbers[me.BackendServer]
			if !ok {
				id = int32(len(names))
				numbers[me.BackendServer] = id
				names = append(names, me.BackendServer)
			}
			ids[i] = id
			oh.units = max(oh.units, int(me.halves()+1)/2)
		}
		oh.ids = append(oh.ids, ids)
	}
	for _, name := range names {
		base := xxhash.Sum64String(name)
		for unit := range oh.units {
			oh.seeds = append(oh.seeds, seedOf(base, uint32(unit)))
		}
	}
	return oh
}

// ownersOf returns, for each generation from the newest, the index of the
// partition's owner in its members, or -1 if no member has a weight above 0.
func (oh *ownerHistory) ownersOf(pt uint32) []int32 {
	oh.mu.Lock()
	defer oh.mu.Unlock()
	owners, ok := oh.owners[pt]
	if !ok {
		owners = oh.computeOwners(pt, len(oh.gens))
		oh.owners[pt] = owners
	}
	return owners
}

// computeOwners returns the owners of a partition under the newest count generations,
// in the form of ownersOf.
func (oh *ownerHistory) computeOwners(pt uint32, count int) []int32 {
	// tops holds, for each server and weight in whole units, the highest score of the
	// seeds up to that weight.
	tops := make([]uint64, len(oh.seeds))
	for i, seed := range oh.seeds {
		tops[i] = scoreOf(seed, pt)
		if i%oh.units > 0 {
			tops[i] = max(tops[i], tops[i-1])
		}
	}
	owners := make([]int32, count)
	for i, ge := range oh.gens[:count] {
		winner, top := int32(-1), uint64(0)
		for j := range ge.Members {
			halves := int(ge.Members[j].halves())
			if halves == 0 {
				continue
			}
			first, whole, score := int(oh.ids[i][j])*oh.units, halves/2, uint64(0)
			if whole > 0 {
				score = tops[first+whole-1]
			}
			if halves%2 != 0 {
				score = max(score, halfScore(scoreOf(oh.seeds[first+whole], pt)))
			}
			if winner < 0 || score > top {
				winner, top = int32(j), score
			}
		}
		owners[i] = winner
	}
	return owners
}
