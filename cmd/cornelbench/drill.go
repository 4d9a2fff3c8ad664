package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"cornellanding.example/bench/driller"
)

type drillCommand struct {
	Binary   string        `long:"binary" required:"true" description:"Path of the cornellanding program"`
	Fault    []string      `long:"fault" description:"Fault to apply; all in turn if none is named"`
	For      time.Duration `long:"for" default:"8s" description:"How long the load of each drill lasts"`
	Rate     float64       `long:"rate" default:"200" description:"Requests a second"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the load"`
	Unfenced bool          `long:"unfenced" description:"Backend servers do not check fencing epochs"`
	Keep     bool          `long:"keep" description:"Keep the folder with settings and logs"`
	JSON     bool          `long:"json" description:"Print reports as JSON"`
}

// Execute implements flags.Commander. It fails if an invariant was broken.
func (dc *drillCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	faults := driller.Faults
	if len(dc.Fault) > 0 {
		faults = nil
		for _, name := range dc.Fault {
			faults = append(faults, driller.Fault(name))
		}
	}
	isBroken := false
	for _, fault := range faults {
		rp, err := driller.Run(context.Background(), driller.Settings{
			Router: dc.Binary, Bench: self, Fault: fault, Duration: dc.For, Rate: dc.Rate, Seed: dc.Seed,
			Unfenced: dc.Unfenced, KeepFiles: dc.Keep,
			Progress: func(text string) { fmt.Fprintln(os.Stderr, text) },
		})
		if err != nil {
			return fmt.Errorf("%s: %w", fault, err)
		}
		fmt.Printf("== %s, seed %d\n", fault, dc.Seed)
		if dc.JSON {
			err = rp.WriteJSON(os.Stdout)
		} else {
			err = rp.WriteTable(os.Stdout)
		}
		if err != nil {
			return err
		}
		isBroken = isBroken || len(rp.Violations) > 0
	}
	if isBroken {
		return errFailed
	}
	return nil
}
