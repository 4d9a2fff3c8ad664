// Program review-standin-2 runs the cases of the second review that are scripts: it plays the
// platform, the backends and the clients of a small deployment, and starts the system's own
// processes.
//
//	review-standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// longestRun ends a case that hangs.
const longestRun = 110 * time.Second

// verdict is what a case found. An error means that it could not run.
type verdict struct {
	isBroken bool
	summary  string
}

var cases = map[string]func(rec *record, folder string, hasTrouble bool) (verdict, error){
	"evacuation": evacuation,
	"latebeat":   lateBeat,
	"coldagain":  coldAgain,
	"lateleave":  lateLeave,
	"quota":      quota,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	// The processes end with this one.
	watchdog := time.AfterFunc(longestRun, func() {
		fmt.Println("could not run: it took too long")
		os.Exit(2)
	})
	defer watchdog.Stop()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec := &record{out: out, start: time.Now()}
	ve, err := cases[name](rec, folder, hasTrouble)
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.log("verdict: %s", ve.summary)
	fmt.Println(ve.summary)
	if ve.isBroken {
		return 1
	}
	return 0
}
