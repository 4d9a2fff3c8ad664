// Package inspector examines a configuration before it is put into force. It reports
// entries that can never take effect and limits that contradict each other, and what
// changes against the configuration in force.
//
// Package cataloguer decides whether a catalogue is valid at all. What is reported here is
// valid by its form, but most likely not what its author meant.
//
// # Usage
//
//	for _, fi := range inspector.Inspect(config) { ... fi.Field, fi.Reason ... }
//	for _, di := range inspector.Compare(inForce, config) { ... di.RefusesCallers ... }
package inspector

import (
	"fmt"
	"slices"
	"strings"

	"cornellanding.example/core/cataloguer"
)

// Severity is how bad a finding is.
type Severity string

const (
	// Error means that requests fail or that the entry has no meaning.
	Error Severity = "error"
	// Warning means that an entry has no effect, or contradicts another one.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	// Field is the path of the entry, such as "routes[2].prefix".
	Field  string
	Value  string
	Reason string
}

type inspection struct {
	co       cataloguer.Config
	findings []Finding
}

func (in *inspection) report(severity Severity, field, value, reason string) {
	in.findings = append(in.findings, Finding{Severity: severity, Field: field, Value: value, Reason: reason})
}

// Inspect returns the faults of a configuration in the order of its entries.
func Inspect(co cataloguer.Config) []Finding {
	in := &inspection{co: co}
	in.services()
	in.workspaces()
	in.keys()
	in.routes()
	in.callers()
	return in.findings
}

// destinations returns the services to which a route sends requests.
func destinations(rt cataloguer.Route) []string {
	if len(rt.Splits) == 0 {
		return []string{rt.Service}
	}
	var names []string
	for _, sp := range rt.Splits {
		if sp.Weight > 0 {
			names = append(names, sp.Service)
		}
	}
	return names
}

func (in *inspection) services() {
	reached := map[string]bool{}
	for _, rt := range in.co.Catalogue.Routes {
		for _, name := range destinations(rt) {
			reached[name] = true
		}
	}
	seen := map[string]bool{}
	for i, sv := range in.co.Catalogue.Services {
		at := fmt.Sprintf("services[%d]", i)
		if seen[sv.Name] {
			in.report(Error, at+".name", sv.Name, "is a duplicate")
		}
		seen[sv.Name] = true
		if !reached[sv.Name] {
			in.report(Warning, at+".name", sv.Name, "no route leads to this service")
		}
		in.serviceLimits(at+".limits", sv.Limits)
	}
}

func (in *inspection) serviceLimits(at string, li cataloguer.ServiceLimits) {
	if li.Connections > 0 && li.Connections < li.Slots {
		in.report(Warning, at+".connections", fmt.Sprint(li.Connections), fmt.Sprintf("is below the %d slots, which can't all be used", li.Slots))
	}
	switch {
	case li.ColdRate < 0:
		in.report(Error, at+".coldRate", fmt.Sprint(li.ColdRate), "must be 0 or more")
	case li.ColdRate > 0 && li.ColdStart == 0:
		in.report(Warning, at+".coldRate", fmt.Sprint(li.ColdRate), "never applies, since a cold start lasts no time")
	}
}

func (in *inspection) workspaces() {
	keyed := map[string]bool{}
	for _, wk := range in.co.WorkspaceKeys {
		keyed[wk.Workspace] = true
	}
	seen := map[string]bool{}
	for i, ws := range in.co.Catalogue.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		if seen[ws.Name] {
			in.report(Error, at+".name", ws.Name, "is a duplicate")
		}
		seen[ws.Name] = true
		if len(in.co.WorkspaceKeys) > 0 && !keyed[ws.Name] {
			in.report(Warning, at+".name", ws.Name, "has no key, so that nobody can use this workspace")
		}
		switch {
		case ws.IsUnlimited:
		case ws.Rate < 0 || ws.Burst < 0:
			in.report(Error, at+".rate", fmt.Sprint(ws.Rate), "rate and burst must be 0 or more")
		case ws.Rate == 0 && ws.Burst < 1:
			in.report(Warning, at+".rate", fmt.Sprint(ws.Rate), "refuses every request")
		case ws.Burst < 1:
			in.report(Warning, at+".burst", fmt.Sprint(ws.Burst), "is below one request, so that the rate can't be used")
		}
	}
}

func (in *inspection) keys() {
	holders := map[cataloguer.Digest]string{}
	for i, wk := range in.co.WorkspaceKeys {
		at := fmt.Sprintf("workspaceKeys[%d]", i)
		if former, isKnown := holders[wk.Digest]; isKnown && former != wk.Workspace {
			in.report(Error, at, wk.Workspace, "workspace "+former+" has the same key")
		}
		holders[wk.Digest] = wk.Workspace
		isKnown := slices.ContainsFunc(in.co.Catalogue.Workspaces, func(ws cataloguer.Workspace) bool { return ws.Name == wk.Workspace })
		if !isKnown {
			in.report(Error, at, wk.Workspace, "no such workspace")
		}
	}
}

func (in *inspection) routes() {
	firstBy := map[string]string{}
	overridesAll := len(in.co.Catalogue.Workspaces) > 0 && !slices.ContainsFunc(in.co.Catalogue.Workspaces, func(ws cataloguer.Workspace) bool { return !ws.HasPriority })
	for i, rt := range in.co.Catalogue.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		match := rt.Method + " " + rt.Path
		if rt.Prefix != "" {
			match = strings.ToLower(rt.Host) + rt.Prefix
			in.prefix(at, rt)
		}
		if first, isHidden := firstBy[match]; isHidden {
			in.report(Warning, at, match, "never matches: route "+first+" has the same requests and comes first")
		} else {
			firstBy[match] = rt.Name
		}
		in.routeServices(at, rt)
		in.routeLimits(at, rt)
		if rt.Access == cataloguer.WorkspaceAccess && len(in.co.Catalogue.Workspaces) == 0 {
			in.report(Error, at+".access", string(rt.Access), "refuses every request, since there is no workspace")
		}
		if rt.Access == cataloguer.WorkspaceAccess && overridesAll && rt.Priority != 0 {
			in.report(Warning, at+".priority", fmt.Sprint(rt.Priority), "never applies, since every workspace has a priority of its own")
		}
	}
}

func (in *inspection) prefix(at string, rt cataloguer.Route) {
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		in.report(Error, at+".prefix", rt.Prefix, "must begin and end with /")
	}
	if rt.Host == "" {
		in.report(Error, at+".host", rt.Host, "is needed: no request has an empty host")
	}
}

func (in *inspection) routeServices(at string, rt cataloguer.Route) {
	sum := 0.0
	for i, sp := range rt.Splits {
		part := fmt.Sprintf("%s.splits[%d]", at, i)
		in.routeService(part+".service", rt, sp.Service)
		switch {
		case !(sp.Weight >= 0):
			in.report(Error, part+".weight", fmt.Sprint(sp.Weight), "must be 0 or more")
		case sp.Weight == 0:
			in.report(Warning, part+".weight", fmt.Sprint(sp.Weight), "sends no request to "+sp.Service)
		}
		sum += sp.Weight
	}
	switch {
	case len(rt.Splits) == 0:
		in.routeService(at+".service", rt, rt.Service)
	case sum == 0:
		in.report(Error, at+".splits", fmt.Sprint(sum), "no part has a weight above 0")
	}
}

func (in *inspection) routeService(at string, rt cataloguer.Route, name string) {
	i := slices.IndexFunc(in.co.Catalogue.Services, func(sv cataloguer.Service) bool { return sv.Name == name })
	if i < 0 {
		in.report(Error, at, name, "no such service")
		return
	}
	isKeyless := rt.Prefix == "" && rt.KeySource == cataloguer.KeyAbsent
	if in.co.Catalogue.Services[i].Class == cataloguer.Exclusive && isKeyless {
		in.report(Error, at, name, "is split by key, and the route takes no key from its requests")
	}
}

func (in *inspection) routeLimits(at string, rt cataloguer.Route) {
	if rt.Timeout <= 0 {
		in.report(Error, at+".timeout", rt.Timeout.Duration().String(), "must be above 0")
	}
	if rt.TargetLatency > rt.Timeout {
		in.report(Warning, at+".targetLatency", rt.TargetLatency.Duration().String(), "is above the timeout of "+rt.Timeout.Duration().String()+", so that no answer can miss it")
	}
	if rt.MaxAttempts < 0 {
		in.report(Error, at+".maxAttempts", fmt.Sprint(rt.MaxAttempts), "must be 0 or more")
	}
}

func (in *inspection) callers() {
	if in.co.Callers.MaxBody < 0 {
		in.report(Error, "callers.maxBody", fmt.Sprint(in.co.Callers.MaxBody), "must be 0 or more")
	}
	for _, name := range in.co.DrainedDataCentres {
		isKnown := slices.ContainsFunc(in.co.Catalogue.DataCentres, func(dc cataloguer.DataCentre) bool { return dc.Name == name })
		if !isKnown {
			in.report(Warning, "drainedDataCentres", name, "no such data centre")
		}
	}
	if out := len(in.co.DrainedDataCentres); out > 0 && out >= len(in.co.Catalogue.DataCentres) {
		in.report(Error, "drainedDataCentres", strings.Join(in.co.DrainedDataCentres, ","), "no data centre is left")
	}
}
