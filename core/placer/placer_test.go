package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func mapOf(partitions uint32, members int) Map {
	ma := NewMap("counter", partitions)
	for i := range members {
		me := Member{BackendServer: fmt.Sprint("server-", i), Incarnation: uint64(i + 1), Weight: FullWeight}
		ma = ma.NextVersion(0).WithMember(me)
	}
	return ma
}

func TestRemovalMovesOnlyOwnPartitions(t *testing.T) {
	is := is.New(t)
	before := NewTable(mapOf(1024, 10))
	lost := before.Map.Members[3]
	after := NewTable(before.Map.NextVersion(0).WithoutMember(lost.BackendServer, lost.Incarnation))
	for pt := range uint32(1024) {
		was, _ := before.Owner(pt)
		now, _ := after.Owner(pt)
		if was.Incarnation != lost.Incarnation {
			is.Equal(was, now) // a partition of another member stays
			continue
		}
		is.Equal(now, before.PreferenceList(pt, 2)[1]) // the next preferred member takes over
	}
}

func TestSharesAreProportionalToWeights(t *testing.T) {
	is := is.New(t)
	ma := mapOf(16384, 8)
	half := ma.Members[0]
	half.Weight = FullWeight / 2
	tb := NewTable(ma.NextVersion(0).WithMember(half))
	share := float64(len(tb.OwnedBy(half.Incarnation))) / 16384
	want := 0.5 / 7.5
	is.True(share > 0.8*want && share < 1.2*want) // half the weight gets half the share
	none := half
	none.Weight = 0
	is.Equal(len(NewTable(ma.NextVersion(0).WithMember(none)).OwnedBy(none.Incarnation)), 0)
}

// TestGenerationsReplay compares the generations that are rebuilt from the recorded
// changes with copies of the member lists, over random changes.
func TestGenerationsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ma := NewMap("counter", 8)
		kept := [][]Member{nil}
		incarnation := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			ne := ma.NextVersion(0)
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				name := fmt.Sprint("server-", rapid.IntRange(0, 4).Draw(t, "server"))
				present, ok := ne.Member(name)
				if ok && rapid.Bool().Draw(t, "isRemoved") {
					ne = ne.WithoutMember(name, present.Incarnation)
					continue
				}
				if !ok {
					incarnation++
					present = Member{BackendServer: name, Incarnation: incarnation}
				}
				present.Weight = uint32(rapid.IntRange(0, FullWeight).Draw(t, "weight"))
				ne = ne.WithMember(present)
			}
			ma = ne
			kept = append(kept, slices.Clone(ma.Members))
		}
		for i, ge := range ma.Generations() {
			want := kept[len(kept)-1-i]
			if !slices.Equal(ge.Members, want) {
				t.Fatalf("generation %d back: %v, want %v", i, ge.Members, want)
			}
		}
	})
}

// TestPriorOwners checks that the owner before a join must release its partitions
// unless it was removed, in which case a loss is recorded.
func TestPriorOwners(t *testing.T) {
	is := is.New(t)
	two := mapOf(64, 2)
	joined := two.NextVersion(0).WithMember(Member{BackendServer: "server-2", Incarnation: 3, Weight: FullWeight})
	before, after := NewTable(two), NewTable(joined)
	prior := after.PriorOwners(3, nil)
	is.True(len(prior) > 0)
	for pt, list := range prior {
		was, _ := before.Owner(pt)
		is.True(slices.Contains(list, was)) // the owner before the join releases
	}
	removed := NewTable(joined.NextVersion(0).WithoutMember("server-0", 1))
	for _, list := range removed.PriorOwners(3, nil) {
		for _, me := range list {
			is.True(me.Incarnation != 1) // a removed member need not release
		}
	}
	for pt := range uint32(64) {
		if was, _ := before.Owner(pt); was.Incarnation == 1 {
			losses := removed.OwnerLosses(pt)
			is.Equal(len(losses), 1) // the loss is recorded
			is.Equal(losses[0].Owner, was)
		}
	}
	settled := joined.WithSettled(joined.Version)
	is.Equal(len(NewTable(settled).PriorOwners(3, nil)), 0) // nothing is left to release
}

// TestHeldPartitionsNeedNoRelease checks which prior owners are left out because the
// backend server of a restarted member is known to hold the partition, and which
// partitions a former incarnation owned.
func TestHeldPartitionsNeedNoRelease(t *testing.T) {
	is := is.New(t)
	two := mapOf(64, 2) // versions 1 and 2
	joined := two.NextVersion(0).WithMember(Member{BackendServer: "server-2", Incarnation: 3, Weight: FullWeight})
	restarted := joined.NextVersion(0).WithoutMember("server-2", 3).WithMember(Member{BackendServer: "server-2", Incarnation: 9, Weight: FullWeight})
	at := func(version uint64) func(uint32) uint64 { return func(uint32) uint64 { return version } }
	tb := NewTable(restarted)
	is.True(len(tb.PriorOwners(9, nil)) > 0)
	is.Equal(len(tb.PriorOwners(9, at(joined.Version))), 0) // the former incarnation had obtained them
	is.Equal(len(tb.PriorOwners(9, at(joined.Version-1))), len(tb.PriorOwners(9, nil)))
	for pt := range uint32(64) {
		owner, _ := tb.Owner(pt)
		is.Equal(tb.OwnedByFormer(pt, "server-2", 9), owner.Incarnation == 9)
		is.Equal(tb.OwnedByFormer(pt, "server-0", 1), false)
	}

	// A partition that moved away and back must be released by its owner in between.
	away := restarted.NextVersion(0).WithMember(Member{BackendServer: "server-2", Incarnation: 9})
	back := NewTable(away.NextVersion(0).WithMember(Member{BackendServer: "server-2", Incarnation: 9, Weight: FullWeight}))
	is.True(len(back.PriorOwners(9, at(restarted.Version))) > 0)
	is.True(len(back.PriorOwners(9, at(away.Version))) > 0)
	is.Equal(len(back.PriorOwners(9, at(back.Map.Version))), 0)
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	ex := NewTable(mapOf(64, 3)).Explain("order-17")
	is.True(ex.HasOwner)
	is.Equal(len(ex.Next), 2)
	is.Equal(ex.WeightedMembers, 3)
	is.True(ex.SinceVersion > 0)
	is.Equal(NewTable(NewMap("counter", 8)).Explain("k").HasOwner, false)
}

func BenchmarkOwner(b *testing.B) {
	tb := NewTable(mapOf(16384, 200))
	b.ReportAllocs()
	for i := range b.N {
		tb.Owner(tb.Partition(benchKeys[i%len(benchKeys)]))
	}
}

var benchKeys = []string{"order-17", "payment-9381", "reservation-a81", "k0"}

func BenchmarkNewTable(b *testing.B) {
	for _, members := range []int{50, 100, 200, 400} {
		ma := mapOf(16384, members)
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				NewTable(ma)
			}
		})
	}
}
