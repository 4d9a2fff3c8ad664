// Package placer decides which backend server owns which key.
//
// A key hashes to a partition of its service. A partition's owner is the
// member with the highest score among the weighted members of the committed
// map, known as rendezvous hashing, so that a loss moves only the partitions
// that were lost. Scores use integers only: every machine computes the same.
//
// A map remembers how the members' weights changed since its settled version.
// From that a new owner learns which live members may still serve a partition
// under an earlier version, and asks each of them to release it.
//
// # Usage
//
//	ma := placer.NewMap("counter", 256)
//	ma = ma.WithMember(placer.Member{BackendServer: "a1", Incarnation: 7, Weight: placer.FullWeight})
//	tb := placer.NewTable(ma)
//	pt := tb.Partition("order-17")
//	owner, ok := tb.Owner(pt)
//	next := tb.Order(pt, 3)
package placer

import (
	"slices"
	"strings"
)

// FullWeight is the weight of a member that takes a full share of keys.
const FullWeight = 4

// Member is one incarnation of a backend server's instance in a map.
type Member struct {
	BackendServer string
	// Incarnation is unique to one run of the instance.
	Incarnation uint64
	DataCentre  string
	// Address is the instance's peer address as IP:port, TCP and UDP.
	Address string
	// Weight is from 0, which owns nothing, to FullWeight.
	Weight uint32
}

// WeightChange records a member's weight before a version.
type WeightChange struct {
	// Version is the map version that made the change.
	Version uint64
	// Member is the member as it stood before the change.
	Member Member
	// Added says that the member was absent before the change.
	Added bool
	// At is the wall clock of the commit in milliseconds since 1970, for
	// people only.
	At int64
}

// Map is the committed membership of one service. It is never changed in
// place.
type Map struct {
	Service    string
	Version    uint64
	Partitions uint32
	// KeySpace is how many keys there are if keys are numbers from 0, so that
	// neighbouring keys share a partition; 0 if keys are texts to be hashed.
	KeySpace uint32
	// ConfigVersion is that of the configuration the weights follow.
	ConfigVersion uint64
	// Settled is the latest version up to which every handover is known to
	// be complete.
	Settled uint64
	// Members are sorted by BackendServer.
	Members []Member
	// Changes holds the changes after Settled, oldest first.
	Changes []WeightChange

	at int64
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

// Member returns the member of that name.
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

// NextVersion returns a copy of ma at the next version, for the With methods to work
// on. All changes of one version go into one commit, at the given wall clock.
func (ma Map) NextVersion(at int64) Map {
	ne := ma.clone()
	ne.Version++
	ne.at = at
	return ne
}

// WithMember sets or adds a member. Another incarnation of the same backend
// server must have been removed before.
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

// WithoutMember removes a member. The caller must hold proof that the
// incarnation serves nothing any more: a revocation, or its own word.
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

// WithSettled drops the changes up to version. The caller must know that every
// handover up to it is complete.
func (ma Map) WithSettled(version uint64) Map {
	if version <= ma.Settled {
		return ma
	}
	ne := ma.clone()
	ne.Settled = version
	ne.Changes = slices.DeleteFunc(ne.Changes, func(ch WeightChange) bool { return ch.Version <= version })
	return ne
}

// Generation is a member list and the version from which it was in force.
type Generation struct {
	Version uint64
	Members []Member
}

// Generations returns the member lists from Settled to Version, newest first.
// The first is Members itself. Versions that changed no member are left out.
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
