package platformer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Tenant is a tenant of a configuration. RatePerS is in requests per second, 0 for
// no limit, and Burst in requests.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// Route is a route of a configuration. Type is Idempotent or NonIdempotent.
type Route struct {
	Name           string  `json:"name"`
	Prefix         string  `json:"prefix"`
	Type           string  `json:"routeType"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"maxAttempts"`
}

// Service is a service of a configuration. ColdPerS is in requests per second. If
// it is sharded, each key is owned by one backend server.
type Service struct {
	Name           string  `json:"name"`
	MaxConnections int     `json:"maxConnections"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
	IsSharded      bool    `json:"sharded"`
	// Grants is how servers get their keys: by ByHeartbeat, also if it is empty, or
	// by ByCall.
	Grants string `json:"grants,omitempty"`
}

// The values of Service.Grants and VMSpec.Grants.
const (
	ByHeartbeat = "heartbeat"
	ByCall      = "call"
)

// Limits bound what a caller may send. 0 means that a limit is not written, except that
// MaxBodyBytes is then 1 MiB.
type Limits struct {
	MaxHeaderBytes int     `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int     `json:"maxBodyBytes"`
	HeaderTimeoutS float64 `json:"headerTimeoutS,omitempty"`
	IdleTimeoutS   float64 `json:"idleTimeoutS,omitempty"`
}

// Config is a configuration as operators write it, with a single virtual host.
type Config struct {
	Version  int
	Host     string
	Services []Service
	Routes   []Route
	Tenants  []Tenant
	Limits   Limits
}

// The values of Route.Type. A request of a NonIdempotent route must not
// be retried once it may have run.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// ReadyPath is the path of an instance's readiness probe.
const ReadyPath = "/cornellanding/ready"

const defaultMaxBodyBytes = 1 << 20

// Encode returns the JSON for the row config of the table op.
func (co Config) Encode() []byte {
	limits := co.Limits
	limits.MaxBodyBytes = cmp.Or(limits.MaxBodyBytes, defaultMaxBodyBytes)
	content, err := json.Marshal(map[string]any{
		"version": co.Version, "services": co.Services, "tenants": co.Tenants,
		"limits":       limits,
		"virtualHosts": []any{map[string]any{"host": co.Host, "paths": co.Routes}},
	})
	if err != nil {
		panic(err) // the types have no field that can't be encoded
	}
	return content
}

// VMSpec describes a VM and what runs on it. All its listeners use its own IP.
type VMSpec struct {
	Name string
	IP   string
	Zone string
	// Zones are the zones of all VMs, possibly repeated.
	Zones   []string
	Service string
	// StoreAddress is the address of the row store, as IP:port.
	StoreAddress string
	// AppAddress is the address of the backend server, as IP:port.
	AppAddress string
	// Grants is how the backend server gets its keys, see Service.Grants.
	Grants string
	// MemoryMB and MaxFDs limit the instance, see limits of the settings. 0 means no
	// limit.
	MemoryMB int
	MaxFDs   int
	// Contracts are the promises in force between the platform and its services.
	Contracts []string
}

// RollOuts is the contract of rollouts.
const RollOuts = "rollout"

// RollOut returns the value of the row rollout/SERVICE of the table op, which orders a
// service to move to a version.
func RollOut(service, to string, durationS float64) []byte {
	content, err := json.Marshal(map[string]any{"service": service, "to": to, "durationS": durationS})
	if err != nil {
		panic(err)
	}
	return content
}

// The ports of every VM. Those for traffic between instances are from FirstPort to
// LastPort.
const (
	OutboundPort = 8365
	InboundPort  = 8366
	ControlPort  = 8367
	ReadyPort    = 8369
	FirstPort    = 7780
	LastPort     = 7795
)

// Address returns the address of a port of the VM, as IP:port.
func (pl VMSpec) Address(port int) string { return fmt.Sprintf("%s:%d", pl.IP, port) }

// Settings returns the content of the VM's settings file, in YAML.
func (pl VMSpec) Settings() []byte {
	var zones strings.Builder
	for _, zone := range slices.Compact(slices.Sorted(slices.Values(pl.Zones))) {
		fmt.Fprintf(&zones, "  %s: region\n", zone)
	}
	limits := ""
	if pl.MemoryMB > 0 || pl.MaxFDs > 0 {
		limits = fmt.Sprintf("limits: {memoryMb: %d, maxFds: %d}\n", pl.MemoryMB, pl.MaxFDs)
	}
	return fmt.Appendf(nil, `node: %s
ip: %s
zone: %s
region: region
zones:
%slisten: {outbound: "%s", inbound: "%s", ready: "%s", control: "%s"}
portRange: [%d, %d]
bounds: ["configApplyS=2", "holdMaxS=10", "graceS=6", "revokeS=5", "retryBudgetRatio=0.2", "budgetSlack=62"]
appAddr: "%s"
service: %s
grants: %s
platform: {address: "%s"}
contracts: [%s]
%s`, pl.Name, pl.IP, pl.Zone, zones.String(), pl.Address(OutboundPort), pl.Address(InboundPort), pl.Address(ReadyPort), pl.Address(ControlPort),
		FirstPort, LastPort, pl.AppAddress, pl.Service, cmp.Or(pl.Grants, ByHeartbeat), pl.StoreAddress, strings.Join(pl.Contracts, ", "), limits)
}
