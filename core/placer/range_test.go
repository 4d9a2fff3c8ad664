package placer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestRangesCoverKeys checks that the ranges cover the key space without gaps or
// overlaps and agree with Partition.
func TestRangesCoverKeys(t *testing.T) {
	for _, partitions := range []uint32{1, 3, 7, 512, 1000} {
		t.Run(fmt.Sprint(partitions), func(t *testing.T) {
			is := is.New(t)
			ma := NewMap("counter", partitions)
			ma.KeySpace = 1 << 16
			tb := NewTable(ma)
			next := uint32(0)
			for pt := range partitions {
				ra, ok := tb.Range(pt)
				is.True(ok)
				is.Equal(ra.From, next) // no gap, no overlap
				next = ra.To + 1
				is.Equal(tb.Partition(fmt.Sprint(ra.From)), pt)
				is.Equal(tb.Partition(fmt.Sprint(ra.To)), pt)
			}
			is.Equal(next, ma.KeySpace)
			_, ok := tb.Range(partitions)
			is.True(!ok)
		})
	}
	is := is.New(t)
	_, ok := NewTable(NewMap("counter", 8)).Range(0)
	is.True(!ok) // hashed keys have no ranges
}

// TestReplacedMemberReleases checks that the current incarnation on a VM must
// release the partitions of a former one, since the backend server beside it may
// still hold them.
func TestReplacedMemberReleases(t *testing.T) {
	is := is.New(t)
	first := NewMap("counter", 64).NextVersion(0).WithMember(Member{BackendServer: "a", Incarnation: 1, Weight: FullWeight})
	// Within one version the instance of a restarts and c joins.
	second := first.NextVersion(0).WithoutMember("a", 1).
		WithMember(Member{BackendServer: "a", Incarnation: 2, Weight: FullWeight}).
		WithMember(Member{BackendServer: "c", Incarnation: 3, Weight: FullWeight})
	tb := NewTable(second)
	moved := tb.OwnedBy(3)
	is.True(len(moved) > 0)
	prior := tb.PriorOwners(3, nil)
	for _, pt := range moved {
		is.Equal(len(prior[pt]), 1)
		is.Equal(prior[pt][0].Incarnation, uint64(2))
		former, ok := tb.PreviousOwner(pt)
		is.True(ok)
		is.Equal(former.Incarnation, uint64(2))
	}
	for _, pt := range tb.OwnedBy(2) {
		is.Equal(len(tb.PriorOwners(2, nil)[pt]), 0) // no other member held it
	}
}
