package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cornellanding.example/bench/soaker"
)

type soakCommand struct {
	Binary   string        `long:"binary" required:"true" description:"Path of the cornellanding program"`
	Seed     uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds    int           `long:"seeds" default:"1" description:"How many seeds in a row"`
	Parallel int           `long:"parallel" default:"1" description:"How many at once"`
	For      time.Duration `long:"for" default:"20s" description:"How long faults go on"`
	VMs      int           `long:"vms" default:"6" description:"Number of VMs"`
	Rate     float64       `long:"rate" default:"60" description:"Requests a second"`
	Folder   string        `long:"folder" default:"soak" description:"Folder for the settings and logs of each seed"`
	Restores bool          `long:"restores" description:"The store comes back from older copies now and then"`
	Verbose  bool          `long:"verbose" description:"Print each fault"`
}

// Execute implements flags.Commander. It fails if an invariant was violated.
func (sc *soakCommand) Execute([]string) error {
	if sc.Seeds < 1 || sc.Parallel < 1 {
		return fmt.Errorf("--seeds %d, --parallel %d: must be 1 or more", sc.Seeds, sc.Parallel)
	}
	seeds := make(chan uint64)
	errs := make([]error, sc.Seeds)
	var wg sync.WaitGroup
	for range sc.Parallel {
		wg.Go(func() {
			for seed := range seeds {
				errs[seed-sc.Seed] = sc.runSeed(seed)
			}
		})
	}
	for i := range sc.Seeds {
		seeds <- sc.Seed + uint64(i)
	}
	close(seeds)
	wg.Wait()
	return errors.Join(errs...)
}

// runSeed runs the soak test of one seed and prints its report.
func (sc *soakCommand) runSeed(seed uint64) error {
	folder := filepath.Join(sc.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	se := soaker.Settings{Program: sc.Binary, Folder: folder, Seed: seed, Duration: sc.For, VMs: sc.VMs, Rate: sc.Rate, Restores: sc.Restores}
	if sc.Verbose {
		startedAt := time.Now()
		se.Progress = func(text string) {
			fmt.Fprintf(os.Stderr, "seed %d, %6.3f s: %s\n", seed, time.Since(startedAt).Seconds(), text)
		}
	}
	rp, err := soaker.Run(context.Background(), se)
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %d faults, %d requests, statuses %v, %d broken\n", seed, rp.Faults, rp.Requests, rp.Statuses, len(rp.Violations))
	for _, broken := range rp.Violations {
		fmt.Printf("seed %d: %s\n", seed, broken)
	}
	if len(rp.Violations) > 0 {
		return fmt.Errorf("seed %d: %w", seed, errFailed)
	}
	return nil
}
