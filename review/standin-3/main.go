// Command fleet plays one case of the third review: a small deployment of real instances with
// stand-ins for the store, the backends, the operator and the clients.
//
//	fleet PROGRAM CASE RECORD
//
// With TROUBLE=0 in the environment it leaves all disruptions out, and with TROUBLE=kill the
// drill of the store. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	isBroken bool
	lines    []string
}

func (ve *verdict) say(format string, values ...any) {
	ve.lines = append(ve.lines, fmt.Sprintf(format, values...))
}

var cases = map[string]func(fl *fleet, hasTrouble bool) (verdict, error){
	"owner-restore":  ownerRestore,
	"config-hot":     configHot,
	"config-restore": configRestore,
	"drain-restore":  drainRestore,
	"crash-upload":   crashUpload,
	"drain-silent":   drainSilent,
	"token-restore":  tokenRestore,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet PROGRAM CASE RECORD")
		os.Exit(2)
	}
	fl, err := newFleet(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ve, err := cases[os.Args[2]](fl, os.Getenv("TROUBLE") == "" || os.Getenv("TROUBLE") == "1")
	fl.close()
	if err != nil {
		ve.say("could not run: %v", err)
	}
	for _, li := range ve.lines {
		fmt.Println(li)
	}
	if writeErr := fl.rec.write(os.Args[3], ve.lines); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		os.Exit(2)
	}
	switch {
	case err != nil:
		os.Exit(2)
	case ve.isBroken:
		os.Exit(1)
	}
}
