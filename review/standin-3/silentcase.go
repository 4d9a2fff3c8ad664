package main

import (
	"errors"
	"time"
)

// drainSilent crashes a backend silently for a second. It starts again under its id, its first
// heartbeat is late, and it announces its end before that arrives.
func drainSilent(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startFleet(fl, 4, 7); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	leaving := fl.machines()[5] // one of seven of catalogue
	bs := leaving.backend
	leaving.stopBeats()
	time.Sleep(100 * time.Millisecond)
	bs.sendBeat(fl.ctx)
	fl.rec.note("the last heartbeat of the first run of %s is acknowledged", bs.id)
	time.Sleep(100 * time.Millisecond)
	if hasTrouble {
		bs.fall()
		fl.rec.note("it crashes silently")
	}
	time.Sleep(time.Second)
	if hasTrouble {
		bs.rise()
		content, released := bs.encodeBeat()
		fl.rec.note("it starts again under its id; its first heartbeat is on its way for 3 s")
		time.AfterFunc(3*time.Second, func() {
			bs.postBeat(fl.ctx, content, released)
			fl.rec.note("that heartbeat has arrived")
		})
	}
	time.Sleep(800 * time.Millisecond)
	if !bs.deregister() {
		return ve, errors.New("the deregistration was not acknowledged")
	}
	ackedAt := time.Now()
	fl.rec.note("the deregistration of %s is acknowledged", bs.id)
	time.Sleep(7 * time.Second)
	fl.close()
	judgeDrain(fl.rec, leaving, ackedAt, ackedAt, &ve)
	return ve, nil
}
