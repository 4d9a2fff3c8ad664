package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// drainRestore lets a backend announce its end, and then has the drill and a kill of the
// instance that acknowledged it, while a server is added. The backend serves on for many seconds.
func drainRestore(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startFleet(fl, 4, 7); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	leaving := fl.machines()[5] // one of seven of catalogue
	var ackedAt time.Time
	for range 5 {
		if leaving.backend.deregister() {
			ackedAt = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if ackedAt.IsZero() {
		return ve, errors.New("the deregistration was not acknowledged")
	}
	fl.rec.note("the deregistration of %s is acknowledged", leaving.backend.id)
	time.Sleep(time.Second)
	drill(fl, hasTrouble)
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		leaving.signal(syscall.SIGKILL)
		fl.rec.note("the instance beside %s is killed", leaving.backend.id)
	}
	restartedBy := time.Now().Add(500 * time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	added, err := fl.addVM("zone-a", "catalogue", false)
	if err != nil {
		return ve, err
	}
	fl.rec.note("a server is added: %s", added.backend.id)
	time.Sleep(time.Until(restartedBy.Add(time.Duration((contactS + 0.5) * float64(time.Second)))))
	inTouchAt := time.Now()
	fl.rec.note("all machines are in touch again")
	time.Sleep(7 * time.Second)
	fl.close()
	judgeDrain(fl.rec, leaving, ackedAt, inTouchAt, &ve)
	return ve, nil
}

// judgeDrain checks the rule DRAIN for the leaving backend: it counts the requests that reached
// it later than drainS after the acknowledgement and were sent while all machines were in touch.
func judgeDrain(rc *recorder, leaving *vm, ackedAt, inTouchAt time.Time, ve *verdict) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	sentAt, vmOf := map[string]time.Time{}, map[string]string{}
	for _, se := range rc.sents {
		sentAt[se.id], vmOf[se.id] = se.at, se.vm
	}
	late, others := 0, 0
	for _, ru := range rc.runs {
		at, isKnown := sentAt[ru.id]
		isLate := isKnown && ru.at.Sub(ackedAt).Seconds() > drainS && at.After(inTouchAt)
		if ru.backend != leaving.backend.id || !isLate {
			continue
		}
		if late++; late <= 5 {
			ve.say("request %s, taken from the client at %s, ran on %s %.3f s after the acknowledgement", ru.id, vmOf[ru.id], ru.backend, ru.at.Sub(ackedAt).Seconds())
		}
		if vmOf[ru.id] != leaving.name {
			others++
		}
	}
	ve.say("requests sent while all machines were in touch that reached the leaving backend later than %.1f s after the acknowledgement: %d, of them from other machines: %d", drainS, late, others)
	ve.isBroken = late > 0
	if ve.isBroken {
		ve.say("DRAIN is broken")
		return
	}
	ve.say("DRAIN holds")
}
