package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"
)

// Limits of the users' pages.
const (
	doubleHoldS  = 0.5 // OWNER: two backends hold the same keys for over half a second
	configApplyS = 2.0
	maxStretchS  = 5.0
	drainS       = 2.0
	contactS     = 3.0
)

// The drill: the store is away for a moment and comes back from a copy some seconds old.
const (
	awayFor = time.Second
	copyAge = 4 * time.Second
)

// startFleet starts backends of booking, which is divided by key, and of catalogue, waits until
// they serve and sends traffic.
func startFleet(fl *fleet, bookings, catalogues int) error {
	fl.store.put("op", "config", firstConfig().encode())
	for i := range bookings + catalogues {
		service, isSharded := "booking", true
		if i >= bookings {
			service, isSharded = "catalogue", false
		}
		if _, err := fl.addVM(zones[i%len(zones)], service, isSharded); err != nil {
			return err
		}
	}
	if !fl.awaitServing([]string{"booking"}, 20*time.Second) {
		return errors.New("the deployment did not serve in time")
	}
	fl.rec.note("all keys are held and all instances are ready; store at version %d", fl.store.latest())
	fl.hasTraffic = true
	go fl.load(70, func() request {
		switch draw := rand.IntN(10); {
		case draw < 5:
			return request{http.MethodGet, "/consulta/x", goodKey, 800 * time.Millisecond}
		case draw < 8:
			return request{http.MethodPost, "/pedido/x", goodKey, time.Second}
		default:
			return request{http.MethodGet, "/projeto/x", goodKey, 800 * time.Millisecond}
		}
	})
	return nil
}

// drill takes the store away and brings it back from a copy. Without trouble it only waits.
func drill(fl *fleet, hasTrouble bool) {
	if !hasTrouble {
		time.Sleep(awayFor)
		return
	}
	fl.rec.note("the store is away")
	asOf := time.Now().Add(-copyAge)
	fl.store.setAway(true)
	time.Sleep(awayFor)
	before, after := fl.store.restore(asOf)
	fl.store.setAway(false)
	fl.rec.note("the store is back from a copy that was %s old when it went away: version %d, was %d, now %d", copyAge, after, before, fl.store.latest())
}

// ownerRestore adds two servers shortly before the drill, and two and three after it: each time no
// more than three tenths of those that are there.
func ownerRestore(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startFleet(fl, 7, 4); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	if err := scaleOut(fl, 2, 500*time.Millisecond); err != nil {
		return ve, err
	}
	time.Sleep(2500 * time.Millisecond)
	drill(fl, hasTrouble)
	time.Sleep(5 * time.Second)
	for _, count := range []int{2, 3} {
		if err := scaleOut(fl, count, 1500*time.Millisecond); err != nil {
			return ve, err
		}
		time.Sleep(6 * time.Second)
	}
	fl.close()
	judgeOwner(fl.rec, &ve)
	return ve, nil
}

// scaleOut adds servers of booking one after the other.
func scaleOut(fl *fleet, count int, gap time.Duration) error {
	for i := range count {
		mc, err := fl.addVM(zones[i%len(zones)], "booking", true)
		if err != nil {
			return err
		}
		fl.rec.note("a server is added: %s", mc.backend.id)
		time.Sleep(gap)
	}
	return nil
}

// judgeOwner checks the rule OWNER over the ranges as the backends held them.
func judgeOwner(rc *recorder, ve *verdict) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	both, longest, tokens, shown := 0, 0.0, 0, 0
	keys := map[uint64]bool{}
	for _, le := range rc.periods {
		for _, ri := range rc.periods {
			if le.backend >= ri.backend || le.from > ri.to || ri.from > le.to {
				continue
			}
			first, second := le, ri
			if second.since.Before(first.since) {
				first, second = second, first
			}
			if second.token <= first.token && second.since.After(first.since) {
				tokens++
			}
			from, until := second.since, first.until
			if second.until.Before(until) {
				until = second.until
			}
			span := until.Sub(from).Seconds()
			if span <= 0 {
				continue
			}
			lo, hi := max(le.from, ri.from), min(le.to, ri.to)
			runs := map[string]int{}
			for _, ru := range rc.runs {
				if (ru.backend == le.backend || ru.backend == ri.backend) && lo <= ru.key && ru.key <= hi && !ru.at.Before(from) && ru.at.Before(until) {
					runs[ru.backend]++
				}
			}
			switch {
			case len(runs) == 2:
				both++
			case span <= doubleHoldS:
				continue
			}
			for key := lo; key <= hi; key++ {
				keys[key] = true
			}
			longest = max(longest, span)
			if shown++; shown <= 10 {
				ve.say("keys %d to %d: %s (token %d) and %s (token %d) both held them from %.3f for %.3f s; requests begun in that time: %v",
					lo, hi, le.backend, le.token, ri.backend, ri.token, rc.seconds(from), span, runs)
			}
		}
	}
	ve.say("ranges held by two backends at once, for over %.1f s or while both began requests on them: %d (%d keys), the longest for %.3f s; both began requests: %d", doubleHoldS, shown, len(keys), longest, both)
	ve.say("ranges taken under a token that is not above one with which another backend had them: %d", tokens)
	ve.isBroken = shown > 0 || tokens > 0
	if ve.isBroken {
		ve.say("OWNER is broken")
		return
	}
	ve.say("OWNER holds")
}
