package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// mediaSettings is the settings file of a VM of a deployment with uploads.
//
//go:embed settings-media.txt
var mediaSettings string

const (
	// crashedFor is how long a backend is down after a crash.
	crashedFor = 2 * time.Second
	// crashGap is how often the request that crashes backends comes again, and crashCount
	// how often it comes.
	crashGap   = 2 * time.Second
	crashCount = 20
	crashPath  = "/photos/piece-41"
	// uploadSize is the size of uploads in bytes.
	uploadSize = 60_000
	// retriesAllowed is the number of retries of such a request that the rule BUDGET allows.
	retriesAllowed = 3
)

// mediaConfig is the configuration of a deployment with uploads.
func mediaConfig() []byte {
	path := func(name, prefix, kind, service string, timeout, aim float64) any {
		return map[string]any{
			"name": name, "prefix": prefix, wire("kind"): kind, "service": service, "timeoutS": timeout,
			"targetLatencyS": aim, "priority": 2, "maxAttempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 590, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 12.0}
	}
	divided := service("wishlist")
	divided["sharded"], divided["warmS"], divided["grants"] = true, 2.0, "heartbeat"
	content, err := json.Marshal(map[string]any{
		"version": 3, "services": []any{divided, service("media")},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3.0, "idleTimeoutS": 15.0},
		wire("hosts"): []any{map[string]any{"host": host, "paths": []any{
			path("saved", "/saved/", "idempotent", "wishlist", 1.5, 0.8),
			path("photos", "/photos/", "upload", "media", 4, 2.5),
			path("info", "/info/", "idempotent", "media", 0.6, 0.2),
		}}},
	})
	if err != nil {
		panic(err)
	}
	return content
}

// upload sends a body to the instance of a VM.
func (fl *fleet) upload(mc *vm, path string, body []byte) sent {
	const deadline = 4 * time.Second
	se := sent{id: fmt.Sprintf("%016x", fl.next.Add(1)), vm: mc.name, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(fl.ctx, deadline)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+mc.address(outboundPort)+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	return fl.exchange(mc, se, re, deadline)
}

// read sends a short read to the instance of a VM.
func (fl *fleet) read(mc *vm, path string) sent {
	const deadline = 600 * time.Millisecond
	se := sent{id: fmt.Sprintf("%016x", fl.next.Add(1)), vm: mc.name, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(fl.ctx, deadline)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mc.address(outboundPort)+path, nil)
	if err != nil {
		panic(err)
	}
	return fl.exchange(mc, se, re, deadline)
}

// every calls what with a ready VM, so many times a second, until the fleet ends.
func (fl *fleet) every(perSecond int, what func(mc *vm)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-fl.ctx.Done():
			return
		}
		if mc := fl.anyReady(); mc != nil {
			go what(mc)
		}
	}
}

// anyReady returns one of the VMs whose instance is ready, or nil.
func (fl *fleet) anyReady() *vm {
	var ready []*vm
	for _, mc := range fl.machines() {
		if mc.ready() {
			ready = append(ready, mc)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[rand.IntN(len(ready))]
}

// startMedia starts nine backends that take uploads and three that are divided by key, waits until
// they serve and sends traffic.
func startMedia(fl *fleet, crashes bool) error {
	const uploads, reads = 9, 3
	fl.settings = mediaSettings
	fl.prepare = func(bs *backend) {
		bs.slots, bs.beat, bs.work, bs.readWork = 13, 870*time.Millisecond, 270*time.Millisecond, 56*time.Millisecond
		if crashes && bs.service == "media" {
			bs.crashPath = crashPath
		}
	}
	fl.store.put("op", "config", mediaConfig())
	for i := range uploads + reads {
		service := "media"
		if i >= uploads {
			service = "wishlist"
		}
		if _, err := fl.addVM(zones[i%len(zones)], service, service == "wishlist"); err != nil {
			return err
		}
	}
	if !fl.awaitServing([]string{"wishlist"}, 20*time.Second) {
		return errors.New("the deployment did not serve in time")
	}
	fl.rec.note("all keys are held and all instances are ready")
	fl.hasTraffic = true
	go fl.every(80, func(mc *vm) {
		number := fl.next.Add(1)
		fl.upload(mc, fmt.Sprintf("/photos/%d", number), photo(number))
	})
	go fl.every(280, func(mc *vm) { fl.read(mc, fmt.Sprintf("/info/%d", fl.next.Add(1))) })
	return nil
}

// photo returns the body of an upload.
func photo(number uint64) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%020d", number), uploadSize/20)
}

// crashUpload sends one and the same upload again and again, which crashes each backend that begins
// to run it.
func crashUpload(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startMedia(fl, hasTrouble); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	body := photo(41)
	var tries []sent
	for i := range crashCount {
		mc := fl.anyReady()
		if mc == nil {
			return ve, errors.New("no instance is ready")
		}
		se := fl.upload(mc, crashPath, body)
		tries = append(tries, se)
		fl.rec.note("the upload comes for the %d. time, at %s: status %d", i+1, mc.name, se.status)
		time.Sleep(time.Until(se.at.Add(crashGap)))
	}
	fl.close()
	judgeCrashes(fl, tries, hasTrouble, &ve)
	return ve, nil
}

// judgeCrashes checks the rule BUDGET for a request that crashes backends: it counts the tries that
// were sent later than contactS after its third crash and reached a backend.
func judgeCrashes(fl *fleet, tries []sent, crashes bool, ve *verdict) {
	rc := fl.rec
	rc.mu.Lock()
	defer rc.mu.Unlock()
	ranAt := map[string]time.Time{}
	for _, ru := range rc.runs {
		if _, ok := ranAt[ru.id]; !ok {
			ranAt[ru.id] = ru.at
		}
	}
	reached, refused, later := 0, 0, 0
	var third time.Time
	for _, se := range tries {
		at, hasRun := ranAt[se.id]
		switch {
		case !hasRun:
			refused++
			continue
		case !third.IsZero() && se.at.Sub(third).Seconds() > contactS:
			later++
		}
		if reached++; reached == 3 && crashes {
			third = at
		}
	}
	lost, others := 0, 0
	for _, se := range rc.sents {
		if _, hasRun := ranAt[se.id]; hasRun && se.path != crashPath {
			others++
			if se.status/100 != 2 && !se.answeredAt.IsZero() {
				lost++
			}
		}
	}
	ends := 0
	for _, mc := range fl.machines() {
		ends += mc.exits
	}
	ve.say("the upload was sent %d times and reached a backend %d times; %d were not passed on", len(tries), reached, refused)
	ve.say("sent later than %.1f s after its third crash and reached a backend: %d, allowed %d", contactS, later, retriesAllowed)
	ve.say("other requests that backends began: %d, of them without a success: %d; processes that ended by themselves: %d", others, lost, ends)
	ve.isBroken = later > retriesAllowed
	if ve.isBroken {
		ve.say("BUDGET is broken")
		return
	}
	ve.say("BUDGET holds")
}
