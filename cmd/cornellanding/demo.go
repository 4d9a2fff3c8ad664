package main

import (
	"context"
	"fmt"
	"time"

	"cornellanding.example/bench/demonstrator"
	"github.com/hashicorp/go-hclog"
)

type demoCommand struct {
	*streams
	For     time.Duration `long:"for" default:"10s" description:"How long the load lasts"`
	Example string        `long:"example" default:"sapateira" choice:"sapateira" choice:"kadrs" description:"Which example to run"`
	Rate    float64       `long:"rate" default:"400" description:"Requests a second"`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the load"`
	JSON    bool          `long:"json" description:"Print the report as JSON"`
	Log     string        `long:"log" description:"Log of all instances on standard error, at this level"`
}

// Execute implements flags.Commander. It fails if an invariant was broken.
func (dc *demoCommand) Execute([]string) error {
	se := demonstrator.Settings{
		Example: dc.Example, Duration: dc.For, Rate: dc.Rate, Seed: dc.Seed,
		Progress: func(text string) { fmt.Fprintln(dc.err, text) },
	}
	if dc.Log != "" {
		se.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(dc.Log), JSONFormat: true, Output: dc.err})
	}
	rp, err := demonstrator.Run(context.Background(), se)
	if err != nil {
		return err
	}
	if dc.JSON {
		err = rp.WriteJSON(dc.out)
	} else {
		err = rp.WriteTable(dc.out)
	}
	if err == nil && len(rp.Violations) > 0 {
		return errFailed
	}
	return err
}
