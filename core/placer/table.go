package placer

import (
	"math/bits"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Table is a partition map with the computed owner of each partition. It is immutable
// and safe for concurrent use.
type Table struct {
	Map    Map
	seeds  []memberSeeds
	owners []int32
	// past holds the owners under earlier generations. It is computed on first use.
	past     *ownerHistory
	pastOnce sync.Once
}

// memberSeeds holds one seed for each unit of a member's weight. A member's score is
// the highest of its seeds' scores. The highest of n independent scores wins with a
// probability proportional to n, so shares are proportional to weights. A half unit
// counts with the square of its seed's score, as a fraction of 1: of two independent
// such scores, the higher one is distributed like the score of a whole unit. A raised
// weight only adds partitions to the member and a lowered one only removes some.
type memberSeeds struct {
	seeds []uint64
	// half is the seed of the half unit, if hasHalf is set.
	half    uint64
	hasHalf bool
}

// NewTable computes the owners of ma.
func NewTable(ma Map) *Table {
	tb := &Table{Map: ma, seeds: seedsOf(ma.Members)}
	tb.owners = ownersOf(tb.seeds, ma.Partitions)
	return tb
}

func seedsOf(members []Member) []memberSeeds {
	all := make([]memberSeeds, len(members))
	for i, me := range members {
		base := xxhash.Sum64String(me.BackendServer)
		halves := me.halves()
		for unit := range halves / 2 {
			all[i].seeds = append(all[i].seeds, seedOf(base, unit))
		}
		all[i].half, all[i].hasHalf = seedOf(base, halves/2), halves%2 != 0
	}
	return all
}

func ownersOf(seeds []memberSeeds, partitions uint32) []int32 {
	owners := make([]int32, partitions)
	for pt := range partitions {
		owners[pt] = bestMember(seeds, pt)
	}
	return owners
}

// bestMember returns the index of the member with the highest score for the partition,
// or -1 if no member has a weight above 0.
func bestMember(seeds []memberSeeds, pt uint32) int32 {
	winner, top := int32(-1), uint64(0)
	for i := range seeds {
		score, ok := seeds[i].score(pt)
		if ok && (winner < 0 || score > top) {
			winner, top = int32(i), score
		}
	}
	return winner
}

// score returns the member's score for a partition, or false if its weight is 0.
func (ms memberSeeds) score(pt uint32) (uint64, bool) {
	top := uint64(0)
	for _, seed := range ms.seeds {
		top = max(top, scoreOf(seed, pt))
	}
	if ms.hasHalf {
		top = max(top, halfScore(scoreOf(ms.half, pt)))
	}
	return top, len(ms.seeds) > 0 || ms.hasHalf
}

// halfScore returns the score of half a unit from that of the whole unit.
func halfScore(score uint64) uint64 {
	high, _ := bits.Mul64(score, score)
	return high
}

// seedOf returns the seed of one unit of a member's weight.
func seedOf(base uint64, unit uint32) uint64 { return mix(base + uint64(unit)*0x9e3779b97f4a7c15) }

// scoreOf returns the score of one seed for a partition.
func scoreOf(seed uint64, pt uint32) uint64 { return mix(seed ^ (uint64(pt) * 0xd6e8feb86659fd93)) }

// mix is the finaliser of splitmix64.
func mix(va uint64) uint64 {
	va ^= va >> 30
	va *= 0xbf58476d1ce4e5b9
	va ^= va >> 27
	va *= 0x94d049bb133111eb
	return va ^ va>>31
}

// Partition returns the partition of key. It is 0 for a service without partitions.
// With a key space, a key that is not a number in it is hashed like a string.
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

// Range is a range of integer keys, both ends included.
type Range struct {
	From uint32
	To   uint32
}

// Range returns the integer keys of a partition. It returns false if keys are
// hashed, or if the partition does not exist or has no keys.
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

// Owner returns the owner of a partition. It returns false if no member has a weight
// above 0 or the partition does not exist.
func (tb *Table) Owner(pt uint32) (Member, bool) {
	if int(pt) >= len(tb.owners) || tb.owners[pt] < 0 {
		return Member{}, false
	}
	return tb.Map.Members[tb.owners[pt]], true
}

// maxPreviousGenerations is how many generations before the newest one PreviousOwner
// examines.
const maxPreviousGenerations = 4

// PreviousOwner returns the member that owned a partition most recently before its
// current owner, or false if there is none within the last 4 earlier generations. If
// that owner's backend server now has another incarnation, it returns that one. Owners
// whose backend server is no longer a member are skipped.
func (tb *Table) PreviousOwner(pt uint32) (Member, bool) {
	if int(pt) >= len(tb.owners) {
		return Member{}, false
	}
	oh := tb.ownerHistory()
	count := min(len(oh.gens), 1+maxPreviousGenerations)
	for i, index := range oh.computeOwners(pt, count) {
		if i == 0 || index < 0 {
			continue
		}
		live, ok := tb.Map.index(oh.gens[i].Members[index].BackendServer)
		if ok && int32(live) != tb.owners[pt] {
			return tb.Map.Members[live], true
		}
	}
	return Member{}, false
}

// ownerHistory returns the owners under earlier generations. They are computed on first
// use, since most tables never need them.
func (tb *Table) ownerHistory() *ownerHistory {
	tb.pastOnce.Do(func() { tb.past = newOwnerHistory(tb.Map) })
	return tb.past
}

// PreferenceList returns up to count weighted members by descending score for the
// partition: its owner, then those that would own it next.
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

// HasOwners reports whether any member has a weight above 0.
func (tb *Table) HasOwners() bool {
	return slices.ContainsFunc(tb.Map.Members, func(me Member) bool { return me.Weight > 0 })
}

// OwnedBy lists the partitions that one incarnation owns, in ascending order.
func (tb *Table) OwnedBy(incarnation uint64) []uint32 {
	var owned []uint32
	for pt, index := range tb.owners {
		if index >= 0 && tb.Map.Members[index].Incarnation == incarnation {
			owned = append(owned, uint32(pt))
		}
	}
	return owned
}

// PriorOwners lists, for each partition that an incarnation owns, the other live
// members that owned it at an earlier version since the settled one. Each of them
// must release the partition before the incarnation serves it. Removed members
// need not, since a member is removed only once it provably serves nothing. If a
// member was replaced by another incarnation of the same backend server, that one
// must release in its place, because the server may still hold what the former
// instance granted it.
//
// HeldAt returns a version of the map under which the backend server of the incarnation is
// known to have held a partition, or 0. By then, all owners that lost the partition up to
// that version had released it, so that they are left out. HeldAt may be nil.
func (tb *Table) PriorOwners(incarnation uint64, heldAt func(pt uint32) uint64) map[uint32][]Member {
	prior := map[uint32][]Member{}
	oh := tb.ownerHistory()
	for _, pt := range tb.OwnedBy(incarnation) {
		known := uint64(0)
		if heldAt != nil {
			known = heldAt(pt)
		}
		for i, index := range oh.ownersOf(pt) {
			if i == 0 || index < 0 {
				continue
			}
			// Generation i ended with the version that introduced the one after it.
			if oh.gens[i-1].Version <= known {
				break
			}
			live, ok := tb.Map.Member(oh.gens[i].Members[index].BackendServer)
			if !ok || live.Incarnation == incarnation || slices.Contains(prior[pt], live) {
				continue
			}
			prior[pt] = append(prior[pt], live)
		}
	}
	return prior
}

// OwnedByFormer reports whether another incarnation of the backend server owned a
// partition at a version since the settled one. Earlier owners have released theirs, so
// that without one the backend server holds the partition only if the given incarnation
// granted it.
func (tb *Table) OwnedByFormer(pt uint32, backendServer string, incarnation uint64) bool {
	if int(pt) >= len(tb.owners) {
		return false
	}
	oh := tb.ownerHistory()
	for i, index := range oh.ownersOf(pt) {
		if index < 0 {
			continue
		}
		if me := oh.gens[i].Members[index]; me.BackendServer == backendServer && me.Incarnation != incarnation {
			return true
		}
	}
	return false
}

// OwnerLoss records that a partition moved at map version Version from an owner whose
// incarnation is no longer a member.
type OwnerLoss struct {
	Version uint64
	Owner   Member
}

// OwnerLosses returns the partition's losses since the settled version, newest
// first. The state that a live prior owner keeps for the partition is complete only
// if it obtained the partition at the newest of these versions or later.
func (tb *Table) OwnerLosses(pt uint32) []OwnerLoss {
	var losses []OwnerLoss
	oh := tb.ownerHistory()
	owners := oh.ownersOf(pt)
	for i := 1; i < len(owners); i++ {
		if owners[i] < 0 {
			continue
		}
		former := oh.gens[i].Members[owners[i]]
		_, isLive := tb.Map.ByIncarnation(former.Incarnation)
		isSameAsNext := false
		if next := owners[i-1]; next >= 0 {
			isSameAsNext = oh.gens[i-1].Members[next].Incarnation == former.Incarnation
		}
		if !isLive && !isSameAsNext {
			losses = append(losses, OwnerLoss{Version: oh.gens[i-1].Version, Owner: former})
		}
	}
	return losses
}
