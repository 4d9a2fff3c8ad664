package injector

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cornellanding.example/bench/launcher"
	"cornellanding.example/bench/loader"
	"cornellanding.example/instance/administrator"
)

const (
	retryInterval = 50 * time.Millisecond
	quietTime     = 400 * time.Millisecond
	withdrawn     = "patos"
	floodFactor   = 10
	flooded       = "sobral"
)

// Step is something that goes on while a fault begins and ends.
type Step struct {
	Name string
	// Flood multiplies one workspace's load.
	Flood float64
	// Run does the step and checks what must hold once the fault has ended.
	// It tries again what the fault refuses.
	Run func(ctx context.Context, ca *Case, ended <-chan struct{}) error
}

// Steps lists the steps of the matrix.
func Steps() []Step {
	return []Step{
		{Name: "request", Run: func(context.Context, *Case, <-chan struct{}) error { return nil }},
		{Name: "takeover", Run: takeover},
		{Name: "handover", Run: handover},
		{Name: "grant", Flood: floodFactor, Run: func(context.Context, *Case, <-chan struct{}) error { return nil }},
		{Name: "catalogue change", Run: catalogueChange},
		{Name: "withdrawal", Run: withdrawal},
		{Name: "drain", Run: drain},
		{Name: "data centre out and back", Run: outAndBack},
	}
}

func takeover(_ context.Context, ca *Case, ended <-chan struct{}) error {
	ca.de.KillVM(ca.other.Name)
	<-ended
	return ca.de.ReplaceVM(ca.other.Name)
}

func handover(_ context.Context, ca *Case, ended <-chan struct{}) error {
	if err := ca.de.StopInstance(ca.other.Name); err != nil {
		return err
	}
	<-ended
	return ca.de.ReplaceVM(ca.other.Name)
}

// until tries until it succeeds.
func until(ctx context.Context, what string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return fmt.Errorf("injector: %s: %w", what, err)
		}
	}
}

// edit commits a change through any instance, as an operator would.
func (ca *Case) edit(ctx context.Context, body administrator.WireEdit) error {
	var last error
	for _, vm := range ca.de.VMs() {
		cl := administrator.NewClient(vm.AdminAddress, ca.de.OperatorKey)
		present, err := cl.Config(ctx)
		if err != nil {
			last = err
			continue
		}
		body.From, body.Operator = present.Version, "injector"
		if _, last = cl.Edit(ctx, body); last == nil {
			return nil
		}
	}
	return last
}

// catalogueChange lets two operators race, and checks that what was accepted is
// in force everywhere and that no instance goes back.
func catalogueChange(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	seen := map[string]uint64{}
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- ca.neverBack(ctx, seen, stop) }()
	errs := make(chan error, 2)
	for _, backendServer := range []string{ca.other.Name, ca.entry.Name} {
		go func() {
			errs <- until(ctx, "edit", func() error {
				return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDrain, BackendServer: backendServer})
			})
		}()
	}
	err := errors.Join(<-errs, <-errs)
	<-ended
	err = errors.Join(err, until(ctx, "in force everywhere", func() error { return ca.inForce(ctx) }))
	close(stop)
	return errors.Join(err, <-done)
}

func (ca *Case) neverBack(ctx context.Context, seen map[string]uint64, stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(retryInterval):
		}
		for _, vm := range ca.de.VMs() {
			st, err := ca.de.Status(ctx, vm)
			key := fmt.Sprint(vm.Name, st.Incarnation)
			if err == nil && st.ConfigVersion < seen[key] {
				return fmt.Errorf("invariant 12: %s went from configuration %d to %d", vm.Name, seen[key], st.ConfigVersion)
			}
			seen[key] = max(seen[key], st.ConfigVersion)
		}
	}
}

func (ca *Case) inForce(ctx context.Context) error {
	config, err := administrator.NewClient(ca.entry.AdminAddress, ca.de.OperatorKey).Config(ctx)
	if err != nil {
		return err
	}
	wanted := []string{ca.other.Name, ca.entry.Name}
	for _, name := range wanted {
		if !slices.Contains(config.Drained, name) {
			return fmt.Errorf("invariant 12: %s is not drained in %v", name, config.Drained)
		}
	}
	for _, vm := range ca.de.VMs() {
		st, err := ca.de.Status(ctx, vm)
		if err != nil || st.ConfigVersion != config.Version {
			return fmt.Errorf("invariant 12: %s is at configuration %d, not %d: %w", vm.Name, st.ConfigVersion, config.Version, err)
		}
	}
	return nil
}

// withdrawal ends a key, and checks that every entry refuses it in the end, and
// that none honours it again.
func withdrawal(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	err := until(ctx, "withdrawal", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindWithdraw, Workspace: withdrawn})
	})
	if err != nil {
		return err
	}
	if err := until(ctx, "the end of the key", ca.allRefuse); err != nil {
		return err
	}
	<-ended
	for range 5 {
		for _, entry := range ca.de.Entries() {
			if status, _ := ca.order(entry, withdrawn, "late"); status == http.StatusOK {
				return errors.New("invariant 5: a withdrawn key works again")
			}
		}
	}
	return nil
}

func (ca *Case) allRefuse() error {
	for _, entry := range ca.de.Entries() {
		status, body := ca.order(entry, withdrawn, "withdrawn")
		isRefused := strings.Contains(body, "unknownKey") || strings.Contains(body, "keysNotFresh")
		if !isRefused {
			return fmt.Errorf("invariant 5: a withdrawn key gets status %d at %s: %s", status, entry, body)
		}
	}
	return nil
}

// drain gives a backend server no new work, and checks that none arrives once
// the fault has ended.
func drain(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	err := until(ctx, "drain", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDrain, BackendServer: ca.other.Name})
	})
	if err != nil {
		return err
	}
	<-ended
	return until(ctx, "invariant 10: no new work", func() error { return ca.quiet(ca.other) })
}

// quiet reports an error if a VM's server began work in the last moments.
func (ca *Case) quiet(vms ...*launcher.VM) error {
	for _, vm := range vms {
		before := len(vm.Server.Records())
		time.Sleep(quietTime)
		if after := len(vm.Server.Records()); after != before {
			return fmt.Errorf("%s ran %d more", vm.Name, after-before)
		}
	}
	return nil
}

// outAndBack takes a data centre out, checks that it gets no new work, and
// returns it.
func outAndBack(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	centre := ca.other.DataCentre
	err := until(ctx, "data centre out", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDataCentreOut, DataCentre: centre})
	})
	if err != nil {
		return err
	}
	<-ended
	err = until(ctx, "invariant 4: no new work", func() error { return ca.quiet(ca.other) })
	if err != nil {
		return err
	}
	return until(ctx, "data centre back", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDataCentreReturn, DataCentre: centre})
	})
}

// order sends one order for the hottest key, with a body of its own.
func (ca *Case) order(entry, workspace, body string) (int, string) {
	return loader.SendOrder(entry, ca.de.Keys[workspace], body)
}
