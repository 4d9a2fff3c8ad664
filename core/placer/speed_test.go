package placer

import (
	"testing"

	"github.com/matryer/is"
)

// withSpeed returns the table of ma with the speed of its first member changed.
func withSpeed(ma Map, speed uint32) *Table {
	me := ma.Members[0]
	me.Speed = speed
	return NewTable(ma.NextVersion(0).WithMember(me))
}

// TestUnmeasuredSpeedChangesNoOwner guards against keys that move in deployments that
// don't measure speeds.
func TestUnmeasuredSpeedChangesNoOwner(t *testing.T) {
	is := is.New(t)
	ma := mapOf(4096, 9)
	is.Equal(NewTable(ma).owners, withSpeed(ma, FullSpeed).owners)
	sum := uint64(0)
	for pt, owner := range NewTable(ma).owners {
		sum = mix(sum + uint64(pt)<<32 + uint64(owner))
	}
	is.Equal(sum, uint64(0x5691574c5a88a9a5)) // as computed before members had speeds
}

// TestSpeedMovesFewPartitions checks that a member's share follows its speed, and that a
// change of it moves only partitions to or from that member.
func TestSpeedMovesFewPartitions(t *testing.T) {
	is := is.New(t)
	const partitions = 16384
	ma := mapOf(partitions, 8)
	before := withSpeed(ma, 1)
	for speed := uint32(1); speed <= MaxSpeed; speed++ {
		after := withSpeed(ma, speed)
		for pt := range uint32(partitions) {
			was, now := before.owners[pt], after.owners[pt]
			is.True(was == now || now == 0) // a raised speed takes nothing from the member, and moves nothing between others
		}
		share := float64(len(after.OwnedBy(1))) / partitions
		want := float64(speed) / float64(speed+7*FullSpeed)
		is.True(share > 0.85*want && share < 1.15*want)
		before = after
	}
}
