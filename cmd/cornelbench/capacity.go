package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cornellanding.example/bench/estimator"
)

type capacityCommand struct {
	Binary  string        `long:"binary" description:"Path of the cornellanding program, to measure one instance among simulated peers"`
	Members []int         `long:"members" description:"Sizes of the fleet; 50, 100, 200, 400 and 880 by default"`
	For     time.Duration `long:"for" default:"10s" description:"How long each size is measured"`
}

// Execute implements flags.Commander.
func (cc *capacityCommand) Execute([]string) error {
	slopes, err := estimator.MeasureComponents()
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, sl := range slopes {
		fmt.Fprintf(tw, "%s\t%.0f %s\t%d allocations\n", sl.Name, sl.Value, sl.Unit, sl.Allocations)
	}
	if err := tw.Flush(); err != nil || cc.Binary == "" {
		return err
	}
	return cc.idle()
}

// idle measures an instance without callers in fleets of several sizes.
func (cc *capacityCommand) idle() error {
	members := cc.Members
	if len(members) == 0 {
		members = []int{50, 100, 200, 400, estimator.Members}
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\nINSTANCES\tPOLLER\tCPU OF A CORE\tMEMORY\tDATAGRAMS\tSIZE\tTABLE READS/S\tWRITES/S")
	for _, isPoller := range []bool{false, true} {
		for _, count := range members {
			id, err := estimator.MeasureIdle(context.Background(), estimator.IdleSettings{
				Binary: cc.Binary, Members: count, Duration: cc.For, IsPoller: isPoller,
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(tw, "%d\t%v\t%.2f%%\t%.1f MB\t%.0f B/s\t%.0f B\t%.2f\t%.2f\n", id.Members, isPoller, 100*id.CPU,
				float64(id.Memory)/1e6, id.DatagramBytes, id.DatagramSize, id.Reads, id.Writes)
		}
	}
	return tw.Flush()
}
