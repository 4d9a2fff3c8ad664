package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"cornellanding.example/bench/comparer"
)

type compareCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"Seed of arrivals and service times"`
}

// Execute implements flags.Commander.
func (cc *compareCommand) Execute([]string) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SCENARIO\tVERSION\tP99\tREFUSED\tOVERRUNS")
	for _, co := range comparer.All(cc.Seed) {
		for _, row := range []struct {
			version string
			outcome comparer.Outcome
		}{{"naive", co.Naive}, {"ours", co.Ours}} {
			fmt.Fprintf(tw, "%s\t%s\t%v\t%d\t%d\n", co.Name, row.version, row.outcome.P99.Duration(), row.outcome.Refused, row.outcome.Overruns)
		}
	}
	return tw.Flush()
}
