// Package injector runs the fault matrix: every operational step of a deployment
// under load, combined with every fault. It checks the histories of callers and
// backend servers for violated invariants.
//
// # Usage
//
//	for _, ce := range injector.Singles() {
//		err := injector.Run(ctx, ce, seed)
//	}
package injector

import (
	"bytes"
	"context"
	"net/http"

	"cornellanding.example/bench/launcher"
	"cornellanding.example/bench/loader"
	"cornellanding.example/standin/emulator"
)

const (
	slowTableMs = 300
	lostAnswers = 5
	slowFactor  = 20
	loadLagMs   = 2000
	// poison is the body of the request that crashes backend servers, and
	// poisonRepeats the number of instances to which it is sent.
	poison        = "poison"
	poisonRepeats = 3
)

// Fault is a failure that Begin starts and End ends.
type Fault struct {
	Name  string
	Begin func(ca *Case) error
	End   func(ca *Case) error
}

func noFault(*Case) error { return nil }

// Faults returns the faults of the matrix.
func Faults() []Fault {
	return []Fault{
		{Name: "none", Begin: noFault, End: noFault},
		{Name: "owner lost", Begin: func(ca *Case) error { ca.de.KillVM(ca.owner.Name); return nil }, End: func(ca *Case) error { return ca.de.ReplaceVM(ca.owner.Name) }},
		{Name: "owner cut off", Begin: isolate(true, false), End: isolate(false, false)},
		{Name: "entry cut off", Begin: isolate(true, true), End: isolate(false, true)},
		platformFault("table down", emulator.PlatformFaults{Down: true}),
		platformFault("table unreachable", emulator.PlatformFaults{Unreachable: true}),
		platformFault("table slow", emulator.PlatformFaults{DelayMs: slowTableMs}),
		platformFault("answers lost after the write", emulator.PlatformFaults{LoseAnswers: lostAnswers}),
		serverFault("server cold again", emulator.BackendServerFaults{Cold: true}),
		serverFault("server frozen", emulator.BackendServerFaults{Frozen: true}),
		serverFault("slow server with late load reports", emulator.BackendServerFaults{SlowFactor: slowFactor, LoadLagMs: loadLagMs}),
		serverFault("server sheds", emulator.BackendServerFaults{Shed: true}),
		serverFault("server truncates answers and reports itself healthy", emulator.BackendServerFaults{Truncate: true, LieHealthy: true}),
		{Name: "request that crashes servers", Begin: beginPoison, End: endPoison},
	}
}

func isolate(isCut, isEntry bool) func(ca *Case) error {
	return func(ca *Case) error {
		vm := ca.owner
		if isEntry {
			vm = ca.entry
		}
		ca.de.SetIsolated(vm.Name, isCut)
		return nil
	}
}

func platformFault(name string, fa emulator.PlatformFaults) Fault {
	set := func(fa emulator.PlatformFaults) func(ca *Case) error {
		return func(ca *Case) error {
			ca.de.Platform.SetFaults(fa)
			return nil
		}
	}
	return Fault{Name: name, Begin: set(fa), End: set(emulator.PlatformFaults{})}
}

func serverFault(name string, fa emulator.BackendServerFaults) Fault {
	set := func(fa emulator.BackendServerFaults) func(ca *Case) error {
		return func(ca *Case) error {
			ca.owner.Server.SetFaults(fa)
			return nil
		}
	}
	return Fault{Name: name, Begin: set(fa), End: set(emulator.BackendServerFaults{})}
}

// beginPoison sends a request that crashes every backend server that runs it,
// and repeats it at several instances as a retrying caller would.
func beginPoison(ca *Case) error {
	for _, vm := range ca.de.VMs() {
		vm.Server.SetFaults(emulator.BackendServerFaults{CrashOn: poison})
	}
	entries := ca.de.Entries()
	for i := range poisonRepeats {
		re, err := http.NewRequest(http.MethodGet, "http://"+entries[i]+"/stock/"+loader.HottestKey, bytes.NewReader([]byte(poison)))
		if err != nil {
			return err
		}
		re.Header.Set("Authorization", "Bearer "+ca.de.Keys[ca.de.Catalogue.Workspaces[0].Name])
		if answer, err := http.DefaultClient.Do(re); err == nil {
			answer.Body.Close()
		}
		ca.restartCrashed()
	}
	return nil
}

func endPoison(ca *Case) error {
	for _, vm := range ca.de.VMs() {
		vm.Server.SetFaults(emulator.BackendServerFaults{})
	}
	ca.restartCrashed()
	return nil
}

// restartCrashed counts and restarts crashed backend servers, as the supervisor
// on each VM would.
func (ca *Case) restartCrashed() {
	for _, vm := range ca.de.VMs() {
		if vm.Server.Counts().Crashed {
			ca.crashes++
			vm.Server.Restart()
		}
	}
}

// Case is the deployment on which one cell of the matrix runs.
type Case struct {
	de *launcher.Deployment
	// owner is the VM that owns the hottest key.
	owner *launcher.VM
	// entry and other are VMs of the exclusive service that do not own the
	// hottest key. other is in another data centre than the owner.
	entry *launcher.VM
	other *launcher.VM
	// crashes counts the crashes of backend servers.
	crashes int
}

func newCase(ctx context.Context) (*Case, error) {
	de, err := launcher.New()
	if err != nil {
		return nil, err
	}
	if err := de.AwaitReady(ctx); err != nil {
		de.Close()
		return nil, err
	}
	ca := &Case{de: de}
	for service, tb := range de.Tables() {
		owner, _ := tb.Owner(tb.Partition(loader.HottestKey))
		ca.owner = de.VM(owner.BackendServer)
		for _, vm := range de.VMs() {
			isRest := vm.Service == service && vm.Name != owner.BackendServer
			switch {
			case isRest && ca.entry == nil:
				ca.entry = vm
			case isRest && ca.other == nil && vm.DataCentre != ca.owner.DataCentre:
				ca.other = vm
			}
		}
	}
	return ca, nil
}
