// Package soaker is a randomised soak test. It runs instances as processes under
// load, injects faults from outside by a seeded plan, and checks the platform's
// guarantees on what clients and backend servers observed.
//
// The instances run the released program. Clients, backend servers, the
// platform's store and the relays between them run in the soak's own process.
// There is no relay between two instances, so only a paused process cuts them
// off from each other.
//
// # Usage
//
//	rp, err := soaker.Run(ctx, soaker.Settings{Program: "./cornellanding", Folder: dir, Seed: 7, Duration: 30 * time.Second, VMs: 6, Rate: 60})
//	for _, violation := range rp.Violations { fmt.Println(violation) }
package soaker

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Settings configure a soak.
type Settings struct {
	// Program is the path of the instances' executable.
	Program string
	// Folder gets each VM's settings and log, and holds.txt, which lists the
	// holders of each key range over time.
	Folder string
	// Seed determines the faults and the load.
	Seed uint64
	// Duration is how long faults are injected. The soak ends recoveryLimit and
	// a few seconds later.
	Duration time.Duration
	// VMs is the number of VMs, at least 3. Every third runs the service that
	// does not own keys.
	VMs int
	// Rate is the load in requests per second.
	Rate float64
	// Restores makes the store come back from an older copy now and then, beside the faults.
	Restores bool
	// Progress, if not nil, receives one line of text per event.
	Progress func(text string)
}

// Report is the result of a soak.
type Report struct {
	Faults   int
	Requests int
	// Statuses counts answers by HTTP status, with 0 for broken connections.
	Statuses map[int]int
	// Violations lists violated guarantees, at most maxViolations.
	Violations []string
}

// recoveredSpan is how long requests are sent after recoveryLimit. Those of
// tenants without a rate limit must succeed.
const recoveredSpan = 3 * time.Second

const minVMs = 3

func (se Settings) progressf(format string, args ...any) {
	if se.Progress != nil {
		se.Progress(fmt.Sprintf(format, args...))
	}
}

// Run runs one soak. Violations are in the report; the error says that the soak
// could not be run.
func Run(ctx context.Context, se Settings) (Report, error) {
	if se.VMs < minVMs || se.Rate <= 0 || se.Duration <= 0 {
		return Report{}, errors.New("soaker: at least 3 VMs, and a rate and a duration above 0, are required")
	}
	check := &verifier{}
	fl, err := startFleet(ctx, se, check)
	if err != nil {
		if fl != nil {
			fl.close()
		}
		return Report{}, err
	}
	ld := newLoad(fl, se)
	loadCtx, endLoad := context.WithCancel(ctx)
	done := make(chan []attempt, 1)
	go func() { done <- ld.run(loadCtx) }()
	pl := newPlan(fl, se)
	pl.run(ctx)
	ld.recoveredAt.Store(time.Now().Add(recoveryLimit).UnixNano())
	select {
	case <-time.After(recoveryLimit + recoveredSpan):
	case <-ctx.Done():
	}
	endLoad()
	attempts := <-done
	fl.close()
	hi := history{attempts: attempts, withdrawals: pl.withdrawals, tenants: fl.config.Tenants}
	for _, one := range fl.vms {
		for _, bs := range one.serverRuns {
			hi.servers = append(hi.servers, historyOf(bs))
		}
	}
	check.verifyHistory(hi)
	if err := hi.write(filepath.Join(se.Folder, "holds.txt")); err != nil {
		return Report{}, err
	}
	rp := Report{Faults: pl.count, Requests: len(attempts), Statuses: map[int]int{}, Violations: check.list()}
	for _, at := range attempts {
		rp.Statuses[at.answer.Status]++
	}
	return rp, nil
}
