package driller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/loader"
	"cornellanding.example/bench/reporter"
	"cornellanding.example/core/placer"
	"cornellanding.example/standin/emulator"
)

// Fault names what a drill does to the processes.
type Fault string

// The faults.
const (
	// KillOwner kills the instance that owns the hottest key.
	KillOwner Fault = "killOwner"
	// FreezeOwner pauses that instance with SIGSTOP for longer than a lease
	// term, then resumes it.
	FreezeOwner Fault = "freezeOwner"
	// StopOwner stops that instance gracefully.
	StopOwner Fault = "stopOwner"
	// TableDown makes the platform's table fail for a third of the duration.
	TableDown Fault = "tableDown"
	// FreezeTwo pauses that instance and another of its service at once, as
	// FreezeOwner does.
	FreezeTwo Fault = "freezeTwo"
	// LoseAnswers kills the instance that owns the hottest key and drops the
	// answers to the table's next lostAnswers commits, which take effect.
	LoseAnswers Fault = "loseAnswers"
	// KillDataCentre kills all instances of that instance's data centre.
	KillDataCentre Fault = "killCentre"
)

// Faults lists all faults.
var Faults = []Fault{KillOwner, FreezeOwner, StopOwner, TableDown, FreezeTwo, LoseAnswers, KillDataCentre}

const (
	// faultAt is the time of the fault, as a fraction of the duration of the
	// load.
	faultAt     = 0.3
	freezeSpan  = 1500 * time.Millisecond
	lostAnswers = 3
)

// Settings configure a drill. Duration is the duration of the load, and Rate
// its requests per second.
type Settings struct {
	// Router and Bench are the paths of the cornellanding and cornelbench
	// executables.
	Router   string
	Bench    string
	Fault    Fault
	Duration time.Duration
	Rate     float64
	Seed     uint64
	// Unfenced starts backend servers that do not check fencing epochs.
	Unfenced bool
	// KeepFiles keeps the temporary folder with settings and logs.
	KeepFiles bool
	// Progress, if not nil, receives one line of text per event.
	Progress func(text string)
}

func (se Settings) progressf(format string, args ...any) {
	if se.Progress != nil {
		se.Progress(fmt.Sprintf(format, args...))
	}
}

func newReader(content []byte) io.Reader { return bytes.NewReader(content) }

// Run runs one drill and returns its report. Violated invariants are in the
// report; the error says that the drill could not be run.
func Run(ctx context.Context, se Settings) (reporter.Report, error) {
	fl, err := startFleet(ctx, se)
	if fl != nil {
		defer fl.close()
	}
	if err != nil {
		return reporter.Report{}, err
	}
	se.progressf("%d processes ready, files in %s", 2*len(fl.vms)+1, fl.folder)
	lo, err := loader.New(loader.WithCatalogue(fl.cat), loader.WithKeys(fl.keys), loader.WithEntries(fl.entries),
		loader.WithRate(se.Rate), loader.WithSeed(se.Seed))
	if err != nil {
		return reporter.Report{}, err
	}
	done := make(chan []loader.Result, 1)
	go func() { done <- lo.Run(ctx, se.Duration) }()
	loss, err := fl.injectFault(ctx)
	results := <-done
	if err != nil {
		return reporter.Report{}, err
	}
	servers, err := fl.history()
	if err != nil {
		return reporter.Report{}, err
	}
	hi := checker.History{Catalogue: fl.cat, Results: results, Servers: servers}
	return reporter.New(hi, []reporter.Disruption{loss}), nil
}

// injectFault injects the fault, waits until it has ended, and returns which
// keys it affects.
func (fl *fleet) injectFault(ctx context.Context) (reporter.Disruption, error) {
	time.Sleep(time.Duration(faultAt * float64(fl.se.Duration)))
	tables, err := fl.tables(ctx)
	if err != nil {
		return reporter.Disruption{}, err
	}
	victims := fl.victims(tables)
	lo := reporter.Disruption{Name: string(fl.se.Fault), At: time.Now()}
	lo.Affected = func(service, key string) bool {
		tb := tables[service]
		if tb == nil {
			return false
		}
		owner, _ := tb.Owner(tb.Partition(key))
		for _, machine := range victims {
			if machine.name == owner.BackendServer {
				return true
			}
		}
		return false
	}
	for _, machine := range victims {
		fl.se.progressf("%s: %s", fl.se.Fault, machine.name)
	}
	return lo, fl.apply(victims)
}

// tables reads the partition maps of the exclusive services from the platform.
func (fl *fleet) tables(ctx context.Context) (map[string]*placer.Table, error) {
	tables := map[string]*placer.Table{}
	for _, sv := range fl.cat.Services {
		if sv.Partitions == 0 {
			continue
		}
		ma, err := fl.editor.Map(ctx, sv.Name)
		if err != nil {
			return nil, err
		}
		tables[sv.Name] = placer.NewTable(ma)
	}
	return tables, nil
}

func (fl *fleet) victims(tables map[string]*placer.Table) []*vm {
	var owner *vm
	for _, tb := range tables {
		found, _ := tb.Owner(tb.Partition(loader.HottestKey))
		for _, machine := range fl.vms {
			if machine.name == found.BackendServer {
				owner = machine
			}
		}
	}
	switch fl.se.Fault {
	case FreezeTwo:
		for _, machine := range fl.vms {
			if machine != owner && machine.service.Name == owner.service.Name {
				return []*vm{owner, machine}
			}
		}
	case KillDataCentre:
		var all []*vm
		for _, machine := range fl.vms {
			if machine.dataCentre.Name == owner.dataCentre.Name {
				all = append(all, machine)
			}
		}
		return all
	case TableDown:
		return nil
	}
	return []*vm{owner}
}

func (fl *fleet) apply(victims []*vm) error {
	switch fl.se.Fault {
	case KillOwner, KillDataCentre:
		return fl.each(victims, fl.killInstance)
	case LoseAnswers:
		if err := fl.setPlatformFaults(emulator.PlatformFaults{LoseAnswers: lostAnswers}); err != nil {
			return err
		}
		return fl.each(victims, fl.killInstance)
	case StopOwner:
		return fl.each(victims, fl.stop)
	case FreezeOwner, FreezeTwo:
		return fl.freeze(victims)
	case TableDown:
		return fl.tableDown()
	default:
		return fmt.Errorf("driller: unknown fault %q", fl.se.Fault)
	}
}

func (fl *fleet) each(victims []*vm, act func(*vm) error) error {
	for _, machine := range victims {
		if err := act(machine); err != nil {
			return err
		}
	}
	return nil
}

// freeze pauses processes for longer than a lease term. Callers can still
// connect to their sockets.
func (fl *fleet) freeze(victims []*vm) error {
	for _, machine := range victims {
		if err := machine.instance.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(freezeSpan)
	for _, machine := range victims {
		if err := machine.instance.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

// tableDown makes the table fail for a third of the run, so that the fault ends
// before the run does.
func (fl *fleet) tableDown() error {
	if err := fl.setPlatformFaults(emulator.PlatformFaults{Down: true}); err != nil {
		return err
	}
	time.Sleep(fl.se.Duration / 3)
	return fl.setPlatformFaults(emulator.PlatformFaults{})
}
