// Package parser parses settings, catalogues and load scenarios in YAML. It is strict:
// unknown fields, wrong types and invalid values are errors that give the file, line,
// field and value.
//
// # Usage
//
//	cat, err := parser.ParseCatalogue("catalogue.yaml", content)
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

// ParseCatalogue parses and validates a catalogue. File is the name used in errors. The
// error joins a *FieldError for each invalid field.
func ParseCatalogue(file string, content []byte) (cataloguer.Catalogue, error) {
	doc, root := parseDocument(file, content)
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
	root.rejectUnknownFields()
	if len(doc.errs) == 0 {
		doc.validate(cat)
	}
	return cat, errors.Join(doc.errs...)
}

func dataCentre(ob *object) cataloguer.DataCentre {
	defer ob.rejectUnknownFields()
	return cataloguer.DataCentre{Name: ob.required("name"), Region: ob.required("region")}
}

func service(ob *object) cataloguer.Service {
	defer ob.rejectUnknownFields()
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
	defer limits.rejectUnknownFields()
	sv.Limits.Slots = limits.integer("slots", 0)
	sv.Limits.Connections = limits.integer("connections", 0)
	sv.Limits.Queue = limits.integer("queue", 4*sv.Limits.Slots)
	sv.Limits.ColdStartSlots = limits.integer("coldStartSlots", max(1, sv.Limits.Slots/4))
	sv.Limits.ColdStart = limits.span("coldStart", defaultColdStart)
	return sv
}

func workspace(ob *object) cataloguer.Workspace {
	defer ob.rejectUnknownFields()
	limits := ob.child("limits", true)
	defer limits.rejectUnknownFields()
	return cataloguer.Workspace{
		Name:  ob.required("name"),
		Owner: ob.text("owner"),
		// Validation reports the default as out of bounds if a field is absent.
		Rate:  limits.number("rate", -1),
		Burst: limits.number("burst", -1),
	}
}

func route(ob *object) cataloguer.Route {
	defer ob.rejectUnknownFields()
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

// validate adds the errors of cataloguer.Validate, with their file and line, to doc.
func (doc *document) validate(cat cataloguer.Catalogue) {
	err := cataloguer.Validate(cat)
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return
	}
	for _, one := range joined.Unwrap() {
		var fe *cataloguer.FieldError
		if errors.As(one, &fe) {
			doc.fail(lineOf(doc.root, fe.Field), fe.Field, fe.Value, fe.Reason)
		}
	}
}
