package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"

	"cornellanding.example/bench/coster"
)

type costCommand struct {
	Count int `long:"count" default:"4000" description:"Requests each way"`
}

// Execute implements flags.Commander.
func (cc *costCommand) Execute([]string) error {
	costs, err := coster.Measure(context.Background(), cc.Count)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d cores; CPU and allocations are of client, router and stand-in together\n", runtime.NumCPU())
	fmt.Fprintln(tw, "WAY\tP50\tP99\tCPU\tALLOCATIONS\tREQUESTS/S\tP50 RATIO")
	for _, co := range costs {
		fmt.Fprintf(tw, "%s\t%v\t%v\t%v\t%.0f\t%.0f\t%.2f\n", co.Target, co.P50, co.P99, co.CPU, co.Allocations, co.Rate,
			float64(co.P50)/float64(costs[0].P50))
	}
	return tw.Flush()
}
