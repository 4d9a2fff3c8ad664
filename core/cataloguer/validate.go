package cataloguer

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"cornellanding.example/core/timer"
)

// The bounds of values in a valid catalogue and of what this package keeps. MaxRate
// bounds rates, in requests per second, and bursts, in requests.
const (
	MaxPartitions   = 1 << 16
	MaxSlots        = 10_000
	MaxConnections  = 100_000
	MaxQueue        = 100_000
	MaxRate         = 10_000_000
	MaxColdStart    = 600 * timer.Second
	maxChanges      = 32 // length of the history that AppendChange keeps
	maxNameLength   = 64 // bytes
	maxValueInError = 80 // bytes of a value that FieldError keeps
)

// FieldError reports one invalid field of a catalogue.
type FieldError struct {
	// Field is the path of the field, such as "services[2].owner".
	Field string
	// Value is the invalid value, truncated if it is long.
	Value string
	// Reason describes the error.
	Reason string
}

// Error implements error.
func (er *FieldError) Error() string {
	return fmt.Sprintf("%s: %q: %s", er.Field, er.Value, er.Reason)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// checker collects the errors of a catalogue.
type checker struct {
	errs []error
}

func (ck *checker) fail(field, value, reason string) {
	if len(value) > maxValueInError {
		value = value[:maxValueInError] + "..."
	}
	ck.errs = append(ck.errs, &FieldError{Field: field, Value: value, Reason: reason})
}

func (ck *checker) name(field, value string, seen map[string]bool) {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		ck.fail(field, value, "must be 1 to 64 of a-z, 0-9 and -, and not begin with -")
		return
	}
	if seen[value] {
		ck.fail(field, value, "is a duplicate")
	}
	seen[value] = true
}

func (ck *checker) owner(field, value string) {
	if strings.TrimSpace(value) == "" {
		ck.fail(field, value, "an owner is needed")
	}
}

func (ck *checker) between(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		ck.fail(field, fmt.Sprint(value), fmt.Sprintf("must be from %v to %v", low, high))
	}
}

// Validate checks a catalogue that was parsed from YAML. It does not check priorities,
// nor fields that have no YAML key, such as Route.Host. It returns nil, or all errors
// joined, each a *FieldError.
func Validate(cat Catalogue) error {
	ck := &checker{}
	ck.dataCentres(cat.DataCentres)
	services := ck.services(cat.Services)
	ck.workspaces(cat.Workspaces)
	ck.routes(cat.Routes, services)
	return errors.Join(ck.errs...)
}

func (ck *checker) dataCentres(dcs []DataCentre) {
	seen := map[string]bool{}
	for i, dc := range dcs {
		at := fmt.Sprintf("dataCentres[%d]", i)
		ck.name(at+".name", dc.Name, seen)
		ck.name(at+".region", dc.Region, map[string]bool{})
	}
	if len(dcs) == 0 {
		ck.fail("dataCentres", "", "at least one is needed")
	}
}

func (ck *checker) services(svs []Service) map[string]Service {
	seen := map[string]bool{}
	byName := map[string]Service{}
	for i, sv := range svs {
		at := fmt.Sprintf("services[%d]", i)
		ck.name(at+".name", sv.Name, seen)
		ck.owner(at+".owner", sv.Owner)
		ck.service(at, sv)
		byName[sv.Name] = sv
	}
	if len(svs) == 0 {
		ck.fail("services", "", "at least one is needed")
	}
	return byName
}

func (ck *checker) service(at string, sv Service) {
	switch sv.Class {
	case Exclusive:
		ck.between(at+".partitions", float64(sv.Partitions), 1, MaxPartitions)
	case Shared:
		if sv.Partitions != 0 {
			ck.fail(at+".partitions", fmt.Sprint(sv.Partitions), "a shared service has no partitions")
		}
	default:
		ck.fail(at+".class", string(sv.Class), `must be "exclusive" or "shared"`)
	}
	li := sv.Limits
	ck.between(at+".limits.slots", float64(li.Slots), 1, MaxSlots)
	ck.between(at+".limits.connections", float64(li.Connections), 1, MaxConnections)
	ck.between(at+".limits.queue", float64(li.Queue), 0, MaxQueue)
	ck.between(at+".limits.coldStart", li.ColdStart.Duration().Seconds(), 0, MaxColdStart.Duration().Seconds())
	ck.between(at+".limits.coldStartSlots", float64(li.ColdStartSlots), 1, float64(max(1, li.Slots)))
}

func (ck *checker) workspaces(wss []Workspace) {
	seen := map[string]bool{}
	for i, ws := range wss {
		at := fmt.Sprintf("workspaces[%d]", i)
		ck.name(at+".name", ws.Name, seen)
		ck.owner(at+".owner", ws.Owner)
		ck.between(at+".limits.rate", ws.Rate, 0, MaxRate)
		ck.between(at+".limits.burst", ws.Burst, 1, MaxRate)
	}
}

func (ck *checker) routes(rts []Route, services map[string]Service) {
	names := map[string]bool{}
	paths := map[string]bool{}
	for i, rt := range rts {
		at := fmt.Sprintf("routes[%d]", i)
		ck.name(at+".name", rt.Name, names)
		ck.route(at, rt, services)
		match := rt.Method + " " + rt.Path
		if paths[match] {
			ck.fail(at+".path", match, "another route has this method and path")
		}
		paths[match] = true
	}
	if len(ck.errs) == 0 {
		ck.patterns(rts)
	}
}

// patterns reports paths that http.ServeMux rejects as invalid or as conflicting with
// another route.
func (ck *checker) patterns(rts []Route) {
	mu := http.NewServeMux()
	for i, rt := range rts {
		if reason := register(mu, rt); reason != "" {
			ck.fail(fmt.Sprintf("routes[%d].path", i), rt.Path, reason)
		}
	}
}

// register adds a route's pattern to mu. It returns the message of the panic with which
// mu rejects the pattern, or "".
func register(mu *http.ServeMux, rt Route) (reason string) {
	defer func() {
		if cause := recover(); cause != nil {
			reason = fmt.Sprint(cause)
		}
	}()
	mu.Handle(rt.Method+" "+rt.Path, http.NotFoundHandler())
	return ""
}

func (ck *checker) route(at string, rt Route, services map[string]Service) {
	sv, known := services[rt.Service]
	if !known {
		ck.fail(at+".service", rt.Service, "no such service")
	}
	switch rt.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
	default:
		ck.fail(at+".method", rt.Method, "must be GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if !strings.HasPrefix(rt.Path, "/") {
		ck.fail(at+".path", rt.Path, "must begin with /")
	}
	if rt.Access != OpenAccess && rt.Access != WorkspaceAccess {
		ck.fail(at+".access", string(rt.Access), `must be "open" or "workspace"`)
	}
	if rt.Timeout <= 0 {
		ck.fail(at+".timeout", rt.Timeout.Duration().String(), "must be above 0")
	}
	ck.routeKey(at, rt, known && sv.Class == Exclusive)
}

func (ck *checker) routeKey(at string, rt Route, needsKey bool) {
	switch rt.KeySource {
	case KeyFromPath:
		if !strings.Contains(rt.Path, "{key}") {
			ck.fail(at+".path", rt.Path, "must contain {key}, since the key is taken from the path")
		}
	case KeyFromHeader, KeyFromQuery:
		if rt.KeyName == "" {
			ck.fail(at+".keyName", "", "is needed for a key from a header or the query")
		}
	case KeyAbsent:
		if needsKey {
			ck.fail(at+".keySource", string(rt.KeySource), "an exclusive service needs a key")
		}
	default:
		ck.fail(at+".keySource", string(rt.KeySource), `must be "path", "header", "query" or "none"`)
	}
}

// AppendChange returns a copy of changes with ch appended, limited to the latest 32
// changes.
func AppendChange(changes []Change, ch Change) []Change {
	kept := append([]Change(nil), changes...)
	kept = append(kept, ch)
	if len(kept) > maxChanges {
		kept = kept[len(kept)-maxChanges:]
	}
	return kept
}
