// Command cornelbench runs fakes of the router's environment as processes, sends
// load, injects failures and measures.
//
// # Usage
//
//	cornelbench platform --listen 127.0.0.1:7100
//	cornelbench backend-server --listen 127.0.0.1:7200 --name ordering-1 --slots 9
//	cornelbench load --scenario FILE
//	cornelbench drill --binary ./cornellanding --seed 1
//	cornelbench soak --binary ./cornellanding --seeds 10
//	cornelbench cost
//	cornelbench compare --seed 1
//	cornelbench capacity --binary ./cornellanding
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/jessevdk/go-flags"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// errFailed makes a command exit with exitFailed without a message, because its
// output already reports the failure.
var errFailed = errors.New("failed")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	pa := flags.NewNamedParser("cornelbench", flags.HelpFlag|flags.PassDoubleDash)
	pa.LongDescription = "Stand-ins for what cornellanding meets, and load."
	if err := addCommands(pa); err != nil {
		fmt.Fprintln(os.Stderr, "cornelbench:", err)
		return exitUsage
	}
	_, err := pa.ParseArgs(args)
	var fe *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "cornelbench:", err)
		return exitUsage
	case errors.Is(err, errFailed):
		return exitFailed
	default:
		fmt.Fprintln(os.Stderr, "cornelbench:", err)
		return exitFailed
	}
}

func addCommands(pa *flags.Parser) error {
	var errs []error
	add := func(name, short string, data any) {
		_, err := pa.AddCommand(name, short, short, data)
		errs = append(errs, err)
	}
	add("platform", "Run the table service and object store.", &platformCommand{})
	add("backend-server", "Run a backend server.", &backendServerCommand{})
	add("load", "Send open-loop load to running instances.", &loadCommand{})
	add("drill", "Start processes, break them under load and check the invariants.", &drillCommand{})
	add("soak", "Run instances on the stand-in of the platform, break them by a seeded plan and check the promises.", &soakCommand{})
	add("cost", "Measure what the router adds to a request.", &costCommand{})
	add("compare", "Compare decisions with naive versions on simulated time.", &compareCommand{})
	add("capacity", "Measure the slopes behind docs/CAPACITY.md.", &capacityCommand{})
	return errors.Join(errs...)
}

type platformCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:7100" description:"Address"`
	Writes float64 `long:"writes" default:"300" description:"Writes a second, 0 for no bound"`
	Reads  float64 `long:"reads" default:"2000" description:"Reads a second, 0 for no bound"`
}

// Execute implements flags.Commander.
func (pc *platformCommand) Execute([]string) error {
	return serve(pc.Listen, emulator.NewPlatform(emulator.WithRates(pc.Writes, pc.Reads)))
}

type backendServerCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7200" description:"Address"`
	Name        string        `long:"name" default:"ordering-1" description:"Name"`
	Slots       int           `long:"slots" default:"9" description:"Requests that run at once"`
	ServiceTime time.Duration `long:"service-time" default:"3ms" description:"Time a request takes"`
	Cold        time.Duration `long:"cold" default:"0s" description:"How long the server is cold after a start"`
	ColdSlots   int           `long:"cold-slots" default:"2" description:"Requests that a cold server bears"`
	Fenced      bool          `long:"fenced" description:"Check fencing epochs"`
}

// Execute implements flags.Commander.
func (bc *backendServerCommand) Execute([]string) error {
	opts := []emulator.BackendServerOption{
		emulator.WithSlots(bc.Slots), emulator.WithServiceTime(bc.ServiceTime), emulator.WithColdStart(bc.Cold, bc.ColdSlots),
	}
	if bc.Fenced {
		opts = append(opts, emulator.WithFencing())
	}
	return serve(bc.Listen, emulator.NewBackendServer(bc.Name, opts...))
}

// serve prints the address once it listens on it, and serves until the process
// ends.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}
