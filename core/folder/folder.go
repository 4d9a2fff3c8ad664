// Package folder derives the maps of all services from the instances' rows and
// the configuration.
//
// Each instance writes only its own row, so that many can join or be revoked
// at once without a conflict. Whoever sees that rows and maps differ folds all
// differences into one transaction on the maps.
//
// # Usage
//
//	changed := folder.Fold(folder.Input{Rows: rows, Config: co, Maps: maps})
//	for _, ma := range changed { ... write it on condition of its former version ... }
package folder

import (
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
)

// LimitsService is the service whose keys are workspaces and whose members are
// all instances: a workspace's bucket has its home at the key's owner.
const LimitsService = "limits"

const limitsPartitions = 1024

// State is the state of an incarnation.
type State string

const (
	// Active incarnations are members.
	Active State = "active"
	// Left incarnations ended by their own word, and serve nothing.
	Left State = "left"
	// Revoked incarnations lost their lease to a majority of watchers.
	Revoked State = "revoked"
)

// InstanceRow is an instance's row in the table.
type InstanceRow struct {
	BackendServer string
	Service       string
	DataCentre    string
	Region        string
	Address       string
	// Weight is the backend server's share of its service's keys, from 0 to
	// placer.FullWeight.
	Weight uint32
	// IsStopping says that the instance itself is about to end, so that it
	// takes no bucket either.
	IsStopping bool
	State      State
	Lease      leaser.Row
	// Settled holds, by service, a map version under which this incarnation
	// has obtained all that it then owned.
	Settled map[string]uint64
}

// Input is what the maps derive from.
type Input struct {
	Rows   []InstanceRow
	Config cataloguer.Config
	// Maps holds the present maps by service.
	Maps map[string]placer.Map
	// At is the wall clock in milliseconds since 1970, for people only.
	At int64
}

// Fold returns the maps that must change, each at its next version. It returns
// none if rows and maps agree.
func Fold(in Input) []placer.Map {
	var changed []placer.Map
	for _, sv := range services(in.Config) {
		ma, ok := in.Maps[sv.Name]
		if !ok {
			ma = placer.NewMap(sv.Name, sv.Partitions)
			ma.KeySpace = sv.KeySpace
		}
		if ma.ConfigVersion > in.Config.Version {
			// Weights of a former configuration would put back what a later
			// one took out.
			continue
		}
		ne, isChanged := foldOne(ma.NextVersion(in.At), ma, wanted(sv.Name, in))
		ne.ConfigVersion = in.Config.Version
		settled := settledVersion(ma, ne.Version, in.Rows)
		// A shared service hands nothing over, so it needs no record.
		isRecordDropped := settled > ma.Settled && (ma.Partitions > 0 || isChanged)
		if isChanged || isRecordDropped {
			changed = append(changed, ne.WithSettled(settled))
		}
	}
	return changed
}

func services(co cataloguer.Config) []cataloguer.Service {
	all := slices.Clone(co.Catalogue.Services)
	return append(all, cataloguer.Service{Name: LimitsService, Partitions: limitsPartitions})
}

// wanted lists the members that the rows ask for.
func wanted(service string, in Input) []placer.Member {
	var members []placer.Member
	for _, ir := range in.Rows {
		isMember := ir.State == Active && (ir.Service == service || service == LimitsService)
		if !isMember {
			continue
		}
		members = append(members, placer.Member{
			BackendServer: ir.BackendServer, Incarnation: ir.Lease.Incarnation, DataCentre: ir.DataCentre,
			Address: ir.Address, Weight: Weight(service, ir, in.Config),
		})
	}
	return members
}

// Weight returns the weight that an instance's row has in a service's map under a
// configuration.
func Weight(service string, ir InstanceRow, co cataloguer.Config) uint32 {
	if service == LimitsService && !ir.IsStopping {
		// A bucket lives in the instance: the state of the backend server
		// beside it doesn't matter.
		return placer.FullWeight
	}
	if slices.Contains(co.DrainedDataCentres, ir.DataCentre) || slices.Contains(co.DrainedServers, ir.BackendServer) {
		return 0
	}
	return min(ir.Weight, placer.FullWeight)
}

// foldOne removes what is gone before it adds, since a new incarnation may
// bear the name of one that is gone.
func foldOne(ne, ma placer.Map, members []placer.Member) (placer.Map, bool) {
	isChanged := false
	for _, me := range ma.Members {
		if !slices.ContainsFunc(members, func(wa placer.Member) bool { return wa.Incarnation == me.Incarnation }) {
			ne = ne.WithoutMember(me.BackendServer, me.Incarnation)
			isChanged = true
		}
	}
	for _, me := range members {
		if present, ok := ne.Member(me.BackendServer); !ok || present != me {
			ne = ne.WithMember(me)
			isChanged = true
		}
	}
	return ne, isChanged
}

// settledVersion returns the latest version under which every member of that
// version has obtained all that it then owned. Whatever an earlier owner held,
// it has then released, so the record up to that version can be dropped.
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
	// The reports must be of a version in which just these were the members.
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

// agreedVersion returns the version that all members reported, if it is one.
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
