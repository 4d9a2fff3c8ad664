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
	// quietTime is how long a drained backend server must get no requests.
	quietTime          = 400 * time.Millisecond
	withdrawnWorkspace = "patos"
	floodFactor        = 10
	floodedWorkspace   = "sobral"
)

// Step is an operation on the deployment that runs while faults begin and end.
type Step struct {
	Name string
	// Flood multiplies the load of one workspace. Zero leaves it unchanged.
	Flood float64
	// Run executes the step, retries what faults make fail, and checks the
	// step's guarantees once ended is closed.
	Run func(ctx context.Context, ca *Case, ended <-chan struct{}) error
}

// Steps returns the steps of the matrix.
func Steps() []Step {
	return []Step{
		{Name: "request", Run: func(context.Context, *Case, <-chan struct{}) error { return nil }},
		{Name: "takeover", Run: takeover},
		{Name: "handover", Run: handover},
		{Name: "grant", Flood: floodFactor, Run: func(context.Context, *Case, <-chan struct{}) error { return nil }},
		{Name: "catalogue change", Run: catalogueChange},
		{Name: "withdrawal", Run: withdrawal},
		{Name: "drain", Run: drain},
		{Name: "data centre out and back", Run: evacuateAndReturn},
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

// retryUntil calls try until it succeeds. If ctx ends first, it returns the
// last error of try.
func retryUntil(ctx context.Context, what string, try func() error) error {
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

// edit commits a change through the administration API of the first instance
// that accepts it.
func (ca *Case) edit(ctx context.Context, body administrator.WireEdit) error {
	var last error
	for _, vm := range ca.de.VMs() {
		cl := administrator.NewClient(vm.AdminAddress, ca.de.OperatorKey)
		current, err := cl.Config(ctx)
		if err != nil {
			last = err
			continue
		}
		body.From, body.Operator = current.Version, "injector"
		if _, last = cl.Edit(ctx, body); last == nil {
			return nil
		}
	}
	return last
}

// catalogueChange commits two edits of the configuration concurrently. It checks
// that both changes are in force at every instance in the end, and that no
// instance returns to an older version.
func catalogueChange(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	seen := map[string]uint64{}
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- ca.checkVersionsNeverFall(ctx, seen, stop) }()
	errs := make(chan error, 2)
	for _, backendServer := range []string{ca.other.Name, ca.entry.Name} {
		go func() {
			errs <- retryUntil(ctx, "edit", func() error {
				return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDrain, BackendServer: backendServer})
			})
		}()
	}
	err := errors.Join(<-errs, <-errs)
	<-ended
	err = errors.Join(err, retryUntil(ctx, "changes in force at every instance", func() error { return ca.checkInForce(ctx) }))
	close(stop)
	return errors.Join(err, <-done)
}

// checkVersionsNeverFall polls every instance and returns an error if the
// configuration version of an incarnation decreases.
func (ca *Case) checkVersionsNeverFall(ctx context.Context, seen map[string]uint64, stop <-chan struct{}) error {
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
				return fmt.Errorf("invariant 12: configuration of %s fell from version %d to %d", vm.Name, seen[key], st.ConfigVersion)
			}
			seen[key] = max(seen[key], st.ConfigVersion)
		}
	}
}

// checkInForce returns an error unless both drains are in the configuration and
// every instance has its version.
func (ca *Case) checkInForce(ctx context.Context) error {
	config, err := administrator.NewClient(ca.entry.AdminAddress, ca.de.OperatorKey).Config(ctx)
	if err != nil {
		return err
	}
	wanted := []string{ca.other.Name, ca.entry.Name}
	for _, name := range wanted {
		if !slices.Contains(config.Drained, name) {
			return fmt.Errorf("invariant 12: %s is missing from the drained backend servers %v", name, config.Drained)
		}
	}
	for _, vm := range ca.de.VMs() {
		st, err := ca.de.Status(ctx, vm)
		if err != nil || st.ConfigVersion != config.Version {
			return fmt.Errorf("invariant 12: %s has configuration version %d, want %d: %w", vm.Name, st.ConfigVersion, config.Version, err)
		}
	}
	return nil
}

// withdrawal withdraws a workspace's key, and checks that every instance
// eventually refuses it and that none accepts it again.
func withdrawal(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	err := retryUntil(ctx, "withdrawal", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindWithdraw, Workspace: withdrawnWorkspace})
	})
	if err != nil {
		return err
	}
	if err := retryUntil(ctx, "refusal of the withdrawn key by every instance", ca.checkKeyRefused); err != nil {
		return err
	}
	<-ended
	for range 5 {
		for _, entry := range ca.de.Entries() {
			if status, _ := ca.order(entry, withdrawnWorkspace, "late"); status == http.StatusOK {
				return errors.New("invariant 5: a withdrawn key is accepted again")
			}
		}
	}
	return nil
}

// checkKeyRefused returns an error unless every running instance refuses the
// withdrawn key.
func (ca *Case) checkKeyRefused() error {
	for _, entry := range ca.de.Entries() {
		status, body := ca.order(entry, withdrawnWorkspace, "withdrawn")
		isRefused := strings.Contains(body, "unknownKey") || strings.Contains(body, "keysNotFresh")
		if !isRefused {
			return fmt.Errorf("invariant 5: a withdrawn key gets status %d at %s: %s", status, entry, body)
		}
	}
	return nil
}

// drain drains a backend server, and checks that no new requests reach it once
// the fault has ended.
func drain(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	err := retryUntil(ctx, "drain", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDrain, BackendServer: ca.other.Name})
	})
	if err != nil {
		return err
	}
	<-ended
	return retryUntil(ctx, "invariant 10: no new work", func() error { return ca.checkNoNewWork(ca.other) })
}

// checkNoNewWork returns an error if a VM's backend server records a request
// within quietTime. It observes the VMs one after the other.
func (ca *Case) checkNoNewWork(vms ...*launcher.VM) error {
	for _, vm := range vms {
		before := len(vm.Server.Records())
		time.Sleep(quietTime)
		if after := len(vm.Server.Records()); after != before {
			return fmt.Errorf("%s ran %d more requests", vm.Name, after-before)
		}
	}
	return nil
}

// evacuateAndReturn takes a data centre out, checks that one of its backend
// servers gets no new requests, and returns the data centre.
func evacuateAndReturn(ctx context.Context, ca *Case, ended <-chan struct{}) error {
	centre := ca.other.DataCentre
	err := retryUntil(ctx, "data centre out", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDataCentreOut, DataCentre: centre})
	})
	if err != nil {
		return err
	}
	<-ended
	err = retryUntil(ctx, "invariant 4: no new work", func() error { return ca.checkNoNewWork(ca.other) })
	if err != nil {
		return err
	}
	return retryUntil(ctx, "data centre back", func() error {
		return ca.edit(ctx, administrator.WireEdit{Kind: administrator.KindDataCentreReturn, DataCentre: centre})
	})
}

// order sends one order for the hottest key and returns its status and body, or
// status 0 if no answer was received.
func (ca *Case) order(entry, workspace, body string) (int, string) {
	return loader.SendOrder(entry, ca.de.Keys[workspace], body)
}
