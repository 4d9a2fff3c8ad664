// Package folder derives the partition maps of all services from the instances' rows
// in the table and the configuration.
//
// Each instance writes only its own row, so that many instances can join or be
// revoked at once without write conflicts. Any instance that finds the maps out of
// date folds all differences into one transaction on the maps.
//
// # Usage
//
//	changed := folder.Fold(folder.Input{Rows: rows, Config: co, Maps: maps})
//	for _, ma := range changed { ... compare-and-set at its former version ... }
package folder

import (
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/sequencer"
)

// LimitsService is an internal service for rate limits. Its keys are workspaces and
// its members are all instances. The owner of a workspace's key, called its home,
// keeps the workspace's token bucket.
const LimitsService = "limits"

// limitsPartitions is the number of partitions of LimitsService.
const limitsPartitions = 1024

// State is the state of an incarnation of an instance.
type State string

const (
	// Active incarnations are members of their service's map.
	Active State = "active"
	// Left incarnations shut down in order and serve nothing.
	Left State = "left"
	// Revoked incarnations had their lease revoked by a majority of their watchers.
	Revoked State = "revoked"
)

// InstanceRow is the row in the table that an instance writes for itself.
type InstanceRow struct {
	BackendServer string
	Service       string
	DataCentre    string
	Region        string
	Address       string
	// Weight is the backend server's relative share of its service's keys, from 0 to
	// placer.FullWeight.
	Weight uint32
	// Speed is the measured speed of the backend server, as in placer.Member.
	Speed uint32
	// IsStopping reports that the instance itself is shutting down, so that it must
	// not own token buckets either.
	IsStopping bool
	State      State
	Lease      leaser.Row
	// Version is the version of the backend server. It is "" if rollouts are off or the
	// server has not been heard of.
	Version string
	// Leaving lists the runs of the backend server that have announced their end. It binds
	// each later instance beside the server.
	Leaving []registrar.ServerRun
	// Settled holds, by service, a map version at which this incarnation has obtained
	// every partition that the version assigns to it.
	Settled map[string]uint64
	// Era is the era of the store in which the row was written.
	Era uint64
}

// IsOutdated reports whether the store has come back from an older copy since the row was
// written. The row may then lack what its instance wrote later.
func (ir InstanceRow) IsOutdated() bool { return ir.Era < sequencer.Era(ir.Lease.Version) }

// Input holds the arguments of Fold.
type Input struct {
	Rows []InstanceRow
	// Unreadable names the backend servers whose rows can't be read. Their members stay
	// as they are: nothing proves that they stopped. Nor does an outdated row, or one that is
	// absent in an era above 0, since the store may have lost it.
	Unreadable []string
	// Era is the era of the store as of Rows. Versions of maps in it are above all of earlier
	// eras.
	Era    uint64
	Config cataloguer.Config
	// Maps holds the current maps by service.
	Maps map[string]placer.Map
	// RollOuts holds the states of the services' versions, nil if rollouts are off.
	RollOuts map[string]roller.State
	// At is the current time in milliseconds since 1970. It is recorded with the
	// changes for display only.
	At int64
}

// Fold returns the maps that must change, each at its next version. It returns none
// if the maps agree with the rows and the configuration.
func Fold(in Input) []placer.Map {
	var changed []placer.Map
	in = in.withoutOutdated()
	for _, sv := range allServices(in.Config) {
		ma, ok := in.Maps[sv.Name]
		members := wantedMembers(sv.Name, in)
		if !ok {
			ma = placer.NewMap(sv.Name, initialPartitions(sv, len(members)))
			ma.KeySpace = sv.KeySpace
		}
		if ma.ConfigVersion > in.Config.Version {
			// The weights of an older configuration would undo drains of a newer
			// one.
			continue
		}
		next := ma.NextVersion(in.At)
		next.Version = max(next.Version, placer.FirstVersion(in.Era))
		ne, isChanged := updateMembers(next, ma, members, in.kept(ma))
		ne.ConfigVersion = in.Config.Version
		settled := settledVersion(ma, ne.Version, in.Rows)
		// A shared service has no hand-overs, so its history is dropped only along
		// with another change.
		dropsHistory := settled > ma.Settled && (ma.Partitions > 0 || isChanged)
		if isChanged || dropsHistory {
			changed = append(changed, ne.WithSettled(settled))
		}
	}
	return changed
}

// withoutOutdated returns the input with the servers of outdated rows among the unreadable ones.
func (in Input) withoutOutdated() Input {
	var rows []InstanceRow
	unreadable := slices.Clone(in.Unreadable)
	for _, ir := range in.Rows {
		if ir.IsOutdated() {
			unreadable = append(unreadable, ir.BackendServer)
			continue
		}
		rows = append(rows, ir)
	}
	in.Rows, in.Unreadable = rows, unreadable
	return in
}

// kept names the backend servers whose members of a map stay as they are.
func (in Input) kept(ma placer.Map) []string {
	kept := in.Unreadable
	if in.Era == 0 {
		return kept
	}
	for _, me := range ma.Members {
		hasRow := func(ir InstanceRow) bool { return ir.BackendServer == me.BackendServer }
		if !slices.ContainsFunc(in.Rows, hasRow) {
			kept = append(slices.Clip(kept), me.BackendServer)
		}
	}
	return kept
}

const (
	// shareOfPartitions is the divisor of a service's partitions that gives those a
	// member should own at least, and maxSplit bounds how often each is split for it.
	// Busy keys lie close together, so that a large deployment needs smaller ranges to
	// spread them, while the ranges of one member must fit into a reply to a heartbeat.
	shareOfPartitions = 16
	maxSplit          = 8
)

// initialPartitions returns the number of partitions of a service's first map. For
// integer keys it grows with the number of members.
func initialPartitions(sv cataloguer.Service, members int) uint32 {
	partitions := sv.Partitions
	if sv.KeySpace == 0 {
		return partitions
	}
	wanted := uint32(members) * sv.Partitions / shareOfPartitions
	for partitions < wanted && partitions < maxSplit*sv.Partitions && 2*partitions <= sv.KeySpace {
		partitions *= 2
	}
	return partitions
}

func allServices(co cataloguer.Config) []cataloguer.Service {
	all := slices.Clone(co.Catalogue.Services)
	return append(all, cataloguer.Service{Name: LimitsService, Partitions: limitsPartitions})
}

// wantedMembers returns the members that a service's map must have according to the
// rows and the configuration.
func wantedMembers(service string, in Input) []placer.Member {
	var members []placer.Member
	for _, ir := range in.Rows {
		isMember := ir.State == Active && (ir.Service == service || service == LimitsService)
		if !isMember {
			continue
		}
		me := placer.Member{
			BackendServer: ir.BackendServer, Incarnation: ir.Lease.Incarnation, DataCentre: ir.DataCentre,
			Address: ir.Address, Weight: PermittedWeight(service, ir, in.Config, in.RollOuts), Speed: Speed(service, ir),
		}
		if service != LimitsService {
			me.Version, me.Leaving = ir.Version, registrar.FormatRuns(ir.Leaving)
		}
		members = append(members, me)
	}
	return members
}

// FirstRollOuts returns the first states of the services that have none, from the
// versions that the servers with a weight have.
func FirstRollOuts(in Input) []roller.State {
	var first []roller.State
	for _, sv := range in.Config.Catalogue.Services {
		if _, ok := in.RollOuts[sv.Name]; ok {
			continue
		}
		var versions []string
		for _, ir := range in.Rows {
			if ir.State == Active && ir.Service == sv.Name && ir.Weight > 0 {
				versions = append(versions, ir.Version)
			}
		}
		if st, ok := roller.First(sv.Name, versions); ok {
			first = append(first, st)
		}
	}
	return first
}

// PermittedWeight returns the weight of an instance in a service's map: the part of Weight
// that the state of the service's versions permits.
func PermittedWeight(service string, ir InstanceRow, co cataloguer.Config, rollOuts map[string]roller.State) uint32 {
	weight := Weight(service, ir, co)
	if st, ok := rollOuts[service]; ok {
		return permitted(weight, st.ShareOf(ir.BackendServer, ir.Version))
	}
	return weight
}

// Weight returns the weight of an instance in a service's map by its row and the
// configuration, without regard to versions.
func Weight(service string, ir InstanceRow, co cataloguer.Config) uint32 {
	if service == LimitsService && !ir.IsStopping {
		// Token buckets are kept by the instance itself, so the state of the
		// backend server beside it does not matter.
		return placer.FullWeight
	}
	if slices.Contains(co.DrainedDataCentres, ir.DataCentre) || slices.Contains(co.DrainedServers, ir.BackendServer) {
		return 0
	}
	return min(ir.Weight, placer.FullWeight)
}

// Speed returns the speed of an instance in a service's map, by its row.
func Speed(service string, ir InstanceRow) uint32 {
	if service == LimitsService {
		return 0
	}
	return min(ir.Speed, placer.MaxSpeed)
}

// permitted returns the part of a weight that a share in eighths permits, at least 1 unless
// either is 0.
func permitted(weight, share uint32) uint32 {
	if weight == 0 || share == 0 {
		return 0
	}
	return max(1, weight*share/roller.FullShare)
}

// updateMembers changes the members of ne, which is ma at its next version, to the
// wanted ones and reports whether any differed, except for those of the backend servers
// named by kept. It removes members before it adds any, since a new incarnation may have
// the backend server of a removed one.
func updateMembers(ne, ma placer.Map, members []placer.Member, kept []string) (placer.Map, bool) {
	isChanged := false
	for _, me := range ma.Members {
		isWanted := slices.Contains(kept, me.BackendServer) ||
			slices.ContainsFunc(members, func(wa placer.Member) bool { return wa.Incarnation == me.Incarnation })
		if !isWanted {
			ne = ne.WithoutMember(me.BackendServer, me.Incarnation)
			isChanged = true
		}
	}
	for _, me := range members {
		if former, ok := ma.Member(me.BackendServer); ok && former.Leaving != me.Leaving {
			// The row may lack what the table lost.
			me.Leaving = registrar.FormatRuns(registrar.MergeRuns(registrar.ParseRuns(former.Leaving), registrar.ParseRuns(me.Leaving)))
		}
		if present, ok := ne.Member(me.BackendServer); !ok || present != me {
			ne = ne.WithMember(me)
			isChanged = true
		}
	}
	return ne, isChanged
}

// settledVersion returns the latest version of ma of which every member has obtained
// all partitions that the version assigns to it. By then all earlier owners have
// released theirs, so the changes up to that version can be dropped. For a shared
// service, which has no hand-overs, it returns next.
func settledVersion(ma placer.Map, next uint64, rows []InstanceRow) uint64 {
	if ma.Partitions == 0 {
		return next
	}
	reported := map[uint64]uint64{}
	for _, ir := range rows {
		if version := ir.Settled[ma.Service]; version > ma.Settled {
			reported[ir.Lease.Incarnation] = version
		}
	}
	if len(reported) == 0 {
		return ma.Settled
	}
	// A version counts if all members of its generation have reported it.
	last := ma.Version
	for _, ge := range ma.Generations() {
		version, isAgreed := agreedVersion(ge.Members, reported)
		if isAgreed && version >= ge.Version && version <= last {
			return version
		}
		last = ge.Version - 1
	}
	return ma.Settled
}

// agreedVersion returns the version that all members reported, or false if they
// reported different ones or some reported none.
func agreedVersion(members []placer.Member, reported map[uint64]uint64) (uint64, bool) {
	agreed := uint64(0)
	for _, me := range members {
		version := reported[me.Incarnation]
		if version == 0 || agreed != 0 && agreed != version {
			return 0, false
		}
		agreed = version
	}
	return agreed, agreed != 0
}
