package injector

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/demonstrator"
	"cornellanding.example/bench/loader"
)

const (
	caseTimeout = 60 * time.Second
	faultSpan   = 900 * time.Millisecond
	// loadRate is in requests per second.
	loadRate   = 60
	loadBefore = 200 * time.Millisecond
	loadSpan   = 2 * time.Second
	// healthyWorkspace stays within its rate and keeps its key, so that its
	// orders must succeed after the faults.
	healthyWorkspace = "olinda"
	// maxCrashesPerPoison bounds the backend servers that may crash each time the
	// fault with the poison request begins.
	maxCrashesPerPoison = 2
)

// Cell is one cell of the matrix: a step, and the faults that are active at
// once while it runs.
type Cell struct {
	Step   Step
	Faults []Fault
	// Times is how often the faults begin and end in a row.
	Times int
}

// Name returns a name made of the step, the faults and the repetitions.
func (ce Cell) Name() string {
	name := ce.Step.Name
	for _, fa := range ce.Faults {
		name += ", " + fa.Name
	}
	if ce.Times > 1 {
		name += fmt.Sprintf(", %d times", ce.Times)
	}
	return name
}

// SkipReason returns why the cell is redundant or impossible, or an empty string
// if it should run.
func (ce Cell) SkipReason() string {
	names := map[string]int{}
	for _, fa := range ce.Faults {
		names[fa.Name]++
	}
	isSameServer := names["owner lost"] > 0 && len(ce.Faults) > 1
	switch {
	case len(names) < len(ce.Faults):
		return "a fault combined with itself equals the fault alone"
	case names["none"] > 0 && len(ce.Faults) > 1:
		return "no fault combined with a fault equals the fault alone"
	case isSameServer && (names["owner cut off"] > 0):
		return "a lost VM can't be isolated"
	default:
		return ""
	}
}

// Singles returns every step with every single fault.
func Singles() []Cell {
	var cells []Cell
	for _, sp := range Steps() {
		for _, fa := range Faults() {
			cells = append(cells, Cell{Step: sp, Faults: []Fault{fa}, Times: 1})
		}
	}
	return cells
}

// Repeated returns every step with every single fault, injected twice in a row.
func Repeated() []Cell {
	cells := Singles()
	for i := range cells {
		cells[i].Times = 2
	}
	return cells
}

// Pairs returns every step with every two different faults at once.
func Pairs() []Cell {
	var cells []Cell
	faults := Faults()
	for _, sp := range Steps() {
		for i := range faults {
			for j := i + 1; j < len(faults); j++ {
				cells = append(cells, Cell{Step: sp, Faults: []Fault{faults[i], faults[j]}, Times: 1})
			}
		}
	}
	return cells
}

// Run runs one cell. It returns an error if an invariant was violated, or if
// orders do not succeed at every instance again after the faults.
func Run(ctx context.Context, ce Cell, seed uint64) error {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	ca, err := newCase(ctx)
	if err != nil {
		return err
	}
	defer ca.de.Close()
	lo, err := loader.New(loader.WithCatalogue(ca.de.Catalogue), loader.WithKeys(ca.de.Keys), loader.WithEntries(ca.de.Entries),
		loader.WithRate(loadRate), loader.WithSeed(seed), loader.WithFlood(floodedWorkspace, max(1, ce.Step.Flood)))
	if err != nil {
		return err
	}
	results := make(chan []loader.Result, 1)
	go func() { results <- lo.Run(ctx, loadSpan) }()
	time.Sleep(loadBefore)
	err = ca.runStep(ctx, ce)
	err = errors.Join(err, retryUntil(ctx, "orders succeed again at every instance", ca.checkOrdersSucceed))
	list := checker.Check(demonstrator.History(ca.de, <-results))
	if len(list) > 0 {
		err = errors.Join(err, errors.New(checker.Summary(list)))
	}
	if ca.crashes > maxCrashesPerPoison*max(1, ce.Times) {
		err = errors.Join(err, fmt.Errorf("a poison request crashed %d backend servers", ca.crashes))
	}
	return err
}

// runStep runs the step while the faults begin and end. Steps learn from a
// closed channel that the last fault has ended.
func (ca *Case) runStep(ctx context.Context, ce Cell) error {
	ended := make(chan struct{})
	done := make(chan error, 1)
	var err error
	for time := range ce.Times {
		for _, fa := range ce.Faults {
			err = errors.Join(err, fa.Begin(ca))
		}
		if time == 0 {
			go func() { done <- ce.Step.Run(ctx, ca, ended) }()
		}
		ca.waitFaultSpan(ctx)
		for _, fa := range ce.Faults {
			err = errors.Join(err, fa.End(ca))
		}
		if time+1 < ce.Times {
			ca.waitFaultSpan(ctx)
		}
	}
	close(ended)
	return errors.Join(err, <-done)
}

func (ca *Case) waitFaultSpan(ctx context.Context) {
	select {
	case <-time.After(faultSpan):
	case <-ctx.Done():
	}
}

// checkOrdersSucceed returns an error unless an order succeeds at every running
// instance.
func (ca *Case) checkOrdersSucceed() error {
	for _, entry := range ca.de.Entries() {
		status, body := ca.order(entry, healthyWorkspace, "flow")
		if status != http.StatusOK {
			return fmt.Errorf("order got status %d at %s: %s", status, entry, body)
		}
	}
	return nil
}
