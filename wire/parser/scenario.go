package parser

import (
	"errors"

	"cornellanding.example/core/timer"
)

// WorkspaceKey is a workspace's key in a load scenario.
type WorkspaceKey struct {
	Workspace string
	Key       string
}

// Scenario describes a load on running instances.
type Scenario struct {
	// Catalogue is the path of the catalogue whose routes are called.
	Catalogue string
	Entries   []string
	Keys      []WorkspaceKey
	// Rate is in requests a second.
	Rate     float64
	Duration timer.Span
	Seed     uint64
	Flood    Flood
}

// Flood multiplies one workspace's share of the load.
type Flood struct {
	Workspace string
	Factor    float64
}

const (
	defaultScenarioRate = 100
	defaultScenarioSpan = 10 * timer.Second
)

// ParseScenario parses a load scenario. File is used in errors only. The error
// joins one *FieldError for each fault.
func ParseScenario(file string, content []byte) (Scenario, error) {
	doc, root := open(file, content)
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
		ob.close()
	}
	for _, ob := range root.list("keys") {
		sc.Keys = append(sc.Keys, WorkspaceKey{Workspace: ob.required("workspace"), Key: ob.text("key")})
		ob.close()
	}
	if len(sc.Entries) == 0 {
		root.fail("entries", root.fields["entries"], "at least one is needed")
	}
	flood := root.child("flood", false)
	sc.Flood = Flood{Workspace: flood.text("workspace"), Factor: flood.number("factor", 1)}
	flood.close()
	root.close()
	return sc, errors.Join(doc.errs...)
}
