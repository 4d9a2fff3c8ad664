// Package parser reads settings and catalogues from YAML, strictly: an unknown
// field, a wrong type or a bad value is an error that names file, line, field
// and value.
//
// # Usage
//
//	cat, err := parser.Catalogue("catalogue.yaml", content)
//	var fe *parser.FieldError
//	if errors.As(err, &fe) { ... fe.Line ... }
package parser

import (
	"errors"
	"slices"
	"strings"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
)

const (
	defaultPartitions = 256
	defaultTimeout    = 2 * timer.Second
	defaultColdStart  = timer.Second
)

// ParseCatalogue parses and validates a catalogue. File is used in errors only.
// The error joins one *FieldError for each fault.
func ParseCatalogue(file string, content []byte) (cataloguer.Catalogue, error) {
	doc, root := open(file, content)
	var cat cataloguer.Catalogue
	for _, ob := range root.list("dataCentres") {
		cat.DataCentres = append(cat.DataCentres, dataCentre(ob))
	}
	for _, ob := range root.list("services") {
		cat.Services = append(cat.Services, service(ob))
	}
	for _, ob := range root.list("workspaces") {
		cat.Workspaces = append(cat.Workspaces, workspace(ob))
	}
	for _, ob := range root.list("routes") {
		cat.Routes = append(cat.Routes, route(ob))
	}
	root.close()
	if len(doc.errs) == 0 {
		doc.validate(cat)
	}
	return cat, errors.Join(doc.errs...)
}

func dataCentre(ob *object) cataloguer.DataCentre {
	defer ob.close()
	return cataloguer.DataCentre{Name: ob.required("name"), Region: ob.required("region")}
}

func service(ob *object) cataloguer.Service {
	defer ob.close()
	sv := cataloguer.Service{
		Name:   ob.required("name"),
		Owner:  ob.text("owner"),
		Class:  cataloguer.ServiceClass(ob.required("class")),
		Fenced: ob.boolean("fenced"),
	}
	fallback := 0
	if sv.Class == cataloguer.Exclusive {
		fallback = defaultPartitions
	}
	sv.Partitions = uint32(max(0, ob.integer("partitions", fallback)))
	limits := ob.child("limits", true)
	defer limits.close()
	sv.Limits.Slots = limits.integer("slots", 0)
	sv.Limits.Connections = limits.integer("connections", 0)
	sv.Limits.Queue = limits.integer("queue", 4*sv.Limits.Slots)
	sv.Limits.ColdStartSlots = limits.integer("coldStartSlots", max(1, sv.Limits.Slots/4))
	sv.Limits.ColdStart = limits.span("coldStart", defaultColdStart)
	return sv
}

func workspace(ob *object) cataloguer.Workspace {
	defer ob.close()
	limits := ob.child("limits", true)
	defer limits.close()
	return cataloguer.Workspace{
		Name:  ob.required("name"),
		Owner: ob.text("owner"),
		Rate:  limits.number("rate", -1),
		Burst: limits.number("burst", -1),
	}
}

func route(ob *object) cataloguer.Route {
	defer ob.close()
	rt := cataloguer.Route{
		Name:       ob.required("name"),
		Service:    ob.required("service"),
		Method:     ob.required("method"),
		Path:       ob.required("path"),
		Access:     cataloguer.Access(ob.required("access")),
		Idempotent: ob.boolean("idempotent"),
		KeySource:  cataloguer.KeySource(ob.required("keySource")),
		KeyName:    ob.text("keyName"),
		Timeout:    ob.span("timeout", defaultTimeout),
	}
	rt.Priority = priority(ob)
	return rt
}

func priority(ob *object) cataloguer.Priority {
	name := ob.text("priority")
	if name == "" {
		return cataloguer.Interactive
	}
	index := slices.Index(cataloguer.PriorityNames, name)
	if index < 0 {
		ob.fail("priority", ob.fields["priority"], "must be one of "+strings.Join(cataloguer.PriorityNames, ", "))
		return cataloguer.Interactive
	}
	return cataloguer.Priority(index)
}

// validate adds file and line to what the validator finds.
func (doc *document) validate(cat cataloguer.Catalogue) {
	err := cataloguer.Validate(cat)
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return
	}
	for _, one := range joined.Unwrap() {
		var fe *cataloguer.FieldError
		if errors.As(one, &fe) {
			doc.fail(doc.lineOf(fe.Field), fe.Field, fe.Value, fe.Reason)
		}
	}
}

// lineOf returns the line of a field, or of the nearest object around it.
func (doc *document) lineOf(field string) int {
	for field != "" {
		if line, ok := doc.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 1
}
