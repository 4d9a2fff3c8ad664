package parser

import (
	"fmt"

	"cornellanding.example/core/cataloguer"
	"go.yaml.in/yaml/v3"
)

type yamlDataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

type yamlServiceLimits struct {
	Slots          int    `yaml:"slots"`
	Connections    int    `yaml:"connections"`
	Queue          int    `yaml:"queue"`
	ColdStartSlots int    `yaml:"coldStartSlots"`
	ColdStart      string `yaml:"coldStart"`
}

type yamlService struct {
	Name       string            `yaml:"name"`
	Owner      string            `yaml:"owner"`
	Class      string            `yaml:"class"`
	Partitions uint32            `yaml:"partitions,omitempty"`
	Fenced     bool              `yaml:"fenced,omitempty"`
	Limits     yamlServiceLimits `yaml:"limits"`
}

type yamlWorkspaceLimits struct {
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
}

type yamlWorkspace struct {
	Name   string              `yaml:"name"`
	Owner  string              `yaml:"owner"`
	Limits yamlWorkspaceLimits `yaml:"limits"`
}

type yamlRoute struct {
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Access     string `yaml:"access"`
	Idempotent bool   `yaml:"idempotent,omitempty"`
	Priority   string `yaml:"priority"`
	KeySource  string `yaml:"keySource"`
	KeyName    string `yaml:"keyName,omitempty"`
	Timeout    string `yaml:"timeout"`
}

type yamlCatalogue struct {
	DataCentres []yamlDataCentre `yaml:"dataCentres"`
	Services    []yamlService    `yaml:"services"`
	Workspaces  []yamlWorkspace  `yaml:"workspaces"`
	Routes      []yamlRoute      `yaml:"routes"`
}

// FormatCatalogue returns a catalogue as YAML. A catalogue that came from ParseCatalogue
// parses to the same catalogue again. Fields without a YAML key, such as Route.Host, are
// omitted. The priorities of routes must have names: it panics on one above Background.
func FormatCatalogue(cat cataloguer.Catalogue) (string, error) {
	var yc yamlCatalogue
	for _, dc := range cat.DataCentres {
		yc.DataCentres = append(yc.DataCentres, yamlDataCentre(dc))
	}
	for _, sv := range cat.Services {
		limits := yamlServiceLimits{
			Slots: sv.Limits.Slots, Connections: sv.Limits.Connections, Queue: sv.Limits.Queue,
			ColdStartSlots: sv.Limits.ColdStartSlots, ColdStart: sv.Limits.ColdStart.Duration().String(),
		}
		yc.Services = append(yc.Services, yamlService{
			Name: sv.Name, Owner: sv.Owner, Class: string(sv.Class), Partitions: sv.Partitions, Fenced: sv.Fenced, Limits: limits,
		})
	}
	for _, ws := range cat.Workspaces {
		limits := yamlWorkspaceLimits{Rate: ws.Rate, Burst: ws.Burst}
		yc.Workspaces = append(yc.Workspaces, yamlWorkspace{Name: ws.Name, Owner: ws.Owner, Limits: limits})
	}
	for _, rt := range cat.Routes {
		yc.Routes = append(yc.Routes, yamlRoute{
			Name: rt.Name, Service: rt.Service, Method: rt.Method, Path: rt.Path, Access: string(rt.Access),
			Idempotent: rt.Idempotent, Priority: cataloguer.PriorityNames[rt.Priority],
			KeySource: string(rt.KeySource), KeyName: rt.KeyName, Timeout: rt.Timeout.Duration().String(),
		})
	}
	content, err := yaml.Marshal(yc)
	if err != nil {
		return "", fmt.Errorf("parser: format: %w", err)
	}
	return string(content), nil
}
