package main

import (
	"os"
	"syscall"
	"time"
)

// tokenRestore adds two servers twice shortly before the drill, and kills all instances after it.
func tokenRestore(fl *fleet, hasTrouble bool) (verdict, error) {
	var ve verdict
	if err := startFleet(fl, 7, 4); err != nil {
		return ve, err
	}
	time.Sleep(6 * time.Second)
	for range 2 {
		if err := scaleOut(fl, 2, 500*time.Millisecond); err != nil {
			return ve, err
		}
	}
	time.Sleep(1900 * time.Millisecond)
	drill(fl, hasTrouble)
	time.Sleep(2 * time.Second)
	if os.Getenv("TROUBLE") != "0" {
		for _, mc := range fl.machines() {
			mc.signal(syscall.SIGKILL)
		}
		fl.rec.note("all instances are killed")
	}
	time.Sleep(15 * time.Second)
	fl.close()
	judgeOwner(fl.rec, &ve)
	return ve, nil
}
