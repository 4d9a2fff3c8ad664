// Package cataloguer defines the operators' catalogue of services, routes and
// workspaces, and the versioned configuration that contains it. It validates
// catalogues.
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

// ServiceClass determines how a service's keys are assigned to its backend servers.
type ServiceClass string

const (
	// Exclusive services are partitioned: each key has one owner.
	Exclusive ServiceClass = "exclusive"
	// Shared services serve any key on any of their backend servers.
	Shared ServiceClass = "shared"
)

// Priority orders requests when load is shed: higher values are shed first. The
// catalogue has names for the first three values.
type Priority uint8

// PriorityCount is the number of priorities that admission control distinguishes.
const PriorityCount = 8

// The priorities, by their names in the catalogue: "payment", "interactive"
// and "background".
const (
	Payment Priority = iota
	Interactive
	Background
)

// PriorityNames lists the names of priorities in the catalogue, indexed by value.
var PriorityNames = []string{"payment", "interactive", "background"}

// Access determines who may call a route.
type Access string

const (
	// OpenAccess routes need no workspace key.
	OpenAccess Access = "open"
	// WorkspaceAccess routes require the key of a workspace.
	WorkspaceAccess Access = "workspace"
)

// DataCentre is a failure domain: its VMs may fail together.
type DataCentre struct {
	Name   string
	Region string
}

// ServiceLimits bounds the load on one backend server of a service. The counts are
// maxima.
type ServiceLimits struct {
	// Slots is the number of requests that run at once, Connections that of open
	// connections, and Queue that of requests waiting for a slot.
	Slots       int
	Connections int
	Queue       int
	// ColdStartSlots replaces Slots for the duration ColdStart after a backend
	// server's start.
	ColdStartSlots int
	ColdStart      timer.Span
	// ColdRate is the maximum number of requests per second to a cold backend
	// server, 0 for no bound.
	ColdRate float64
}

// Service is a group of backend servers that run the same application.
type Service struct {
	Name string
	// Owner is the contact responsible for the service.
	Owner string
	Class ServiceClass
	// Partitions is 0 for shared services.
	Partitions uint32
	// Fenced reports that the backend servers check fencing epochs.
	Fenced bool
	// KeySpace is the number of keys if keys are integers from 0. It is 0 for string
	// keys.
	KeySpace uint32
	// HealthPath is the path at which the backend servers answer health checks, "" if
	// there is none.
	HealthPath string
	Limits     ServiceLimits
}

// Workspace is a tenant with its rate limit.
type Workspace struct {
	Name string
	// Owner is the contact responsible for the workspace.
	Owner string
	// Rate and Burst define the workspace's token bucket over all VMs, in requests
	// per second and in requests.
	Rate  float64
	Burst float64
	// HasPriority makes Priority override that of the route.
	HasPriority bool
	Priority    Priority
	// IsUnlimited disables the rate limit.
	IsUnlimited bool
}

// KeySource determines which part of a request holds the entity key.
type KeySource string

const (
	// KeyFromPath uses the path segment that matches "{key}" in the route's path.
	KeyFromPath KeySource = "path"
	// KeyFromHeader uses the header KeyName.
	KeyFromHeader KeySource = "header"
	// KeyFromQuery uses the query parameter KeyName.
	KeyFromQuery KeySource = "query"
	// KeyAbsent is for routes of shared services without an entity key.
	KeyAbsent KeySource = "none"
)

// Split is the share of a route's requests that goes to a service.
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
	// Host and Prefix select requests of any method by host and path prefix. Among
	// the routes of a host the longest matching prefix wins.
	Host   string
	Prefix string
	// Splits distribute the route's requests over several services by weight. If
	// there are any, Service is unused.
	Splits []Split
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	// 0 leaves it to the retry budget.
	MaxAttempts int
	// TargetLatency is the latency that answers should stay within, 0 if not set.
	TargetLatency timer.Span
	Access        Access
	Idempotent    bool
	Priority      Priority
	KeySource     KeySource
	// KeyName is the name of the header or query parameter with the entity key.
	KeyName string
	Timeout timer.Span
}

// Catalogue is the part of the configuration that operators edit as a file.
type Catalogue struct {
	DataCentres []DataCentre
	Services    []Service
	Workspaces  []Workspace
	Routes      []Route
}

// DigestSize is the size of a Digest in bytes.
const DigestSize = 32

// Digest is the SHA-256 digest of a workspace's key.
type Digest [DigestSize]byte

// WorkspaceKey grants access to a workspace to callers that present the key with the
// digest. The key itself is never stored.
type WorkspaceKey struct {
	Digest    Digest
	Workspace string
}

// Change records which operator made a version of the configuration.
type Change struct {
	// ID is unique to the attempted write. If the write's answer is lost, finding the
	// ID in the configuration proves that the write took effect.
	ID       string
	Version  uint64
	Operator string
	Summary  string
	// At is the time of the change in milliseconds since 1970. It is for display
	// only.
	At int64
}

// RollOut is an operators' order to move a service to the servers of a version.
type RollOut struct {
	// ID grows with each order written.
	ID      uint64
	Service string
	To      string
	// Duration is how long after the order the move is complete or rolled back.
	Duration timer.Span
}

// CallerLimits bounds the requests of callers.
type CallerLimits struct {
	// MaxBody is the maximum size of a request body in bytes, 0 for the forwarder's
	// default.
	MaxBody int64
	// MaxHead is the maximum size of a request's head in bytes, HeadTimeout the time that
	// a caller has to send it, and IdleTimeout how long a connection is kept without a
	// request. 0 means the default. They are in force only where the settings limit the
	// instance's memory or descriptors.
	MaxHead     int64
	HeadTimeout timer.Span
	IdleTimeout timer.Span
}

// Config is the configuration of all instances at one version.
type Config struct {
	Version uint64
	// Origin identifies the external state that the configuration was derived from,
	// if operators keep it outside the table. Versions with the same origin have the
	// same content.
	Origin string
	// Revision is the operators' own number of the external configuration, which rises with
	// each one that they write. It is 0 if they keep none.
	Revision      uint64
	Callers       CallerLimits
	Catalogue     Catalogue
	WorkspaceKeys []WorkspaceKey
	// DrainedServers names the backend servers that get no new requests.
	DrainedServers []string
	// DrainedDataCentres names the data centres that get no new requests.
	DrainedDataCentres []string
	// RollOuts holds the orders to move services to other versions, at most one a service.
	RollOuts []RollOut
	// Changes holds the latest changes, oldest first.
	Changes []Change
}
