package placer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naivePrior, naiveOwnerLosses and naivePreviousOwner are reference implementations
// of PriorOwners, OwnerLosses and PreviousOwner that compute every generation's owners from its member list.
func naivePrior(tb *Table, incarnation uint64) map[uint32][]Member {
	prior := map[uint32][]Member{}
	for _, ge := range tb.Map.Generations()[1:] {
		seeds := seedsOf(ge.Members)
		for _, pt := range tb.OwnedBy(incarnation) {
			index := bestMember(seeds, pt)
			if index < 0 {
				continue
			}
			live, ok := tb.Map.Member(ge.Members[index].BackendServer)
			if ok && live.Incarnation != incarnation && !slices.Contains(prior[pt], live) {
				prior[pt] = append(prior[pt], live)
			}
		}
	}
	return prior
}

func naiveOwnerLosses(tb *Table, pt uint32) []OwnerLoss {
	var losses []OwnerLoss
	gens := tb.Map.Generations()
	for i := 1; i < len(gens); i++ {
		index := bestMember(seedsOf(gens[i].Members), pt)
		if index < 0 {
			continue
		}
		former := gens[i].Members[index]
		next := bestMember(seedsOf(gens[i-1].Members), pt)
		isSameAsNext := next >= 0 && gens[i-1].Members[next].Incarnation == former.Incarnation
		if _, isLive := tb.Map.ByIncarnation(former.Incarnation); !isLive && !isSameAsNext {
			losses = append(losses, OwnerLoss{Version: gens[i-1].Version, Owner: former})
		}
	}
	return losses
}

func naivePreviousOwner(tb *Table, pt uint32) (Member, bool) {
	owner, _ := tb.Owner(pt)
	gens := tb.Map.Generations()[1:]
	for _, ge := range gens[:min(len(gens), maxPreviousGenerations)] {
		index := bestMember(seedsOf(ge.Members), pt)
		if index < 0 {
			continue
		}
		if live, ok := tb.Map.Member(ge.Members[index].BackendServer); ok && live != owner {
			return live, true
		}
	}
	return Member{}, false
}

// TestOwnerHistory compares the cached owner history with the reference
// implementations over random membership changes.
func TestOwnerHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const partitions = 32
		ma := NewMap("counter", partitions)
		incarnation := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "versions") {
			ma = ma.NextVersion(0)
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				name := fmt.Sprint("server-", rapid.IntRange(0, 6).Draw(t, "server"))
				present, ok := ma.Member(name)
				if ok && rapid.Bool().Draw(t, "isRemoved") {
					ma = ma.WithoutMember(name, present.Incarnation)
					ok = false
				}
				if !ok {
					incarnation++
					present = Member{BackendServer: name, Incarnation: incarnation}
				}
				present.Weight = uint32(rapid.IntRange(0, FullWeight).Draw(t, "weight"))
				present.Speed = uint32(rapid.IntRange(0, MaxSpeed).Draw(t, "speed"))
				ma = ma.WithMember(present)
			}
		}
		if rapid.Bool().Draw(t, "isSettled") {
			ma = ma.WithSettled(ma.Version / 2)
		}
		tb := NewTable(ma)
		for _, me := range ma.Members {
			got, want := tb.PriorOwners(me.Incarnation, nil), naivePrior(tb, me.Incarnation)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("prior owners %v, want %v", got, want)
			}
		}
		for pt := range uint32(partitions) {
			if got, want := tb.OwnerLosses(pt), naiveOwnerLosses(tb, pt); !slices.Equal(got, want) {
				t.Fatalf("losses of %d: %v, want %v", pt, got, want)
			}
			got, isGot := tb.PreviousOwner(pt)
			if want, isWant := naivePreviousOwner(tb, pt); got != want || isGot != isWant {
				t.Fatalf("previous owner of %d: %v, want %v", pt, got, want)
			}
		}
	})
}

// BenchmarkFollow measures what an instance computes for each new map in a large
// deployment while many instances restart.
func BenchmarkFollow(b *testing.B) {
	ma := mapOf(1024, 78).WithSettled(78)
	for i := range 150 {
		me := ma.Members[i%78]
		ma = ma.NextVersion(0).WithoutMember(me.BackendServer, me.Incarnation)
		me.Incarnation += 1000
		ma = ma.WithMember(me)
	}
	for b.Loop() {
		tb := NewTable(ma)
		self := ma.Members[5].Incarnation
		tb.PriorOwners(self, nil)
		for _, pt := range tb.OwnedBy(self) {
			tb.OwnerLosses(pt)
		}
	}
}
