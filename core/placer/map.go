// Package placer assigns the keys of a service to its backend servers by weighted
// rendezvous hashing.
//
// A key hashes to a partition of its service. A partition's owner is the member
// with the highest score for it among the weighted members of the committed
// partition map, so that the loss of a member moves only that member's
// partitions. Scores use integer arithmetic only, so that every machine computes
// the same owners.
//
// A map records the changes of its members since its settled version. From them a
// new owner computes which live members may still serve a partition under an
// earlier version and must release it first.
//
// # Usage
//
//	ma := placer.NewMap("counter", 256)
//	ma = ma.NextVersion(at).WithMember(placer.Member{BackendServer: "a1", Incarnation: 7, Weight: placer.FullWeight})
//	tb := placer.NewTable(ma)
//	pt := tb.Partition("order-17")
//	owner, ok := tb.Owner(pt)
//	next := tb.PreferenceList(pt, 3)
package placer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FullWeight is the weight of a member that takes a full share of keys.
const FullWeight = 4

const (
	// FullSpeed is the speed of a member as fast as is usual in its service, and
	// MaxSpeed the highest one.
	FullSpeed = 8
	MaxSpeed  = 2 * FullSpeed
)

// Member is the instance beside a backend server, in one incarnation.
type Member struct {
	BackendServer string
	// Incarnation identifies one run of the instance.
	Incarnation uint64
	DataCentre  string
	// Address is the IP:port at which other instances reach it over TCP and UDP.
	Address string
	// Weight is the member's relative share of partitions, from 0 for none to
	// FullWeight.
	Weight uint32
	// Speed scales the share given by Weight, in units of 1/FullSpeed up to MaxSpeed. It
	// is 0 if the speed is not measured, which counts as FullSpeed.
	Speed uint32
	// Version is the version of the backend server, "" if rollouts are off or the
	// instance doesn't know it.
	Version string
	// Leaving lists the runs of the backend server that have announced their end, in the form
	// of registrar.FormatRuns. It outlives the member's row if the table loses that.
	Leaving string
}

// halves returns the member's relative share of partitions, in halves of a unit of
// weight.
func (me Member) halves() uint32 {
	if me.Speed == 0 || me.Weight == 0 {
		return 2 * me.Weight
	}
	return max(1, 2*me.Weight*min(me.Speed, MaxSpeed)/FullSpeed)
}

// WeightChange records that one map version added, removed or changed one member.
// It holds what is needed to undo the change.
type WeightChange struct {
	// Version is the map version that made the change.
	Version uint64
	// Member is the member before the change, or the new member if Added is set.
	Member Member
	// Added reports that the member was absent before the change.
	Added bool
	// At is the time of the commit in milliseconds since 1970. It is for display
	// only.
	At int64
}

// Map is the partition map of one service: its committed members, from which the
// owners of partitions follow. A Map is immutable: its methods return changed
// copies.
type Map struct {
	Service string
	Version uint64
	// Partitions is 0 for a shared service, whose keys have no owners.
	Partitions uint32
	// KeySpace is the number of keys if keys are integers from 0, in which case
	// adjacent keys share a partition. It is 0 if keys are strings to be hashed.
	KeySpace uint32
	// ConfigVersion is the version of the configuration that the weights follow.
	ConfigVersion uint64
	// Settled is the latest version up to which every hand-over is known to be
	// complete.
	Settled uint64
	// Members are sorted by BackendServer.
	Members []Member
	// Changes holds the changes after Settled, oldest first.
	Changes []WeightChange

	// at is the commit time recorded with the changes of Version.
	at int64
}

// eraShift is the position of the store's era in a version: 32 bits count the versions of one
// era. Fencing tokens contain the version and must stay short.
const eraShift = 32

// FirstVersion returns the first version of a map in an era of the store, see package
// sequencer.
func FirstVersion(era uint64) uint64 { return era<<eraShift | 1 }

// FormatVersion returns the version of a map as text for logs: "7", or "2.7" in era 2 of the
// store.
func FormatVersion(version uint64) string {
	if version>>eraShift == 0 {
		return strconv.FormatUint(version, 10)
	}
	return fmt.Sprintf("%d.%d", version>>eraShift, version&(1<<eraShift-1))
}

// Era returns the era of the store in which the map got its version.
func (ma Map) Era() uint64 { return ma.Version >> eraShift }

// IsSame reports whether both maps have the same version, members and settled version.
func (ma Map) IsSame(other Map) bool {
	return ma.Version == other.Version && ma.Settled == other.Settled && slices.Equal(ma.Members, other.Members)
}

// NewMap returns an empty map at version 0. Partitions is 0 for a shared
// service.
func NewMap(service string, partitions uint32) Map {
	return Map{Service: service, Partitions: partitions}
}

func (ma Map) clone() Map {
	ma.Members = slices.Clone(ma.Members)
	ma.Changes = slices.Clone(ma.Changes)
	return ma
}

func (ma Map) index(backendServer string) (int, bool) {
	return slices.BinarySearchFunc(ma.Members, backendServer, func(me Member, name string) int {
		return strings.Compare(me.BackendServer, name)
	})
}

// Member returns the member of the named backend server.
func (ma Map) Member(backendServer string) (Member, bool) {
	if i, ok := ma.index(backendServer); ok {
		return ma.Members[i], true
	}
	return Member{}, false
}

// ByIncarnation returns the member with that incarnation.
func (ma Map) ByIncarnation(incarnation uint64) (Member, bool) {
	for _, me := range ma.Members {
		if me.Incarnation == incarnation {
			return me, true
		}
	}
	return Member{}, false
}

// NextVersion returns a copy of ma at the next version, to which the With methods
// apply changes. At is the time of the commit, in milliseconds since 1970, and is
// recorded with each change.
func (ma Map) NextVersion(at int64) Map {
	ne := ma.clone()
	ne.Version++
	ne.at = at
	return ne
}

// WithMember returns a copy with the member added, or replaced if there is one of
// the same backend server. The caller must have removed any other incarnation of
// that member with WithoutMember before.
func (ma Map) WithMember(me Member) Map {
	ne := ma.clone()
	i, found := ne.index(me.BackendServer)
	if found {
		ne.Changes = append(ne.Changes, WeightChange{Version: ne.Version, Member: ne.Members[i], At: ne.at})
		ne.Members[i] = me
		return ne
	}
	ne.Changes = append(ne.Changes, WeightChange{Version: ne.Version, Member: me, Added: true, At: ne.at})
	ne.Members = slices.Insert(ne.Members, i, me)
	return ne
}

// WithoutMember returns a copy without the member. It returns ma itself if there is
// no such incarnation. The caller must have proof that the incarnation serves no
// requests any more: a revocation by its watchers or its own announcement.
func (ma Map) WithoutMember(backendServer string, incarnation uint64) Map {
	i, found := ma.index(backendServer)
	if !found || ma.Members[i].Incarnation != incarnation {
		return ma
	}
	ne := ma.clone()
	ne.Changes = append(ne.Changes, WeightChange{Version: ne.Version, Member: ne.Members[i], At: ne.at})
	ne.Members = slices.Delete(ne.Members, i, i+1)
	return ne
}

// WithSettled returns a copy with Settled set to version and the changes up to it
// dropped. The caller must know that every hand-over up to it is complete.
func (ma Map) WithSettled(version uint64) Map {
	if version <= ma.Settled {
		return ma
	}
	ne := ma.clone()
	ne.Settled = version
	ne.Changes = slices.DeleteFunc(ne.Changes, func(ch WeightChange) bool { return ch.Version <= version })
	return ne
}

// Generation is a list of members with the version that introduced it, or a later
// one if that change is no longer on record.
type Generation struct {
	Version uint64
	Members []Member
}

// Generations returns the member lists from Settled to Version, newest first,
// starting with Members itself. Versions that changed no member are omitted.
func (ma Map) Generations() []Generation {
	gens := []Generation{{Version: ma.Version, Members: ma.Members}}
	current := slices.Clone(ma.Members)
	for i := len(ma.Changes) - 1; i >= 0; i-- {
		ch := ma.Changes[i]
		current = undo(current, ch)
		gens[len(gens)-1].Version = ch.Version
		isFirstOfVersion := i == 0 || ma.Changes[i-1].Version != ch.Version
		if isFirstOfVersion {
			gens = append(gens, Generation{Version: ma.Settled, Members: slices.Clone(current)})
		}
	}
	return gens
}

// undo reverts a change in members, in place.
func undo(members []Member, ch WeightChange) []Member {
	i, found := Map{Members: members}.index(ch.Member.BackendServer)
	switch {
	case ch.Added && found:
		return slices.Delete(members, i, i+1)
	case ch.Added:
		return members
	case found:
		members[i] = ch.Member
		return members
	default:
		return slices.Insert(members, i, ch.Member)
	}
}
