// Package soaker runs instances as processes of their own for a while, harms
// them from outside by a seeded plan, and checks what clients and backend servers
// see.
//
// The instances run the program that is delivered. Clients, backend servers, the
// platform's store and the relays between them run in the soak's own process.
// Between two instances there is no relay: they are cut off from each other by
// pauses only.
//
// # Usage
//
//	rp, err := soaker.Run(ctx, soaker.Settings{Program: "./cornellanding", Folder: dir, Seed: 7, For: 30 * time.Second, VMs: 6, Rate: 60})
//	for _, broken := range rp.Broken { fmt.Println(broken) }
package soaker

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Settings describe a soak.
type Settings struct {
	// Program is the path of the program that instances run.
	Program string
	// Folder gets the settings, the log of each VM, and a list of who held which
	// keys when.
	Folder string
	// Seed decides on the faults and the load.
	Seed uint64
	// Duration is how long faults go on. The soak ends recoveryLimit and a few
	// seconds later.
	Duration time.Duration
	// VMs is how many VMs there are, 3 or more, a third of them of a service
	// without keys.
	VMs int
	// Rate is how many requests are sent a second.
	Rate float64
	// Progress is told what happens, if set.
	Progress func(text string)
}

// Report tells how a soak went.
type Report struct {
	Faults   int
	Requests int
	// Statuses counts answers, with 0 for broken connections.
	Statuses map[int]int
	// Violations lists broken promises.
	Violations []string
}

// calmSpan is how long requests are sent after the time to recover.
const calmSpan = 3 * time.Second

const minVMs = 3

func (se Settings) say(format string, args ...any) {
	if se.Progress != nil {
		se.Progress(fmt.Sprintf(format, args...))
	}
}

// Run runs one soak. The error is a soak that could not be run.
func Run(ctx context.Context, se Settings) (Report, error) {
	if se.VMs < minVMs || se.Rate <= 0 || se.Duration <= 0 {
		return Report{}, errors.New("soaker: at least 3 VMs, a rate and a time above 0 are needed")
	}
	check := &watch{}
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
	ld.calmAt.Store(time.Now().Add(recoveryLimit).UnixNano())
	select {
	case <-time.After(recoveryLimit + calmSpan):
	case <-ctx.Done():
	}
	endLoad()
	attempts := <-done
	fl.close()
	hi := history{attempts: attempts, withdrawals: pl.withdrawals, tenants: fl.config.Tenants}
	for _, one := range fl.vms {
		for _, bs := range one.past {
			hi.servers = append(hi.servers, historyOf(bs))
		}
	}
	check.judge(hi)
	if err := hi.write(filepath.Join(se.Folder, "holds.txt")); err != nil {
		return Report{}, err
	}
	rp := Report{Faults: pl.count, Requests: len(attempts), Statuses: map[int]int{}, Violations: check.list()}
	for _, at := range attempts {
		rp.Statuses[at.answer.Status]++
	}
	return rp, nil
}
