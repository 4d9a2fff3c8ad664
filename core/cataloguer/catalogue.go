// Package cataloguer holds the operators' catalogue and the rest of the agreed
// configuration as plain structs, validates them and derives new versions.
//
// # Usage
//
//	cat := cataloguer.Catalogue{ ... }
//	if err := cataloguer.Validate(cat); err != nil {
//		var fe *cataloguer.FieldError
//		errors.As(err, &fe) // fe.Field is "services[2].owner"
//	}
//
// The structs carry no tags. Package parser maps them from YAML and package
// encoder to and from their stored form.
package cataloguer

import "cornellanding.example/core/timer"

// ServiceClass tells how a service's keys relate to its backend servers.
type ServiceClass string

const (
	// Exclusive services split their keys: each key has one owner.
	Exclusive ServiceClass = "exclusive"
	// Shared services serve any key on any of their backend servers.
	Shared ServiceClass = "shared"
)

// Priority orders routes when load must be shed. A lower value is kept longer.
// The catalogue's names stand for the first three values.
type Priority uint8

// PriorityCount is how many priorities the gate tells apart.
const PriorityCount = 8

// The priorities, by their names in the catalogue: "payment", "interactive"
// and "background".
const (
	Payment Priority = iota
	Interactive
	Background
)

// PriorityNames lists the catalogue's names in the order of the values.
var PriorityNames = []string{"payment", "interactive", "background"}

// Access tells who may call a route.
type Access string

const (
	// OpenAccess lets anyone call the route, without a key.
	OpenAccess Access = "open"
	// WorkspaceAccess asks for the key of a workspace.
	WorkspaceAccess Access = "workspace"
)

// DataCentre is a place whose VMs fail together.
type DataCentre struct {
	Name   string
	Region string
}

// ServiceLimits bounds the work on one backend server of a service.
type ServiceLimits struct {
	Slots       int
	Connections int
	Queue       int
	// ColdStartSlots is the concurrency of a backend server that just
	// started, and ColdStart how long it is taken to be cold.
	ColdStartSlots int
	ColdStart      timer.Span
	// ColdRate is how many requests a second a cold backend server bears, 0 if
	// only its concurrency is bounded.
	ColdRate float64
}

// Service is one kind of backend server.
type Service struct {
	Name       string
	Owner      string
	Class      ServiceClass
	Partitions uint32
	// Fenced says that the backend servers check fencing epochs.
	Fenced bool
	// KeySpace is how many keys there are if keys are numbers from 0, else 0.
	KeySpace uint32
	Limits   ServiceLimits
}

// Workspace is a tenant.
type Workspace struct {
	Name  string
	Owner string
	// Rate is in requests a second over all VMs, Burst in requests.
	Rate  float64
	Burst float64
	// HasPriority says that Priority goes before that of the route.
	HasPriority bool
	Priority    Priority
	// IsUnlimited lifts rate and burst.
	IsUnlimited bool
}

// KeySource tells where a route's entity key stands in a request.
type KeySource string

const (
	// KeyFromPath takes the segment "{key}" of the route's path.
	KeyFromPath KeySource = "path"
	// KeyFromHeader takes a header's value.
	KeyFromHeader KeySource = "header"
	// KeyFromQuery takes a query parameter.
	KeyFromQuery KeySource = "query"
	// KeyAbsent is for routes of shared services that name no entity.
	KeyAbsent KeySource = "none"
)

// Split is a service's weight among those of a route.
type Split struct {
	Service string
	Weight  float64
}

// Route maps requests to a service, by method and path pattern, or by host and
// path prefix if Prefix is set.
type Route struct {
	Name    string
	Service string
	Method  string
	Path    string
	// Host and Prefix select requests of any method. Among the routes of a
	// host the longest prefix wins.
	Host   string
	Prefix string
	// Splits spread the route's requests over several services by weight. If
	// there are any, Service is unused.
	Splits []Split
	// MaxAttempts is to how many backend servers one request may be sent, 0 if
	// only the retry budget bounds it.
	MaxAttempts int
	// TargetLatency is within which an answer is worth most, 0 if not set.
	TargetLatency timer.Span
	Access        Access
	Idempotent    bool
	Priority      Priority
	KeySource     KeySource
	// KeyName is the header's or parameter's name.
	KeyName string
	Timeout timer.Span
}

// Catalogue is what operators edit.
type Catalogue struct {
	DataCentres []DataCentre
	Services    []Service
	Workspaces  []Workspace
	Routes      []Route
}

// DigestSize is the size of a key's digest in bytes.
const DigestSize = 32

// Digest is the SHA-256 digest of a workspace's key.
type Digest [DigestSize]byte

// WorkspaceKey is a granted key. The key itself is never kept.
type WorkspaceKey struct {
	Digest    Digest
	Workspace string
}

// Change records who made a version of the configuration.
type Change struct {
	// ID is unique to the attempt, so that a lost answer can be resolved.
	ID       string
	Version  uint64
	Operator string
	Summary  string
	// At is the wall clock in milliseconds since 1970, for people only.
	At int64
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	// MaxBody is in bytes, 0 for the forwarder's own limit.
	MaxBody int64
}

// Config is the whole agreed configuration at one version.
type Config struct {
	Version uint64
	// Origin identifies the operators' state that the configuration was derived
	// from, if it is kept elsewhere. Two versions of one origin are alike.
	Origin    string
	Callers   CallerLimits
	Catalogue Catalogue
	Keys      []WorkspaceKey
	// DrainedServers names backend servers that get no new work.
	DrainedServers []string
	// DrainedDataCentres names data centres that get no new work.
	DrainedDataCentres []string
	// Changes holds the latest changes, newest last.
	Changes []Change
}
