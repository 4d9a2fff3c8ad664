// Package coster measures the overhead that the router adds to a request.
//
// It calls the stand-in of one backend server directly, through the instance of
// the owner, and through another instance, one after the other in one process.
//
// # Usage
//
//	costs, err := coster.Measure(ctx, 2000)
package coster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cornellanding.example/bench/launcher"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/emulator"
)

const (
	startTimeout   = 30 * time.Second
	warmUpRequests = 200
	workers        = 8
	workspace      = "juazeiro"
	path           = "/stock/k1"
	key            = "k1"
	unlimited      = 1_000_000
)

// Cost is the cost of requests sent to one target.
type Cost struct {
	Target string
	// P50 and P99 are latencies of sequential requests.
	P50 time.Duration
	P99 time.Duration
	// CPU is the processor time per request of client, router and stand-in
	// together.
	CPU time.Duration
	// Allocations is the number of heap allocations per request, of all three
	// together.
	Allocations float64
	// Rate is the throughput of concurrent clients on all cores, in requests
	// per second.
	Rate float64
}

type target struct {
	name    string
	address string
}

// Measure sends count sequential requests, and as many concurrent ones rounded
// down to a multiple of workers, to each target. count must be at least 1.
func Measure(ctx context.Context, count int) ([]Cost, error) {
	de, err := launcher.New(launcher.WithBackendOptions(emulator.WithServiceTime(0), emulator.WithSlots(1000), emulator.WithoutRecords()))
	if err != nil {
		return nil, err
	}
	defer de.Close()
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := de.AwaitReady(readyCtx); err != nil {
		return nil, err
	}
	if err := raiseLimit(ctx, de); err != nil {
		return nil, err
	}
	targets, err := targetsOf(de)
	if err != nil {
		return nil, err
	}
	var costs []Cost
	for _, ta := range targets {
		cost, err := measure(ta, de.Keys[workspace], count)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// raiseLimit raises the workspace's rate and burst, so that its limit does not
// affect the measurement.
func raiseLimit(ctx context.Context, de *launcher.Deployment) error {
	cat := de.Catalogue
	cat.Workspaces = slices.Clone(cat.Workspaces)
	for i := range cat.Workspaces {
		if cat.Workspaces[i].Name == workspace {
			cat.Workspaces[i].Rate, cat.Workspaces[i].Burst = unlimited, unlimited
		}
	}
	if err := de.Edit(ctx, administrator.CatalogueApply{Catalogue: cat}); err != nil {
		return err
	}
	// The instances apply the change asynchronously.
	time.Sleep(3 * time.Second)
	return nil
}

func targetsOf(de *launcher.Deployment) ([]target, error) {
	for service, tb := range de.Tables() {
		owner, ok := tb.Owner(tb.Partition(key))
		if !ok {
			continue
		}
		for _, vm := range de.VMs() {
			isOther := vm.Service == service && vm.Name != owner.BackendServer
			if isOther {
				ownerVM := de.VM(owner.BackendServer)
				return []target{
					{name: "direct", address: ownerVM.ServerAddress()},
					{name: "owner's instance", address: ownerVM.CallerAddress},
					{name: "another instance", address: vm.CallerAddress},
				}, nil
			}
		}
	}
	return nil, fmt.Errorf("coster: no owner of key %s in %v services", key, cataloguer.Exclusive)
}

func measure(ta target, workspaceKey string, count int) (Cost, error) {
	client := &http.Client{Transport: receiver.New(&http.Transport{MaxIdleConnsPerHost: workers})}
	defer client.CloseIdleConnections()
	call := func() error { return get(client, "http://"+ta.address+path, workspaceKey) }
	for range warmUpRequests {
		if err := call(); err != nil {
			return Cost{}, fmt.Errorf("coster: %s: %w", ta.name, err)
		}
	}
	cost := Cost{Target: ta.name}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	latencies := make([]time.Duration, 0, count)
	for range count {
		startedAt := time.Now()
		if err := call(); err != nil {
			return Cost{}, fmt.Errorf("coster: %s: %w", ta.name, err)
		}
		latencies = append(latencies, time.Since(startedAt))
	}
	cost.CPU = (processorTime() - cpu) / time.Duration(count)
	runtime.ReadMemStats(&after)
	cost.Allocations = float64(after.Mallocs-before.Mallocs) / float64(count)
	slices.Sort(latencies)
	cost.P50, cost.P99 = latencies[count/2], latencies[count*99/100]
	rate, err := throughput(call, count)
	cost.Rate = rate
	return cost, err
}

func throughput(call func() error, count int) (float64, error) {
	var wg sync.WaitGroup
	errs := make(chan error, workers)
	startedAt := time.Now()
	for range workers {
		wg.Go(func() {
			for range count / workers {
				if err := call(); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return 0, err
	default:
		return float64(count) / time.Since(startedAt).Seconds(), nil
	}
}

func get(client *http.Client, url, workspaceKey string) error {
	re, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	re.Header.Set("Authorization", "Bearer "+workspaceKey)
	answer, err := client.Do(re)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", answer.StatusCode, strings.TrimSpace(string(content)))
	}
	return err
}

// processorTime returns the user and system time of this process so far.
func processorTime() time.Duration {
	var ru syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
