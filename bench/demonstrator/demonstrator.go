// Package demonstrator runs the demo: a deployment under load in which an owner
// is killed, and a data centre is taken out and returned.
//
// # Usage
//
//	rp, err := demonstrator.Run(ctx, demonstrator.Settings{Example: "sapateira", Duration: 10 * time.Second, Rate: 400, Seed: 1})
package demonstrator

import (
	"context"
	"fmt"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/launcher"
	"cornellanding.example/bench/loader"
	"cornellanding.example/bench/reporter"
	"cornellanding.example/core/placer"
	"cornellanding.example/instance/administrator"
	"github.com/hashicorp/go-hclog"
)

const (
	startTimeout = 30 * time.Second
	// settleTime is how long after a disruption the partition tables are read.
	settleTime = 1500 * time.Millisecond
	// killAt, outAt and returnAt are the times of the disruptions, as fractions
	// of the run's duration.
	killAt   = 0.2
	outAt    = 0.45
	returnAt = 0.7
)

// Settings configure a demo. The rate is in requests per second.
type Settings struct {
	Example  string
	Duration time.Duration
	Rate     float64
	Seed     uint64
	// Logger is the logger of all instances. If nil, all lines are discarded.
	Logger hclog.Logger
	// Progress, if not nil, receives one line of text per event.
	Progress func(text string)
}

func (se Settings) progressf(format string, args ...any) {
	if se.Progress != nil {
		se.Progress(fmt.Sprintf(format, args...))
	}
}

// Run runs the demo and returns its report. Violated invariants are in the
// report; the error says that the demo could not be run.
func Run(ctx context.Context, se Settings) (reporter.Report, error) {
	var opts []launcher.Option
	opts = append(opts, launcher.WithExample(se.Example))
	if se.Logger != nil {
		opts = append(opts, launcher.WithLogger(se.Logger), launcher.WithSampling(100))
	}
	de, err := launcher.New(opts...)
	if err != nil {
		return reporter.Report{}, err
	}
	defer de.Close()
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	startedAt := time.Now()
	if err := de.AwaitReady(readyCtx); err != nil {
		return reporter.Report{}, err
	}
	se.progressf("%d instances ready after %v", len(de.Entries()), time.Since(startedAt).Round(time.Millisecond))
	return load(ctx, se, de)
}

func load(ctx context.Context, se Settings, de *launcher.Deployment) (reporter.Report, error) {
	lo, err := loader.New(loader.WithCatalogue(de.Catalogue), loader.WithKeys(de.Keys), loader.WithEntries(de.Entries),
		loader.WithRate(se.Rate), loader.WithSeed(se.Seed))
	if err != nil {
		return reporter.Report{}, err
	}
	done := make(chan []loader.Result, 1)
	go func() { done <- lo.Run(ctx, se.Duration) }()
	losses, err := runDisruptions(ctx, se, de)
	results := <-done
	if err != nil {
		return reporter.Report{}, err
	}
	return reporter.New(History(de, results), losses), nil
}

// History combines the callers' results with the records of the deployment's
// backend servers.
func History(de *launcher.Deployment, results []loader.Result) checker.History {
	hi := checker.History{Catalogue: de.Catalogue, Results: results}
	for _, vm := range de.VMs() {
		hi.Servers = append(hi.Servers, checker.Server{
			Name: vm.Name, Service: vm.Service, Records: vm.Server.Records(), Counts: vm.Server.Counts(),
		})
	}
	return hi
}

// runDisruptions kills an owner, then takes a data centre out and returns it,
// at fixed fractions of the run.
func runDisruptions(ctx context.Context, se Settings, de *launcher.Deployment) ([]reporter.Disruption, error) {
	startedAt := time.Now()
	at := func(share float64) {
		time.Sleep(time.Until(startedAt.Add(time.Duration(share * float64(se.Duration)))))
	}
	at(killAt)
	victim := ownerOfHottest(de)
	kill, err := recordDisruption(de, "loss of "+victim.Name, func(me placer.Member) bool { return me.BackendServer == victim.Name }, func() error {
		se.progressf("killing %s", victim.Name)
		de.KillVM(victim.Name)
		return nil
	})
	if err != nil {
		return nil, err
	}
	at(outAt)
	centre := de.Catalogue.DataCentres[len(de.Catalogue.DataCentres)-1].Name
	out, err := recordDisruption(de, "data centre "+centre+" out", func(me placer.Member) bool { return me.DataCentre == centre }, func() error {
		se.progressf("taking data centre %s out", centre)
		return de.Edit(ctx, administrator.DataCentreDrain{DataCentre: centre})
	})
	if err != nil {
		return nil, err
	}
	at(returnAt)
	back, err := recordDisruption(de, "data centre "+centre+" back", func(placer.Member) bool { return false }, func() error {
		se.progressf("returning data centre %s", centre)
		return de.Edit(ctx, administrator.DataCentreDrain{DataCentre: centre, IsReturn: true})
	})
	return []reporter.Disruption{kill, out, back}, err
}

// ownerOfHottest returns the VM that owns the key with the most requests, so
// that many requests are affected by its loss.
func ownerOfHottest(de *launcher.Deployment) *launcher.VM {
	for _, tb := range de.Tables() {
		if owner, ok := tb.Owner(tb.Partition(loader.HottestKey)); ok {
			return de.VM(owner.BackendServer)
		}
	}
	return nil
}

// recordDisruption calls act, waits settleTime, and compares the partition
// tables before and after. isLost reports whether a member loses all its
// partitions through act, so that these must move.
func recordDisruption(de *launcher.Deployment, what string, isLost func(placer.Member) bool, act func() error) (reporter.Disruption, error) {
	before := de.Tables()
	lo := reporter.Disruption{Name: what, At: time.Now()}
	if err := act(); err != nil {
		return lo, err
	}
	time.Sleep(settleTime)
	after := de.Tables()
	moved := map[string]map[uint32]bool{}
	for service, tb := range before {
		moved[service] = map[uint32]bool{}
		for pt := range tb.Map.Partitions {
			was, _ := tb.Owner(pt)
			is, _ := after[service].Owner(pt)
			if isLost(was) {
				lo.NeededPartitions++
			}
			if was.BackendServer != is.BackendServer {
				lo.MovedPartitions++
				moved[service][pt] = true
			}
		}
	}
	lo.Affected = func(service, key string) bool {
		tb := before[service]
		return tb != nil && tb.Map.Partitions > 0 && moved[service][tb.Partition(key)]
	}
	return lo, nil
}
