// Package roller decides how the traffic of a service moves from one version of its
// backend servers to another, on an operators' order.
//
// One instance, the acting one, evaluates the new version and makes each step. The step
// is State, which is stored with compare-and-set and spread to all instances. The maps
// follow it by Share, and each gate by Admission and Gate, so that a version which is not
// in force gets nothing else. It addresses versions of which a part of the responses fail
// or are several times slower, at once, later, under load or on one route.
//
// Roller, Gate and Judge are pure state machines: they read no clock, open no socket and
// start no goroutine.
//
// # Usage
//
//	ro := roller.New(self, roller.WithBounds(bounds))
//	ro.Observe(state, now, wallAt)
//	ro.SetOrder(order, configVersion, now)
//	ro.SetFleet(fleet)
//	for _, po := range ro.Polls(now) { ... ro.Report(po.To, report, now) }
//	if next, ok := ro.Propose(now, wallAt); ok { ... compare-and-set, then Observe }
//	if st, ok := ro.StatusDue(now); ok { ... write, then ro.StatusWritten(st, now) }
package roller

import (
	"slices"

	"cornellanding.example/core/timer"
)

// FullShare is the share of a member that gets as many keys as any other. Shares are in
// eighths of that.
const FullShare = 8

// Phase is the phase of a rollout.
type Phase string

const (
	// Stable means that only the version in force gets requests.
	Stable Phase = "stable"
	// Canary means that a few servers of the new version get requests.
	Canary Phase = "canary"
	// Ramp means that more servers of it do so, step by step.
	Ramp Phase = "ramp"
	// Moving means that the maps give everything to the new version, while requests that
	// reach the old servers still run.
	Moving Phase = "moving"
	// Closing means that the old servers get nothing and their running requests end.
	Closing Phase = "closing"
)

// Outcome is what operators are told of an order.
type Outcome string

// The outcomes of an order.
const (
	Running    Outcome = "running"
	Complete   Outcome = "complete"
	RolledBack Outcome = "rolledBack"
)

// Order is an operators' order to move a service to a version.
type Order struct {
	// ID grows with each order that operators write, also for the same service.
	ID       uint64
	Service  string
	To       string
	Duration timer.Span
}

// State is the stored state of a service's versions.
type State struct {
	Service string
	// Version grows by one with each change.
	Version uint64
	// InForce is the version of the servers that get requests without an order.
	InForce string
	// Order is the latest order that was taken up, and Outcome how far it has come. Both
	// are zero before the first one.
	Order   Order
	Outcome Outcome
	Phase   Phase
	// Step counts the steps of the ramp.
	Step int
	// Canaries names the backend servers of the new version that get requests in the
	// canary and the ramp, each with Share eighths of a full share.
	Canaries []string
	Share    uint32
	// Actor is the incarnation of the acting instance, and Term grows with each change of
	// it.
	Actor uint64
	Term  uint64
	// DeadlineAt is the order's deadline in milliseconds since 1970. An instance that
	// becomes the acting one derives its own deadline from it, bounded by the duration.
	DeadlineAt int64
	// Seen is a lower bound of the requests that reached the service since the order, and
	// Granted an upper bound of those that gates may have started on the new version. Lost
	// is the part of the latter that former canaries may have started.
	Seen    uint64
	Granted uint64
	Lost    uint64
}

// IsActive reports whether an order is being carried out.
func (st State) IsActive() bool { return st.Phase != Stable && st.Phase != "" }

// ShareOf returns the share in eighths that the maps give the named backend server of a
// version. A server of an unknown version counts as one of the version in force: the
// instance beside it doesn't know rollouts.
func (st State) ShareOf(server, version string) uint32 {
	if version == "" {
		return FullShare
	}
	switch st.Phase {
	case Moving, Closing:
		return fullIf(version == st.Order.To)
	case Canary, Ramp:
		if version == st.Order.To && slices.Contains(st.Canaries, server) {
			return min(st.Share, FullShare)
		}
	}
	return fullIf(version == st.InForce)
}

func fullIf(isFull bool) uint32 {
	if isFull {
		return FullShare
	}
	return 0
}

// Admission says which requests a gate may start.
type Admission int

const (
	// AdmitNone means that the server gets no requests.
	AdmitNone Admission = iota
	// AdmitGranted means that it gets as many as the acting instance granted.
	AdmitGranted
	// AdmitAll means that it gets all.
	AdmitAll
)

// AdmissionOf returns the admission of the named backend server of a version.
func (st State) AdmissionOf(server, version string) Admission {
	switch {
	case st.Phase == Moving && (version == st.Order.To || version == st.InForce):
		return AdmitAll
	case st.Phase == Closing && version == st.Order.To:
		return AdmitAll
	case st.Phase == Closing || st.Phase == Moving:
		return AdmitNone
	case version == st.InForce:
		return AdmitAll
	case st.ShareOf(server, version) > 0:
		return AdmitGranted
	default:
		return AdmitNone
	}
}

// First returns the first state of a service, whose version in force is the one that most
// of the servers have, or false if there are none of a known version.
func First(service string, versions []string) (State, bool) {
	counts := map[string]int{}
	inForce := ""
	for _, version := range slices.Sorted(slices.Values(versions)) {
		if version == "" {
			continue
		}
		counts[version]++
		if counts[version] > counts[inForce] {
			inForce = version
		}
	}
	return State{Service: service, Version: 1, InForce: inForce, Phase: Stable}, inForce != ""
}
