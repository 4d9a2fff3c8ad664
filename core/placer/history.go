package placer

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ownerHistory works out who owned partitions under the earlier generations of a map.
// Members keep their scores from one generation to the next, so that these are
// computed once for each partition.
type ownerHistory struct {
	gens []Generation
	// ids numbers the backend servers of each generation's members, and seeds
	// holds maxWeight seeds for each number.
	ids       [][]int32
	seeds     []uint64
	maxWeight int

	mu sync.Mutex
	// owners holds what was worked out, by partition.
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
			oh.maxWeight = max(oh.maxWeight, int(me.Weight))
		}
		oh.ids = append(oh.ids, ids)
	}
	for _, name := range names {
		base := xxhash.Sum64String(name)
		for unit := range oh.maxWeight {
			oh.seeds = append(oh.seeds, seedOf(base, uint32(unit)))
		}
	}
	return oh
}

// ownersOf returns the index of a partition's owner in the members of each
// generation, newest first, or -1 where no member has a weight.
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

// computeOwners finds the owners of a partition under the first count generations.
func (oh *ownerHistory) computeOwners(pt uint32, count int) []int32 {
	// tops holds the best score of the first units of each server's weight.
	tops := make([]uint64, len(oh.seeds))
	for i, seed := range oh.seeds {
		tops[i] = scoreOf(seed, pt)
		if i%oh.maxWeight > 0 {
			tops[i] = max(tops[i], tops[i-1])
		}
	}
	owners := make([]int32, count)
	for i, ge := range oh.gens[:count] {
		winner, top := int32(-1), uint64(0)
		for j := range ge.Members {
			weight := int(ge.Members[j].Weight)
			if weight == 0 {
				continue
			}
			score := tops[int(oh.ids[i][j])*oh.maxWeight+weight-1]
			if winner < 0 || score > top {
				winner, top = int32(j), score
			}
		}
		owners[i] = winner
	}
	return owners
}
