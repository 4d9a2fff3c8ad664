package cataloguer

import (
	"errors"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

func valid() Catalogue {
	return Catalogue{
		DataCentres: []DataCentre{{Name: "riga-1", Region: "riga"}},
		Services: []Service{{
			Name: "booking", Owner: "ops", Class: Exclusive, Partitions: 64,
			Limits: ServiceLimits{Slots: 6, Connections: 60, Queue: 10, ColdStartSlots: 2},
		}},
		Workspaces: []Workspace{{Name: "kinonoma", Owner: "ops", Rate: 10, Burst: 10}},
		Routes: []Route{{
			Name: "reserve", Service: "booking", Method: "POST", Path: "/reservations/{key}",
			Access: WorkspaceAccess, KeySource: KeyFromPath, Timeout: timer.Second,
		}},
	}
}

func TestValidate(t *testing.T) {
	is.New(t).NoErr(Validate(valid()))
	cases := map[string]struct {
		spoil func(cat *Catalogue)
		field string
	}{
		"no data centre":      {func(cat *Catalogue) { cat.DataCentres = nil }, "dataCentres"},
		"bad name":            {func(cat *Catalogue) { cat.Services[0].Name = "Booking!" }, "services[0].name"},
		"no owner":            {func(cat *Catalogue) { cat.Workspaces[0].Owner = " " }, "workspaces[0].owner"},
		"unknown class":       {func(cat *Catalogue) { cat.Services[0].Class = "both" }, "services[0].class"},
		"no slots":            {func(cat *Catalogue) { cat.Services[0].Limits.Slots = 0 }, "services[0].limits.slots"},
		"rate below 0":        {func(cat *Catalogue) { cat.Workspaces[0].Rate = -1 }, "workspaces[0].limits.rate"},
		"burst below 1":       {func(cat *Catalogue) { cat.Workspaces[0].Burst = 0 }, "workspaces[0].limits.burst"},
		"duplicate workspace": {func(cat *Catalogue) { cat.Workspaces = append(cat.Workspaces, cat.Workspaces[0]) }, "workspaces[1].name"},
		"unknown service":     {func(cat *Catalogue) { cat.Routes[0].Service = "none" }, "routes[0].service"},
		"unknown method":      {func(cat *Catalogue) { cat.Routes[0].Method = "FETCH" }, "routes[0].method"},
		"no key in path":      {func(cat *Catalogue) { cat.Routes[0].Path = "/reservations" }, "routes[0].path"},
		"no timeout":          {func(cat *Catalogue) { cat.Routes[0].Timeout = 0 }, "routes[0].timeout"},
		"exclusive needs key": {func(cat *Catalogue) { cat.Routes[0].KeySource = KeyAbsent }, "routes[0].keySource"},
		"bad pattern":         {func(cat *Catalogue) { cat.Routes[0].Path = "/a/{key}/{key}" }, "routes[0].path"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cat := valid()
			tc.spoil(&cat)
			var fe *FieldError
			is.True(errors.As(Validate(cat), &fe))
			is.Equal(fe.Field, tc.field)
		})
	}
}
