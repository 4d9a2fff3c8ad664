package main

import (
	"net/http"
	"time"
)

// configRestore changes the configuration after the drill, and checks which one is in force.
func configRestore(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startFleet(fl, 7, 4); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	if _, err := fl.addVM("zone-b", "booking", true); err != nil {
		return ve, err
	}
	fl.rec.note("a server is added: i-booking-12")
	time.Sleep(2500 * time.Millisecond)
	second := firstConfig()
	second.version = 5
	second.routes = append(second.routes, route{"nova", "/nova/", "idempotent", "catalogue"})
	fl.rec.note("configuration 5 with the route nova is acknowledged at version %d", fl.store.put("op", "config", second.encode()))
	time.Sleep(time.Second)
	drill(fl, hasTrouble)
	time.Sleep(6 * time.Second)
	third := second
	third.version = 9
	third.keys = []string{goodKey}
	third.routes = append(append([]route(nil), second.routes...), route{"extra", "/extra/", "idempotent", "catalogue"})
	fl.rec.note("configuration 9 without a key and with the route extra is acknowledged at version %d", fl.store.put("op", "config", third.encode()))
	ackedAt := time.Now()
	time.Sleep(time.Duration((configApplyS + maxStretchS + 0.5) * float64(time.Second)))
	judged, late, denied, revoked := 0, 0, 0, 0
	for time.Since(ackedAt).Seconds() < 25 {
		for _, mc := range fl.machines() {
			if !mc.ready() {
				continue
			}
			judged += 2
			if se := fl.send(mc, http.MethodGet, "/extra/x", goodKey, 1, time.Second); se.status == http.StatusNotFound {
				denied++
			}
			if se := fl.send(mc, http.MethodGet, "/projeto/x", leftKey, 1, time.Second); se.status/100 == 2 && se.isSigned {
				revoked++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	late = denied + revoked
	ve.say("requests sent later than %.1f s (configApplyS and maxStretchS) after the acknowledgement of configuration 9, for what it changed: %d", configApplyS+maxStretchS, judged)
	ve.say("refused with 404 though the route is there: %d", denied)
	ve.say("run with the dropped key: %d", revoked)
	ve.isBroken = late > 0
	if ve.isBroken {
		ve.say("CONFIG is broken")
		return ve, nil
	}
	ve.say("CONFIG holds")
	return ve, nil
}
