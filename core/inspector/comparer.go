package inspector

import (
	"fmt"
	"slices"
	"strings"

	"cornellanding.example/core/cataloguer"
)

// Difference is one change between two configurations.
type Difference struct {
	// Subject is the changed entry, such as "route reserve".
	Subject string
	// Change says what changes, from the former value to the next.
	Change string
	// RefusesCallers is set if requests that were served before may be refused.
	RefusesCallers bool
}

type comparison struct {
	differences []Difference
}

func (cm *comparison) report(subject, change string, refusesCallers bool) {
	cm.differences = append(cm.differences, Difference{Subject: subject, Change: change, RefusesCallers: refusesCallers})
}

// changed reports a value that differs.
func (cm *comparison) changed(subject, field string, before, after any, refusesCallers bool) {
	if before != after {
		cm.report(subject, fmt.Sprintf("%s from %v to %v", field, before, after), refusesCallers)
	}
}

// Compare returns what changes from one configuration to the next: routes, services,
// workspaces, keys and callers' limits.
func Compare(before, after cataloguer.Config) []Difference {
	cm := &comparison{}
	compareNamed(cm, "route", before.Catalogue.Routes, after.Catalogue.Routes, func(rt cataloguer.Route) string { return rt.Name }, cm.route)
	compareNamed(cm, "service", before.Catalogue.Services, after.Catalogue.Services, func(sv cataloguer.Service) string { return sv.Name }, cm.service)
	compareNamed(cm, "workspace", before.Catalogue.Workspaces, after.Catalogue.Workspaces, func(ws cataloguer.Workspace) string { return ws.Name }, cm.workspace)
	cm.keys(before.WorkspaceKeys, after.WorkspaceKeys)
	cm.drained("data centre", before.DrainedDataCentres, after.DrainedDataCentres)
	cm.drained("backend server", before.DrainedServers, after.DrainedServers)
	cm.callers(before.Callers, after.Callers)
	return cm.differences
}

// compareNamed reports the entries that one list lacks and compares those in both.
func compareNamed[T any](cm *comparison, kind string, before, after []T, nameOf func(T) string, compare func(subject string, before, after T)) {
	for _, former := range before {
		if !slices.ContainsFunc(after, func(en T) bool { return nameOf(en) == nameOf(former) }) {
			cm.report(kind+" "+nameOf(former), "removed", true)
		}
	}
	for _, next := range after {
		i := slices.IndexFunc(before, func(en T) bool { return nameOf(en) == nameOf(next) })
		if i < 0 {
			cm.report(kind+" "+nameOf(next), "added", false)
			continue
		}
		compare(kind+" "+nameOf(next), before[i], next)
	}
}

func (cm *comparison) route(subject string, before, after cataloguer.Route) {
	cm.changed(subject, "requests", matchOf(before), matchOf(after), true)
	cm.changed(subject, "services", servicesOf(before), servicesOf(after), false)
	cm.changed(subject, "access", before.Access, after.Access, after.Access == cataloguer.WorkspaceAccess)
	cm.changed(subject, "timeout", before.Timeout.Duration(), after.Timeout.Duration(), after.Timeout < before.Timeout)
	cm.changed(subject, "target latency", before.TargetLatency.Duration(), after.TargetLatency.Duration(), false)
	cm.changed(subject, "attempts", before.MaxAttempts, after.MaxAttempts, false)
	cm.changed(subject, "priority", before.Priority, after.Priority, false)
	cm.changed(subject, "idempotent", before.Idempotent, after.Idempotent, false)
	cm.changed(subject, "key", keyOf(before), keyOf(after), true)
}

func matchOf(rt cataloguer.Route) string {
	if rt.Prefix != "" {
		return rt.Host + rt.Prefix
	}
	return rt.Method + " " + rt.Path
}

func keyOf(rt cataloguer.Route) string {
	return strings.TrimSpace(string(rt.KeySource) + " " + rt.KeyName)
}

// servicesOf describes where a route sends its requests, with the weights of a split.
func servicesOf(rt cataloguer.Route) string {
	if len(rt.Splits) == 0 {
		return rt.Service
	}
	var parts []string
	for _, sp := range rt.Splits {
		parts = append(parts, fmt.Sprintf("%s:%v", sp.Service, sp.Weight))
	}
	return strings.Join(parts, ",")
}

func (cm *comparison) service(subject string, before, after cataloguer.Service) {
	bl, al := before.Limits, after.Limits
	cm.changed(subject, "class", before.Class, after.Class, true)
	cm.changed(subject, "partitions", before.Partitions, after.Partitions, true)
	cm.changed(subject, "slots", bl.Slots, al.Slots, al.Slots < bl.Slots)
	cm.changed(subject, "connections", bl.Connections, al.Connections, al.Connections < bl.Connections)
	cm.changed(subject, "queue", bl.Queue, al.Queue, al.Queue < bl.Queue)
	cm.changed(subject, "cold start", bl.ColdStart.Duration(), al.ColdStart.Duration(), al.ColdStart > bl.ColdStart)
	isRateLower := al.ColdRate > 0 && (bl.ColdRate == 0 || al.ColdRate < bl.ColdRate)
	cm.changed(subject, "cold rate", bl.ColdRate, al.ColdRate, isRateLower)
}

func (cm *comparison) workspace(subject string, before, after cataloguer.Workspace) {
	cm.changed(subject, "rate", rateOf(before), rateOf(after), isLower(before, after))
	cm.changed(subject, "burst", before.Burst, after.Burst, !after.IsUnlimited && after.Burst < before.Burst)
	cm.changed(subject, "priority", priorityOf(before), priorityOf(after), false)
}

func rateOf(ws cataloguer.Workspace) string {
	if ws.IsUnlimited {
		return "unlimited"
	}
	return fmt.Sprint(ws.Rate)
}

func isLower(before, after cataloguer.Workspace) bool {
	return !after.IsUnlimited && (before.IsUnlimited || after.Rate < before.Rate)
}

func priorityOf(ws cataloguer.Workspace) string {
	if !ws.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(ws.Priority)
}

// keys reports granted and withdrawn keys by their number: a key itself is never known.
func (cm *comparison) keys(before, after []cataloguer.WorkspaceKey) {
	for _, change := range []struct {
		from, to       []cataloguer.WorkspaceKey
		word           string
		refusesCallers bool
	}{{before, after, "withdrawn", true}, {after, before, "granted", false}} {
		counts := map[string]int{}
		for _, wk := range change.from {
			if !slices.Contains(change.to, wk) {
				counts[wk.Workspace]++
			}
		}
		for _, wk := range change.from {
			if counts[wk.Workspace] > 0 {
				cm.report("workspace "+wk.Workspace, fmt.Sprintf("%d keys %s", counts[wk.Workspace], change.word), change.refusesCallers)
				delete(counts, wk.Workspace)
			}
		}
	}
}

func (cm *comparison) drained(kind string, before, after []string) {
	for _, name := range before {
		if !slices.Contains(after, name) {
			cm.report(kind+" "+name, "returned", false)
		}
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			cm.report(kind+" "+name, "taken out", false)
		}
	}
}

func (cm *comparison) callers(before, after cataloguer.CallerLimits) {
	cm.limit("largest body", before.MaxBody, after.MaxBody)
}

// limit reports a limit on callers, where 0 means the default.
func (cm *comparison) limit(field string, before, after int64) {
	cm.changed("callers", field, before, after, after > 0 && (before == 0 || after < before))
}
