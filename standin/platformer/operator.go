package platformer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Tenant is a tenant of a configuration. RatePerS and Burst of 0 are no limit.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// Route is a route of a configuration.
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

// Service is a service of a configuration.
type Service struct {
	Name           string  `json:"name"`
	MaxConnections int     `json:"maxConnections"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
	IsSharded      bool    `json:"sharded"`
}

// Config is a configuration as operators write it.
type Config struct {
	Version  int
	Host     string
	Services []Service
	Routes   []Route
	Tenants  []Tenant
}

// The types of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// ReadyPath is where an instance says whether it takes new work.
const ReadyPath = "/cornellanding/ready"

const maxBodyBytes = 1 << 20

// Encode returns the value of the row config in the table op.
func (co Config) Encode() []byte {
	content, err := json.Marshal(map[string]any{
		"version": co.Version, "services": co.Services, "tenants": co.Tenants,
		"limits":       map[string]any{"maxBodyBytes": maxBodyBytes},
		"virtualHosts": []any{map[string]any{"host": co.Host, "paths": co.Routes}},
	})
	if err != nil {
		panic(err) // the types have no field that can't be encoded
	}
	return content
}

// VMSpec says where a VM is and what runs on it. All its addresses are on its own
// IP.
type VMSpec struct {
	Name    string
	IP      string
	Zone    string
	Zones   []string
	Service string
	// StoreAddress is the store's address.
	StoreAddress string
	// AppAddress is where the instance finds the backend server, IP:port.
	AppAddress string
}

// The ports of every VM.
const (
	OutboundPort = 8365
	InboundPort  = 8366
	ControlPort  = 8367
	ReadyPort    = 8369
	firstPort    = 7780
	lastPort     = 7795
)

// Address returns a port of the VM.
func (pl VMSpec) Address(port int) string { return fmt.Sprintf("%s:%d", pl.IP, port) }

// Settings returns the VM's settings file.
func (pl VMSpec) Settings() []byte {
	var zones strings.Builder
	for _, zone := range slices.Compact(slices.Sorted(slices.Values(pl.Zones))) {
		fmt.Fprintf(&zones, "  %s: region\n", zone)
	}
	return fmt.Appendf(nil, `node: %s
ip: %s
zone: %s
region: region
zones:
%slisten: {outbound: "%s", inbound: "%s", ready: "%s", control: "%s"}
portRange: [%d, %d]
bounds: ["holdMaxS=10", "graceS=6", "revokeS=5", "retryBudgetRatio=0.2", "budgetSlack=62"]
appAddr: "%s"
service: %s
platform: {address: "%s"}
`, pl.Name, pl.IP, pl.Zone, zones.String(), pl.Address(OutboundPort), pl.Address(InboundPort), pl.Address(ReadyPort), pl.Address(ControlPort),
		firstPort, lastPort, pl.AppAddress, pl.Service, pl.StoreAddress)
}
