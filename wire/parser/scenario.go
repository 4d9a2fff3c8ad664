package parser

import (
	"errors"

	"cornellanding.example/core/timer"
)

// WorkspaceKey is the key with which a load scenario calls as a workspace.
type WorkspaceKey struct {
	Workspace string
	Key       string
}

// Scenario describes a load that is generated against running instances.
type Scenario struct {
	// Catalogue is the path of the catalogue whose routes are called.
	Catalogue string
	// Entries lists the addresses, as IP:port, of the instances that are called.
	Entries []string
	Keys    []WorkspaceKey
	// Rate is in requests per second.
	Rate     float64
	Duration timer.Span
	Seed     uint64
	Flood    Flood
}

// Flood multiplies the weight of one workspace among the callers by Factor.
type Flood struct {
	Workspace string
	Factor    float64
}

const (
	defaultScenarioRate = 100
	defaultScenarioSpan = 10 * timer.Second
)

// ParseScenario parses a load scenario. File is the name used in errors. The error joins
// a *FieldError for each invalid field.
func ParseScenario(file string, content []byte) (Scenario, error) {
	doc, root := parseDocument(file, content)
	sc := Scenario{
		Catalogue: root.required("catalogue"),
		Rate:      root.number("rate", defaultScenarioRate),
		Duration:  root.span("for", defaultScenarioSpan),
		Seed:      uint64(max(0, root.integer("seed", 1))),
	}
	if sc.Rate <= 0 {
		root.fail("rate", root.fields["rate"], "must be above 0")
	}
	for _, ob := range root.list("entries") {
		sc.Entries = append(sc.Entries, ob.address("address", true))
		ob.rejectUnknownFields()
	}
	for _, ob := range root.list("keys") {
		sc.Keys = append(sc.Keys, WorkspaceKey{Workspace: ob.required("workspace"), Key: ob.text("key")})
		ob.rejectUnknownFields()
	}
	if len(sc.Entries) == 0 {
		root.fail("entries", root.fields["entries"], "at least one is needed")
	}
	flood := root.child("flood", false)
	sc.Flood = Flood{Workspace: flood.text("workspace"), Factor: flood.number("factor", 1)}
	flood.rejectUnknownFields()
	root.rejectUnknownFields()
	return sc, errors.Join(doc.errs...)
}
