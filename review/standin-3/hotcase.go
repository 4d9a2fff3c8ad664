package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// addedPath is the one thing that is read on the route that is added.
	addedPath = "/nova/sheet-7"
	addedKey  = 4711
	// steadyAfter is how long after the crash the state counts as steady, and steadyFor how long
	// it is watched.
	steadyAfter = 10 * time.Second
	steadyFor   = 25 * time.Second
	// minAdded is the number of requests on added routes from which the rule CONFIG compares.
	minAdded = 20
)

// configHot adds a route, on which one thing is read, and crashes the backend that holds its key
// once.
func configHot(fl *fleet, hasTrouble bool) (verdict, error) {
	const readDeadline = 3 * time.Second
	var ve verdict
	fl.prepare = func(bs *backend) { bs.work = 160 * time.Millisecond }
	if err := startFleet(fl, 7, 4); err != nil {
		return ve, err
	}
	time.Sleep(4 * time.Second)
	second := firstConfig()
	second.version = 5
	second.routes = append(second.routes, route{"nova", "/nova/", "idempotent", "booking"})
	fl.rec.note("configuration 5 with the route nova is acknowledged at version %d", fl.store.put("op", "config", second.encode()))
	time.Sleep(4 * time.Second)
	go fl.every(30, func(mc *vm) { fl.send(mc, http.MethodGet, addedPath, goodKey, addedKey, readDeadline) })
	time.Sleep(4 * time.Second)
	if hasTrouble && !fl.crashHolder(addedKey) {
		return ve, errors.New("no backend holds the key")
	}
	crashedAt := time.Now()
	time.Sleep(steadyAfter + steadyFor + readDeadline)
	fl.close()
	judgeAdded(fl.rec, crashedAt.Add(steadyAfter), crashedAt.Add(steadyAfter+steadyFor), &ve)
	return ve, nil
}

// crashHolder crashes the backend that holds a key, while it runs some requests if it does so within
// a second. It reports whether there is one.
func (fl *fleet) crashHolder(key uint64) bool {
	for end := time.Now().Add(time.Second); ; time.Sleep(2 * time.Millisecond) {
		for _, mc := range fl.machines() {
			bs := mc.backend
			bs.mu.Lock()
			holds, running := bs.isSharded && bs.holdsKey(key), bs.running
			bs.mu.Unlock()
			if holds && (running >= 3 || time.Now().After(end)) {
				fl.rec.note("%s runs %d requests", bs.name(), running)
				bs.crash(crashedFor)
				return true
			}
		}
		if time.Now().After(end.Add(time.Second)) {
			return false
		}
	}
}

// judgeAdded checks the rule CONFIG for routes that were added later.
func judgeAdded(rc *recorder, from, until time.Time, ve *verdict) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	type tally struct{ sent, served int }
	var added, first tally
	statuses := map[int]int{}
	for _, se := range rc.sents {
		if se.at.Before(from) || se.at.After(until) {
			continue
		}
		ta := &first
		if se.path == addedPath {
			ta = &added
			statuses[se.status]++
		}
		ta.sent++
		if se.status/100 == 2 && se.isSigned {
			ta.served++
		}
	}
	ve.say("in steady state, on the route that was added: %d requests, %d served; statuses %v", added.sent, added.served, statuses)
	ve.say("in steady state, on the first routes: %d requests, %d served", first.sent, first.served)
	ve.isBroken = added.sent >= minAdded && 4*added.served*first.sent < first.served*added.sent
	if ve.isBroken {
		ve.say("CONFIG is broken")
		return
	}
	ve.say("CONFIG holds")
}
