package placer

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Table is a map with the owner of each partition worked out. It is immutable
// and safe for use by several goroutines.
type Table struct {
	Map    Map
	seeds  []memberSeeds
	owners []int32
	// earlier is worked out on first use.
	earlier     *lineage
	earlierOnce sync.Once
}

// memberSeeds holds one seed for each unit of a member's weight. The best of
// n independent scores wins with a probability proportional to n.
type memberSeeds struct {
	seeds []uint64
}

// NewTable works out the owners of ma.
func NewTable(ma Map) *Table {
	tb := &Table{Map: ma, seeds: seedsOf(ma.Members)}
	tb.owners = ownersOf(tb.seeds, ma.Partitions)
	return tb
}

func seedsOf(members []Member) []memberSeeds {
	all := make([]memberSeeds, len(members))
	for i, me := range members {
		base := xxhash.Sum64String(me.BackendServer)
		for unit := range me.Weight {
			all[i].seeds = append(all[i].seeds, seedOf(base, unit))
		}
	}
	return all
}

func ownersOf(seeds []memberSeeds, partitions uint32) []int32 {
	owners := make([]int32, partitions)
	for pt := range partitions {
		owners[pt] = best(seeds, pt)
	}
	return owners
}

func best(seeds []memberSeeds, pt uint32) int32 {
	winner, top := int32(-1), uint64(0)
	for i := range seeds {
		score, ok := seeds[i].score(pt)
		if ok && (winner < 0 || score > top) {
			winner, top = int32(i), score
		}
	}
	return winner
}

func (ms memberSeeds) score(pt uint32) (uint64, bool) {
	top := uint64(0)
	for _, seed := range ms.seeds {
		top = max(top, scoreOf(seed, pt))
	}
	return top, len(ms.seeds) > 0
}

// seedOf returns the seed of one unit of a member's weight.
func seedOf(base uint64, unit uint32) uint64 { return mix(base + uint64(unit)*0x9e3779b97f4a7c15) }

// scoreOf returns a seed's score for a partition.
func scoreOf(seed uint64, pt uint32) uint64 { return mix(seed ^ (uint64(pt) * 0xd6e8feb86659fd93)) }

// mix is the finaliser of splitmix64.
func mix(va uint64) uint64 {
	va ^= va >> 30
	va *= 0xbf58476d1ce4e5b9
	va ^= va >> 27
	va *= 0x94d049bb133111eb
	return va ^ va>>31
}

// Partition returns the partition of key. It is 0 for a service without
// partitions. A key that is not a number of the key space is hashed.
func (tb *Table) Partition(key string) uint32 {
	if tb.Map.Partitions == 0 {
		return 0
	}
	if tb.Map.KeySpace > 0 {
		number, err := strconv.ParseUint(key, 10, 32)
		if err == nil && number < uint64(tb.Map.KeySpace) {
			return uint32(number * uint64(tb.Map.Partitions) / uint64(tb.Map.KeySpace))
		}
	}
	return uint32(xxhash.Sum64String(key) % uint64(tb.Map.Partitions))
}

// Range is a span of numbered keys, both ends included.
type Range struct {
	From uint32
	To   uint32
}

// Range returns the numbered keys of a partition, or false if keys are hashed.
func (tb *Table) Range(pt uint32) (Range, bool) {
	space, count := uint64(tb.Map.KeySpace), uint64(tb.Map.Partitions)
	if space == 0 || uint64(pt) >= count {
		return Range{}, false
	}
	// The first key whose partition is pt is the quotient rounded up.
	from := (uint64(pt)*space + count - 1) / count
	next := ((uint64(pt)+1)*space + count - 1) / count
	return Range{From: uint32(from), To: uint32(next - 1)}, next > from
}

// Owner returns the owner of a partition, or false if no member has a weight.
func (tb *Table) Owner(pt uint32) (Member, bool) {
	if int(pt) >= len(tb.owners) || tb.owners[pt] < 0 {
		return Member{}, false
	}
	return tb.Map.Members[tb.owners[pt]], true
}

// formerGenerations bounds how far back Former looks.
const formerGenerations = 4

// PreviousOwner returns the live member that owned a partition latest before its
// present owner, or false if there is none on record.
func (tb *Table) PreviousOwner(pt uint32) (Member, bool) {
	if int(pt) >= len(tb.owners) {
		return Member{}, false
	}
	li := tb.lineage()
	count := min(len(li.gens), 1+formerGenerations)
	for i, index := range li.work(pt, count) {
		if i == 0 || index < 0 {
			continue
		}
		live, ok := tb.Map.index(li.gens[i].Members[index].BackendServer)
		if ok && int32(live) != tb.owners[pt] {
			return tb.Map.Members[live], true
		}
	}
	return Member{}, false
}

// lineage returns the earlier owners, which few tables are asked for.
func (tb *Table) lineage() *lineage {
	tb.earlierOnce.Do(func() { tb.earlier = newLineage(tb.Map) })
	return tb.earlier
}

// PreferenceList returns the first count members in the order in which they would own
// the partition, the owner first.
func (tb *Table) PreferenceList(pt uint32, count int) []Member {
	type ranked struct {
		score uint64
		index int
	}
	var all []ranked
	for i := range tb.seeds {
		if score, ok := tb.seeds[i].score(pt); ok {
			all = append(all, ranked{score: score, index: i})
		}
	}
	slices.SortFunc(all, func(le, ri ranked) int {
		if le.score != ri.score {
			if le.score > ri.score {
				return -1
			}
			return 1
		}
		return le.index - ri.index
	})
	var order []Member
	for _, ra := range all[:min(count, len(all))] {
		order = append(order, tb.Map.Members[ra.index])
	}
	return order
}

// OwnedBy lists the partitions of one incarnation.
func (tb *Table) OwnedBy(incarnation uint64) []uint32 {
	var owned []uint32
	for pt, index := range tb.owners {
		if index >= 0 && tb.Map.Members[index].Incarnation == incarnation {
			owned = append(owned, uint32(pt))
		}
	}
	return owned
}

// PriorOwners lists, for each partition of one incarnation, the other live
// members that owned it at an earlier version since the settled one. Each of
// them must release the partition before the incarnation serves it. Members
// that were removed need no release: their removal was the proof. If a member
// was replaced by another incarnation of the same backend server, that one
// answers for it: the server may still hold what its former instance gave it.
func (tb *Table) PriorOwners(incarnation uint64) map[uint32][]Member {
	prior := map[uint32][]Member{}
	li := tb.lineage()
	for _, pt := range tb.OwnedBy(incarnation) {
		for i, index := range li.ownersOf(pt) {
			if i == 0 || index < 0 {
				continue
			}
			live, ok := tb.Map.Member(li.gens[i].Members[index].BackendServer)
			if !ok || live.Incarnation == incarnation || slices.Contains(prior[pt], live) {
				continue
			}
			prior[pt] = append(prior[pt], live)
		}
	}
	return prior
}

// OwnerLoss is a version at which a partition passed on from an owner that is gone.
type OwnerLoss struct {
	Version uint64
	Owner   Member
}

// OwnerLosses returns the partition's losses, newest first. What a live prior owner
// knows of the partition is complete only if it obtained it at the newest of them
// or later.
func (tb *Table) OwnerLosses(pt uint32) []OwnerLoss {
	var losses []OwnerLoss
	li := tb.lineage()
	owners := li.ownersOf(pt)
	for i := 1; i < len(owners); i++ {
		if owners[i] < 0 {
			continue
		}
		former := li.gens[i].Members[owners[i]]
		_, isLive := tb.Map.ByIncarnation(former.Incarnation)
		isSameAsNext := false
		if next := owners[i-1]; next >= 0 {
			isSameAsNext = li.gens[i-1].Members[next].Incarnation == former.Incarnation
		}
		if !isLive && !isSameAsNext {
			losses = append(losses, OwnerLoss{Version: li.gens[i-1].Version, Owner: former})
		}
	}
	return losses
}
