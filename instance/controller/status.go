package controller

import (
	"fmt"
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/core/warner"
	"cornellanding.example/instance/publisher"
)

// Kinds of the warnings in Status.
const (
	WarningNoLease  = "noLease"
	WarningNotFresh = "notFresh"
	WarningTable    = "tableUnreachable"
	WarningWatchers = "tooFewWatchers"
	WarningHandover = "handoverPending"
)

// maxReadAge is the age of the latest known successful read of the table, by any
// instance, above which WarningTable is raised.
const maxReadAge = 3 * timer.Second

// Status is a snapshot of the control state. Its maps are by service.
type Status struct {
	BackendServer string
	Incarnation   uint64
	IsJoined      bool
	HasLease      bool
	Watchers      []string
	ConfigVersion uint64
	MapVersions   map[string]uint64
	Owned         map[string]int
	Pending       map[string]int
	// HasContact is set if this instance may commit configuration changes: it
	// knows of recent reads of the table by a majority of data centres.
	HasContact bool
	// ReadAge is the age of the latest known read of the table, if HasRead is set.
	ReadAge  timer.Span
	HasRead  bool
	Warnings []warner.Warning
	Now      timer.Instant
}

func (co *Controller) status(now timer.Instant) Status {
	st := Status{
		BackendServer: co.self.BackendServer, Incarnation: co.self.Incarnation, IsJoined: co.isJoined,
		HasLease: co.ho.IsValid(now), ConfigVersion: co.ds.config.Version, Now: now,
		MapVersions: map[string]uint64{}, Owned: map[string]int{}, Pending: map[string]int{},
		HasContact: co.fr.HasContact(now),
	}
	st.ReadAge, st.HasRead = co.fr.ReadAge(now)
	for _, wt := range co.ho.Committed().Watchers {
		st.Watchers = append(st.Watchers, wt.BackendServer)
	}
	for service, tb := range co.ds.tables {
		st.MapVersions[service] = tb.Map.Version
	}
	for service, ow := range co.ownerships {
		st.Pending[service] = len(ow.pending)
		st.Owned[service] = len(co.ds.tables[service].OwnedBy(co.self.Incarnation)) - len(ow.pending)
	}
	co.observe(now)
	st.Warnings = co.warner.Active(now)
	return st
}

// logStateChanges logs when the lease becomes valid or invalid, and when the
// knowledge of withdrawn keys becomes fresh or stale.
func (co *Controller) logStateChanges(now timer.Instant) {
	if hasLease := co.ho.IsValid(now); hasLease != co.hadLease {
		co.hadLease = hasLease
		co.lo.Info("lease validity changed", "isValid", hasLease, "incarnation", co.self.Incarnation,
			"watchers", len(co.ho.Committed().Watchers), "row", sequencer.Format(co.ho.Committed().Version))
	}
	if isFresh := co.pu.IsFresh(); isFresh != co.wasFresh {
		co.wasFresh = isFresh
		age, hasRead := co.fr.ReadAge(now)
		co.lo.Info("freshness of withdrawn keys changed", "isFresh", isFresh, "hasRead", hasRead, "readAge", age.Duration().String(),
			"config", sequencer.Format(co.ds.config.Version), "documents", co.ds.hash)
	}
}

// noteConfig notes when a configuration came in force, and logs it with the peer that sent it,
// 0 for this instance's own read, and the age of the latest successful read known until then.
func (co *Controller) noteConfig(before cataloguer.Config, from uint64, now timer.Instant) {
	if before.Version == co.ds.config.Version {
		return
	}
	co.ds.configStarts = publisher.AddConfigStart(co.ds.configStarts, publisher.ConfigStart{Version: co.ds.config.Version, At: now})
	co.noteOut(before, now)
	age, hasRead := co.fr.ReadAge(now)
	co.lo.Info("configuration in force", "config", sequencer.Format(co.ds.config.Version), "before", sequencer.Format(before.Version),
		"revision", co.ds.config.Revision, "origin", co.ds.config.Origin,
		"from", from, "hasRead", hasRead, "readAge", age.Duration().String())
}

// noteOut notes since when the configuration has this VM out, with a log line for each change.
func (co *Controller) noteOut(before cataloguer.Config, now timer.Instant) {
	isOut := slices.Contains(co.ds.config.DrainedDataCentres, co.self.DataCentre) ||
		slices.Contains(co.ds.config.DrainedServers, co.self.BackendServer)
	wasOut := co.ds.outSince != 0
	switch {
	case isOut == wasOut:
		return
	case !isOut:
		co.ds.outSince = 0
	case before.Version == 0:
		// A former instance may have known it for long.
		co.ds.outSince = co.startedAt.Add(-publisher.OutKeysSpan)
	default:
		co.ds.outSince = now
	}
	co.lo.Info("data centre or backend server taken out or back", "isOut", isOut, "config", sequencer.Format(co.ds.config.Version), "dataCentre", co.self.DataCentre)
}

// observe updates all warnings.
func (co *Controller) observe(now timer.Instant) {
	co.updateShare(now)
	self := co.self.BackendServer
	watchers := len(co.ho.Committed().Watchers)
	pending := 0
	for _, ow := range co.ownerships {
		pending += len(ow.pending)
	}
	conditions := []warner.Condition{
		{Kind: WarningNoLease, Holds: co.isJoined && !co.ho.IsValid(now), Reason: "a majority of the watchers does not acknowledge renewals"},
		{Kind: WarningNotFresh, Holds: co.isJoined && !co.pu.IsFresh(), Reason: "no recent knowledge of withdrawn keys"},
		co.tableCondition(now),
		{Kind: WarningWatchers, Holds: co.isJoined && watchers < 2, Reason: fmt.Sprintf("%d watchers", watchers)},
		{Kind: WarningHandover, Holds: pending > 0, Reason: fmt.Sprintf("%d partitions wait for their former owners", pending)},
	}
	for _, cd := range conditions {
		cd.Subject = self
		co.warner.Observe(cd, now)
	}
}

// tableCondition returns the condition of WarningTable, which holds if no recent
// successful read of the table by any instance is known.
func (co *Controller) tableCondition(now timer.Instant) warner.Condition {
	age, hasRead := co.fr.ReadAge(now)
	reason := "no successful read of the table yet"
	if hasRead {
		reason = fmt.Sprintf("no successful read of the table for %.0f s", age.Duration().Seconds())
	}
	if co.tableError != "" {
		reason += ": " + co.tableError
	}
	return warner.Condition{Kind: WarningTable, Holds: co.isJoined && (!hasRead || age > maxReadAge), Reason: reason}
}
