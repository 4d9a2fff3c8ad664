package crowder_test

import (
	"context"
	"errors"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"cornellanding.example/bench/crowder"
	"cornellanding.example/standin/platformer"
	"github.com/matryer/is"
)

const (
	memoryMB = 96
	maxFDs   = 400
	// vmMemoryMB and vmMaxFDs are the limits of a small VM.
	vmMemoryMB = 184
	vmMaxFDs   = 4100
	// answerLimit bounds the wait for the answer to an ordinary request.
	answerLimit = 20 * time.Second
	sampleEvery = 20 * time.Millisecond
	// settleSpan lets the instances read what the kernel holds of a crowd.
	settleSpan = time.Second
)

// TestCrowd guards against processes that run out of memory or descriptors because of what
// clients hold: each kind of crowd wants several times the limits of the settings.
func TestCrowd(t *testing.T) {
	program := build(t)
	for _, cr := range append(crowder.Crowds(), crowder.CompleteHeads()) {
		t.Run(cr.Name, func(t *testing.T) {
			is := is.New(t)
			fl := start(t, program)
			defer fl.Close()
			wa := watch(fl)
			held := cr.Send(fl.Entry())
			defer held.Close()
			time.Sleep(settleSpan)
			ctx, cancel := context.WithTimeout(t.Context(), answerLimit)
			defer cancel()
			answerErr := errors.Join(fl.AwaitAnswer(ctx, "/read"), fl.AwaitAnswer(ctx, "/bind"))
			peaks, err := wa.stop()
			t.Logf("clients %d, broken %d, peaks %+v", cr.Clients, held.Broken, peaks)
			is.NoErr(err)       // every process lives
			is.NoErr(answerErr) // an ordinary request is answered
			checkLimits(t, peaks)
		})
	}
}

// start starts a fleet with the limits of the crowds.
func start(t *testing.T, program string) *crowder.Fleet {
	t.Helper()
	fl, err := crowder.Start(t.Context(), crowder.Settings{
		Program: program, Folder: t.TempDir(), MemoryMB: memoryMB, MaxFDs: maxFDs,
		Limits: platformer.Limits{MaxHeaderBytes: crowder.MaxHeaderBytes, MaxBodyBytes: crowder.MaxBodyBytes, HeaderTimeoutS: 2, IdleTimeoutS: 10},
	})
	is.New(t).NoErr(err)
	return fl
}

func checkLimits(t *testing.T, peaks map[string]crowder.Usage) {
	t.Helper()
	is := is.New(t)
	for _, us := range peaks {
		is.True(us.PeakBytes <= memoryMB<<20) // resident memory stays within the limit
		is.True(us.Descriptors <= maxFDs)     // descriptors stay within the limit
	}
}

// build builds the program without the race detector, which multiplies the memory.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "cornellanding")
	out, err := exec.Command("go", "build", "-race=false", "-o", program, "cornellanding.example/cmd/cornellanding").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// TestSingleRequest guards against limits that keep out a request inside those of the
// configuration when nothing else is held, and against copies of its body.
func TestSingleRequest(t *testing.T) {
	program := build(t)
	for _, cas := range []struct {
		name string
		rq   crowder.Single
	}{
		{"length", crowder.Single{BodyBytes: 64 << 20}},
		{"chunks", crowder.Single{BodyBytes: 64 << 20, IsChunked: true}},
		{"lengthBehindTheEntry", crowder.Single{BodyBytes: 64 << 20, IsBehind: true}},
		{"chunksBehindTheEntry", crowder.Single{BodyBytes: 64 << 20, IsChunked: true, IsBehind: true}},
		{"linesBehindTheEntry", crowder.Single{Lines: 4096, IsBehind: true}},
		{"lines", crowder.Single{Lines: 4096}},
	} {
		t.Run(cas.name, func(t *testing.T) {
			is := is.New(t)
			fl, err := crowder.Start(t.Context(), crowder.Settings{
				Program: program, Folder: t.TempDir(), MemoryMB: vmMemoryMB, MaxFDs: vmMaxFDs,
				Limits: platformer.Limits{MaxHeaderBytes: crowder.MaxHeaderBytes, MaxBodyBytes: 64 << 20, HeaderTimeoutS: 2, IdleTimeoutS: 10},
			})
			is.NoErr(err)
			defer fl.Close()
			wa := watch(fl)
			status, err := fl.Send(cas.rq)
			peaks, watchErr := wa.stop()
			t.Logf("status %d, peaks %+v", status, peaks)
			is.NoErr(err)
			is.NoErr(watchErr)
			is.Equal(status, http.StatusOK)
			for _, us := range peaks {
				is.True(us.PeakBytes <= vmMemoryMB<<20) // resident memory stays within the limit
			}
		})
	}
}

// TestEndlessAnswers guards against an instance that keeps the bytes of a faulty backend server
// without end, until its memory ends and with it the requests of others.
func TestEndlessAnswers(t *testing.T) {
	const requests = 24
	program := build(t)
	fl := start(t, program)
	defer fl.Close()
	for _, way := range crowder.EndlessAnswers() {
		for _, isBehind := range []bool{false, true} {
			name := way.Name
			if isBehind {
				name += "BehindTheEntry"
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				wa := watch(fl)
				statuses := fl.SendEndless(t.Context(), way, isBehind, requests)
				ctx, cancel := context.WithTimeout(t.Context(), answerLimit)
				defer cancel()
				answerErr := errors.Join(fl.AwaitAnswer(ctx, "/read"), fl.AwaitAnswer(ctx, "/bind"))
				peaks, err := wa.stop()
				t.Logf("statuses %v, peaks %+v", statuses, peaks)
				is.NoErr(err)       // every process lives
				is.NoErr(answerErr) // an ordinary request is answered
				for _, status := range statuses {
					is.True(way.HasAnswer || status == 0 || status >= http.StatusInternalServerError)
				}
				checkLimits(t, peaks)
			})
		}
	}
}

// watcher measures a fleet until stop.
type watcher struct {
	fl   *crowder.Fleet
	done chan struct{}
	wg   sync.WaitGroup

	peaks map[string]crowder.Usage
	err   error
}

func watch(fl *crowder.Fleet) *watcher {
	wa := &watcher{fl: fl, done: make(chan struct{}), peaks: map[string]crowder.Usage{}}
	wa.wg.Go(func() {
		for wa.err == nil {
			wa.measure()
			select {
			case <-wa.done:
				return
			case <-time.After(sampleEvery):
			}
		}
	})
	return wa
}

func (wa *watcher) measure() {
	usages, err := wa.fl.Usages()
	wa.err = err
	for _, us := range usages {
		peak := wa.peaks[us.VM]
		wa.peaks[us.VM] = crowder.Usage{VM: us.VM, PeakBytes: max(peak.PeakBytes, us.PeakBytes), Descriptors: max(peak.Descriptors, us.Descriptors)}
	}
}

// stop returns the highest usage of each VM and an error if a process ended.
func (wa *watcher) stop() (map[string]crowder.Usage, error) {
	close(wa.done)
	wa.wg.Wait()
	if wa.err == nil {
		wa.measure()
	}
	return wa.peaks, wa.err
}

// TestConfiguredLimits guards against limits of the configuration that come into force late, and
// against refusals of what is within them.
func TestConfiguredLimits(t *testing.T) {
	is := is.New(t)
	limits := platformer.Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 4 << 10, HeaderTimeoutS: 4, IdleTimeoutS: 10}
	fl, err := crowder.Start(t.Context(), crowder.Settings{Program: build(t), Folder: t.TempDir(), MemoryMB: memoryMB, MaxFDs: maxFDs, Limits: limits})
	is.NoErr(err)
	defer fl.Close()
	check := func(name string, sg crowder.Single, want int) {
		status, err := fl.Send(sg)
		if err != nil || status != want {
			t.Errorf("%s: status %d, want %d: %v", name, status, want, err)
		}
	}
	const linesBytes = 4
	check("head within the limit", crowder.Single{Lines: 31 << 10 / linesBytes}, http.StatusOK)
	check("body within the limit", crowder.Single{BodyBytes: 4 << 10}, http.StatusOK)
	check("body beyond the limit", crowder.Single{BodyBytes: 4<<10 + 1}, http.StatusRequestEntityTooLarge)
	limits = platformer.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 2 << 10, HeaderTimeoutS: 1, IdleTimeoutS: 10}
	fl.Configure(limits)
	time.Sleep(2 * time.Second)
	check("head within the new limit", crowder.Single{Lines: 7 << 10 / linesBytes}, http.StatusOK)
	check("head beyond the new limit", crowder.Single{Lines: 13 << 10 / linesBytes}, http.StatusRequestHeaderFieldsTooLarge)
	check("body within the new limit", crowder.Single{BodyBytes: 2 << 10}, http.StatusOK)
	check("chunks within the new limit", crowder.Single{BodyBytes: 2 << 10, IsChunked: true}, http.StatusOK)
	check("body beyond the new limit", crowder.Single{BodyBytes: 2<<10 + 1}, http.StatusRequestEntityTooLarge)
	check("chunks beyond the new limit", crowder.Single{BodyBytes: 2<<10 + 1, IsChunked: true}, http.StatusRequestEntityTooLarge)
	waited, err := fl.Stall()
	is.NoErr(err)
	is.True(waited >= time.Second && waited < 4*time.Second) // not before headerTimeoutS, and not the former one
}

// TestLargeResponse guards against responses that are cut or given up under the limits: one
// from the owner behind the entry, of a length that the owner doesn't announce, and several at
// once of clients that read.
func TestLargeResponse(t *testing.T) {
	is := is.New(t)
	fl, err := crowder.Start(t.Context(), crowder.Settings{Program: build(t), Folder: t.TempDir(), MemoryMB: memoryMB, MaxFDs: maxFDs})
	is.NoErr(err)
	defer fl.Close()
	var wg sync.WaitGroup
	for _, count := range []int{1, 8} {
		for i := range count {
			wg.Go(func() {
				if length, err := fl.ReadLarge(100*count + i); err != nil || length < crowder.LargeBytes {
					t.Errorf("%d at once: %d bytes: %v", count, length, err)
				}
			})
		}
		wg.Wait()
	}
	usages, err := fl.Usages()
	is.NoErr(err)
	t.Logf("%+v", usages)
	for _, us := range usages {
		is.True(us.PeakBytes <= memoryMB<<20) // resident memory stays within the limit
	}
}
