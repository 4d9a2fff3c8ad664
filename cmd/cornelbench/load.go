package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/loader"
	"cornellanding.example/bench/reporter"
	"cornellanding.example/wire/parser"
)

type loadCommand struct {
	Scenario string `long:"scenario" required:"true" description:"Scenario, as YAML"`
	JSON     bool   `long:"json" description:"Print the report as JSON"`
}

// Execute implements flags.Commander. Without the backend servers' records only
// what callers see is reported.
func (lc *loadCommand) Execute([]string) error {
	content, err := os.ReadFile(lc.Scenario)
	if err != nil {
		return err
	}
	sc, err := parser.ParseScenario(lc.Scenario, content)
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(lc.Scenario), sc.Catalogue)
	content, err = os.ReadFile(path)
	if err != nil {
		return err
	}
	cat, err := parser.ParseCatalogue(path, content)
	if err != nil {
		return err
	}
	keys := map[string]string{}
	for _, wk := range sc.Keys {
		keys[wk.Workspace] = wk.Key
	}
	lo, err := loader.New(loader.WithCatalogue(cat), loader.WithKeys(keys), loader.WithRate(sc.Rate), loader.WithSeed(sc.Seed),
		loader.WithFlood(sc.Flood.Workspace, sc.Flood.Factor), loader.WithEntries(func() []string { return sc.Entries }))
	if err != nil {
		return err
	}
	rp := reporter.NewCallerReport(checker.History{Catalogue: cat, Results: lo.Run(context.Background(), sc.Duration.Duration())})
	if lc.JSON {
		return rp.WriteJSON(os.Stdout)
	}
	fmt.Println("measures that callers see; invariants need the backend servers' records")
	return rp.WriteTable(os.Stdout)
}
