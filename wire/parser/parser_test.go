package parser

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"cornellanding.example/core/timer"
	"cornellanding.example/examples"
	"github.com/matryer/is"
)

func example(t testing.TB, read func(string) ([]byte, error), name string) string {
	t.Helper()
	content, err := read(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"sapateira", "kadrs"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cat, err := ParseCatalogue(name, []byte(example(t, examples.Catalogue, name)))
			is.NoErr(err)
			is.Equal(len(cat.Workspaces), 8)
			is.Equal(len(cat.DataCentres), 3)
			text, err := FormatCatalogue(cat)
			is.NoErr(err)
			again, err := ParseCatalogue(name, []byte(text))
			is.NoErr(err)
			is.Equal(again, cat) // what is shown can be applied again
			se, err := ParseSettings(name, []byte(example(t, examples.Settings, name)))
			is.NoErr(err)
			is.Equal(se.LeaseTerm, 700*timer.Millisecond)
		})
	}
}

// badCase replaces a text of a valid file and names the error.
type badCase struct {
	old   string
	new   string
	field string
	value string
	line  int
}

func TestBadCatalogues(t *testing.T) {
	cases := map[string]badCase{
		"unknown field":      {"    fenced: true", "    fence: true", "services[0].fence", "true", 13},
		"missing owner":      {"    owner: balcao@sapateira.example\n    class: exclusive", "    class: exclusive", "services[0].owner", "", 9},
		"limit below zero":   {"      rate: 400", "      rate: -1", "workspaces[0].limits.rate", "-1", 33},
		"duplicate name":     {"name: caruaru", "name: juazeiro", "workspaces[1].name", "juazeiro", 35},
		"no number":          {"slots: 9\n      connections: 130\n      queue: 64\n      coldStartSlots: 2\n      coldStart: 1s\n  - name: archive", "slots: many\n      connections: 130\n      queue: 64\n      coldStartSlots: 2\n      coldStart: 1s\n  - name: archive", "services[0].limits.slots", "many", 15},
		"bad duration":       {"timeout: 10s", "timeout: soon", "routes[3].timeout", "soon", 106},
		"unknown priority":   {"priority: background", "priority: later", "routes[3].priority", "later", 104},
		"field stands twice": {"    class: shared", "    class: shared\n    class: shared", "services[1].class", "shared", 23},
		"not a list":         {"dataCentres:\n  - name: fortaleza\n    region: nordeste\n  - name: natal", "dataCentres: none\nothers:\n  - name: natal", "dataCentres", "none", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			content := example(t, examples.Catalogue, "sapateira")
			_, err := ParseCatalogue("c.yaml", []byte(strings.Replace(content, tc.old, tc.new, 1)))
			tc.check(t, err)
		})
	}
}

func (tc badCase) check(t *testing.T, err error) {
	t.Helper()
	is := is.New(t)
	var fe *FieldError
	is.True(errors.As(err, &fe))
	is.Equal(fe.File, "c.yaml")
	is.Equal(fe.Field, tc.field)
	is.Equal(fe.Value, tc.value)
	is.Equal(fe.Line, tc.line)
}

func TestBadSettings(t *testing.T) {
	cases := map[string]badCase{
		"host name":      {"callerAddress: 127.0.0.1:7000", "callerAddress: localhost:7000", "callerAddress", "localhost:7000", 4},
		"no port":        {"address: 127.0.0.1:7200", "address: 127.0.0.1", "backendServer.address", "127.0.0.1", 12},
		"unknown field":  {"leaseTerm: 700ms", "leaseTime: 700ms", "leaseTime", "700ms", 17},
		"short lease":    {"leaseTerm: 700ms", "leaseTerm: 5ms", "leaseTerm", "5ms", 17},
		"bad level":      {"level: info", "level: loud", "log.level", "loud", 20},
		"secret is bad":  {"fleetKey: 0011", "fleetKey: xx11", "fleetKey", "(not shown)", 15},
		"backend absent": {"backendServer:\n  name: ordering-1\n  service: ordering\n  address: 127.0.0.1:7200\n", "", "backendServer", "", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			content := example(t, examples.Settings, "sapateira")
			_, err := ParseSettings("c.yaml", []byte(strings.Replace(content, tc.old, tc.new, 1)))
			tc.check(t, err)
		})
	}
}

func TestLargeFiles(t *testing.T) {
	is := is.New(t)
	_, err := ParseCatalogue("c.yaml", make([]byte, MaxFileSize+1))
	is.True(err != nil)
	var sb strings.Builder
	sb.WriteString(example(t, examples.Catalogue, "kadrs"))
	for i := range 60_000 {
		fmt.Fprintf(&sb, "  - name: r%d\n    service: booking\n    method: POST\n    path: /r%d/{key}\n    access: workspace\n    keySource: path\n    timeout: 1s\n    priority: payment\n", i, i)
	}
	is.True(sb.Len() > 8<<20)
	cat, err := ParseCatalogue("c.yaml", []byte(sb.String()))
	is.NoErr(err)
	is.True(len(cat.Routes) > 60_000)
}

func TestScenario(t *testing.T) {
	is := is.New(t)
	sc, err := ParseScenario("s.yaml", []byte("catalogue: c.yaml\nrate: 50\nfor: 3s\nentries:\n  - address: 127.0.0.1:7000\nkeys:\n  - workspace: a\n    key: b\n"))
	is.NoErr(err)
	is.Equal(sc.Entries, []string{"127.0.0.1:7000"})
	_, err = ParseScenario("s.yaml", []byte("catalogue: c.yaml\nrate: 0\n"))
	is.True(err != nil)
}

// FuzzCatalogue looks for panics, and for catalogues that are accepted and not
// shown alike.
func FuzzCatalogue(f *testing.F) {
	f.Add(example(f, examples.Catalogue, "sapateira"))
	f.Add(example(f, examples.Catalogue, "kadrs"))
	f.Add("dataCentres: &a [*a]")
	f.Fuzz(func(t *testing.T, content string) {
		cat, err := ParseCatalogue("c.yaml", []byte(content))
		if err != nil {
			return
		}
		text, err := FormatCatalogue(cat)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseCatalogue("c.yaml", []byte(text)); err != nil {
			t.Fatalf("shown catalogue is not accepted: %v", err)
		}
	})
}
