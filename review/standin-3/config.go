package main

import "encoding/json"

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
}

// config is the operator's configuration.
type config struct {
	version int
	routes  []route
	keys    []string
}

func (co config) encode() []byte {
	var paths []any
	for _, ro := range co.routes {
		paths = append(paths, map[string]any{
			"name": ro.name, "prefix": ro.prefix, wire("kind"): ro.kind, "service": ro.service, "timeoutS": 2.0,
			"targetLatencyS": 0.4, "priority": 1, "maxAttempts": 2,
		})
	}
	service := func(name string, isSharded bool) any {
		sv := map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 63, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 6.6}
		if isSharded {
			sv["sharded"], sv["warmS"], sv["grants"] = true, 5.0, "heartbeat"
		}
		return sv
	}
	content, err := json.Marshal(map[string]any{
		"version":     co.version,
		"services":    []any{service("booking", true), service("catalogue", false)},
		"limits":      map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5.0, "idleTimeoutS": 10.0},
		"tenants":     []any{map[string]any{"name": "hule930", wire("keys"): co.keys, wire("rate"): 0, "burst": 0}},
		wire("hosts"): []any{map[string]any{"host": host, "paths": paths}},
	})
	if err != nil {
		panic(err)
	}
	return content
}

const (
	goodKey = "3fexd9dnn2ctnfzs989a"
	leftKey = "7gkwe2mzz5pqarbt441c"
)

// firstConfig is the configuration before traffic.
func firstConfig() config {
	return config{version: 3, keys: []string{goodKey, leftKey}, routes: []route{
		{"consulta", "/consulta/", "idempotent", "booking"},
		{"pedido", "/pedido/", "non_idempotent", "booking"},
		{"projeto", "/projeto/", "idempotent", "catalogue"},
	}}
}
