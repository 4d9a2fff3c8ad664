package inspector

import (
	"strings"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// sound returns a configuration without faults.
func sound() cataloguer.Config {
	return cataloguer.Config{
		Catalogue: cataloguer.Catalogue{
			DataCentres: []cataloguer.DataCentre{{Name: "riga-1"}, {Name: "riga-2"}},
			Services: []cataloguer.Service{
				{Name: "booking", Class: cataloguer.Exclusive, Limits: cataloguer.ServiceLimits{Slots: 6, Connections: 60, ColdStart: timer.Second, ColdRate: 6}},
				{Name: "search", Class: cataloguer.Shared, Limits: cataloguer.ServiceLimits{Slots: 6, Connections: 60}},
			},
			Workspaces: []cataloguer.Workspace{{Name: "klaps", Rate: 10, Burst: 5}, {Name: "gaffer", Rate: 4, Burst: 2}},
			Routes: []cataloguer.Route{
				{Name: "reserve", Host: "a.example", Prefix: "/r/", Service: "booking", Access: cataloguer.WorkspaceAccess, Timeout: timer.Second, TargetLatency: timer.Second / 2},
				{Name: "find", Host: "a.example", Prefix: "/f/", Timeout: timer.Second, Splits: []cataloguer.Split{{Service: "booking", Weight: 1}, {Service: "search", Weight: 9}}},
			},
		},
		WorkspaceKeys: []cataloguer.WorkspaceKey{{Digest: cataloguer.Digest{1}, Workspace: "klaps"}, {Digest: cataloguer.Digest{2}, Workspace: "gaffer"}},
	}
}

// TestInspect guards against a fault that isn't reported, and against reports on a sound
// configuration.
func TestInspect(t *testing.T) {
	cases := map[string]struct {
		change   func(co *cataloguer.Config)
		severity Severity
		field    string
	}{
		"hidden route": {func(co *cataloguer.Config) {
			co.Catalogue.Routes[1].Host, co.Catalogue.Routes[1].Prefix = "A.example", "/r/"
		}, Warning, "routes[1]"},
		"prefix without a slash":  {func(co *cataloguer.Config) { co.Catalogue.Routes[0].Prefix = "/r" }, Error, "routes[0].prefix"},
		"no host":                 {func(co *cataloguer.Config) { co.Catalogue.Routes[0].Host = "" }, Error, "routes[0].host"},
		"unknown service":         {func(co *cataloguer.Config) { co.Catalogue.Routes[0].Service = "none" }, Error, "routes[0].service"},
		"part without weight":     {func(co *cataloguer.Config) { co.Catalogue.Routes[1].Splits[0].Weight = 0 }, Warning, "routes[1].splits[0].weight"},
		"unreachable service":     {func(co *cataloguer.Config) { co.Catalogue.Routes[1].Splits = co.Catalogue.Routes[1].Splits[:1] }, Warning, "services[1].name"},
		"target over the timeout": {func(co *cataloguer.Config) { co.Catalogue.Routes[0].TargetLatency = 2 * timer.Second }, Warning, "routes[0].targetLatency"},
		"no timeout": {func(co *cataloguer.Config) {
			co.Catalogue.Routes[0].Timeout, co.Catalogue.Routes[0].TargetLatency = 0, 0
		}, Error, "routes[0].timeout"},
		"key without workspace":   {func(co *cataloguer.Config) { co.WorkspaceKeys[0].Workspace = "none" }, Error, "workspaceKeys[0]"},
		"workspace without a key": {func(co *cataloguer.Config) { co.WorkspaceKeys = co.WorkspaceKeys[:1] }, Warning, "workspaces[1].name"},
		"key of two workspaces":   {func(co *cataloguer.Config) { co.WorkspaceKeys[1].Digest = cataloguer.Digest{1} }, Error, "workspaceKeys[1]"},
		"burst below one":         {func(co *cataloguer.Config) { co.Catalogue.Workspaces[0].Burst = 0.5 }, Warning, "workspaces[0].burst"},
		"cold rate without cold":  {func(co *cataloguer.Config) { co.Catalogue.Services[0].Limits.ColdStart = 0 }, Warning, "services[0].limits.coldRate"},
		"too few connections":     {func(co *cataloguer.Config) { co.Catalogue.Services[0].Limits.Connections = 5 }, Warning, "services[0].limits.connections"},
		"all data centres out":    {func(co *cataloguer.Config) { co.DrainedDataCentres = []string{"riga-1", "riga-2"} }, Error, "drainedDataCentres"},
	}
	is := is.New(t)
	is.Equal(Inspect(sound()), nil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			co := sound()
			tc.change(&co)
			findings := Inspect(co)
			is.True(len(findings) > 0)
			is.Equal(findings[len(findings)-1].Field, tc.field)
			is.Equal(findings[len(findings)-1].Severity, tc.severity)
		})
	}
}

// TestCompare guards against a change that isn't reported or whose effect on callers is
// reported wrongly.
func TestCompare(t *testing.T) {
	is := is.New(t)
	is.Equal(Compare(sound(), sound()), nil)
	next := sound()
	next.Catalogue.Routes[0].Name = "book"
	next.Catalogue.Routes[1].Splits[1].Weight = 1
	next.Catalogue.Workspaces[0].Rate = 5
	next.Catalogue.Workspaces[1].Rate = 8
	next.WorkspaceKeys = next.WorkspaceKeys[:1]
	next.DrainedDataCentres = []string{"riga-2"}
	next.Callers.MaxBody = 1 << 20
	var lines []string
	for _, di := range Compare(sound(), next) {
		mark := ""
		if di.RefusesCallers {
			mark = "!"
		}
		lines = append(lines, mark+di.Subject+": "+di.Change)
	}
	is.Equal(strings.Join(lines, "\n"), `!route reserve: removed
route book: added
route find: services from booking:1,search:9 to booking:1,search:1
!workspace klaps: rate from 10 to 5
workspace gaffer: rate from 4 to 8
!workspace gaffer: 1 keys withdrawn
data centre riga-2: taken out
!callers: largest body from 0 to 1048576`)
}
