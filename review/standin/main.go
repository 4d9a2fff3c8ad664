// Command standin plays the cases of the review: it starts the router's processes with
// stand-ins of the platform's store, backends and clients on loopback addresses, and
// checks one rule.
//
// # Usage
//
//	standin CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the outcome of a case that could run.
type verdict struct {
	isBroken bool
	text     string
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*world, bool) (verdict, error){
		"stopearly": stopEarly, "formerlife": formerLife, "writer": writer, "leaving": leaving, "crasher": crasher, "cold": cold, "slashes": slashes,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	wo, err := newWorld(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer wo.close()
	ve, err := cases[os.Args[1]](wo, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitFailed
	}
	if ve.isBroken {
		rec.line("BROKEN: %s", ve.text)
		fmt.Println("broken:", ve.text)
		return exitBroken
	}
	rec.line("held: %s", ve.text)
	fmt.Println("held:", ve.text)
	return exitHeld
}
