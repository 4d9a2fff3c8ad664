// Command cornellanding routes requests to servers that own keys exclusively.
//
// # Usage
//
//	cornellanding serve --config vm.yaml
//	cornellanding sidecar
//	cornellanding check [--against FILE] [--strict] [--json] FILE...
//	cornellanding catalogue apply|show|diff FILE
//	cornellanding key grant|withdraw --workspace W
//	cornellanding drain|return --backend-server B
//	cornellanding forget --backend-server B --vm-is-destroyed
//	cornellanding datacentre out|return D
//	cornellanding status | warnings | explain KEY
//	cornellanding demo --for 10s
//
// The operators' commands call the administration API of any instance. Its address
// comes from --administrator or CORNELLANDING_ADMINISTRATOR, and the operator key
// from CORNELLANDING_OPERATOR_KEY.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cornellanding.example/cmd/signaler"
	"github.com/jessevdk/go-flags"
)

// sidecarName is the name of the one command that reloads its settings on SIGHUP.
const sidecarName = "sidecar"

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitInvalid is the status of check for a file with errors.
	exitInvalid = 2
)

// errFailed makes a command exit with exitFailed without a message, because its
// output already reports the failure.
var errFailed = errors.New("failed")

// errInvalid makes a command exit with exitInvalid without a message.
var errInvalid = errors.New("invalid")

func main() {
	if len(os.Args) < 2 || os.Args[1] != sidecarName {
		signaler.Release()
	}
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// streams are the standard streams of a command, which tests replace.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

func run(args []string, in io.Reader, out, errOut io.Writer) int {
	st := &streams{in: in, out: out, err: errOut}
	pa := flags.NewNamedParser("cornellanding", flags.HelpFlag|flags.PassDoubleDash)
	pa.LongDescription = "Routes requests to servers that own keys exclusively."
	if err := addCommands(pa, st); err != nil {
		fmt.Fprintln(errOut, "cornellanding:", err)
		return exitUsage
	}
	_, err := pa.ParseArgs(args)
	var fe *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return 0
	case errors.As(err, &fe):
		fmt.Fprintln(errOut, "cornellanding:", err)
		return exitUsage
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.Is(err, errInvalid):
		return exitInvalid
	default:
		fmt.Fprintln(errOut, "cornellanding:", err)
		return exitFailed
	}
}

func addCommands(pa *flags.Parser, st *streams) error {
	var errs []error
	add := func(group *flags.Command, name, short string, data any) *flags.Command {
		var (
			cm  *flags.Command
			err error
		)
		if group == nil {
			cm, err = pa.AddCommand(name, short, short, data)
		} else {
			cm, err = group.AddCommand(name, short, short, data)
		}
		errs = append(errs, err)
		return cm
	}
	op := operator{streams: st}
	add(nil, "serve", "Run the instance beside a backend server.", &serveCommand{streams: st})
	add(nil, sidecarName, "Run the instance beside a backend server on the users' platform.", &sidecarCommand{streams: st})
	add(nil, "check", "Check settings, catalogues or configurations before they are sent.", &checkCommand{streams: st})
	add(nil, "demo", "Run a deployment on loopback with load and failures.", &demoCommand{streams: st})
	catalogue := add(nil, "catalogue", "Apply, show or compare the catalogue.", &struct{}{})
	add(catalogue, "apply", "Put a catalogue into force.", &catalogueApply{operator: op})
	add(catalogue, "show", "Print the catalogue in force.", &catalogueShow{operator: op})
	add(catalogue, "diff", "Compare a file with the catalogue in force.", &catalogueDiff{operator: op})
	key := add(nil, "key", "Grant or withdraw workspace keys.", &struct{}{})
	add(key, "grant", "Grant a new key and print it once.", &keyGrant{operator: op})
	add(key, "withdraw", "Withdraw one key or all keys of a workspace.", &keyWithdraw{operator: op})
	add(nil, "drain", "Give a backend server no new work.", &drainCommand{operator: op})
	add(nil, "return", "Give a drained backend server work again.", &returnCommand{operator: op})
	add(nil, "forget", "End a destroyed VM's incarnation that its watchers can't revoke.", &forgetCommand{operator: op})
	centre := add(nil, "datacentre", "Take a data centre out or return it.", &struct{}{})
	add(centre, "out", "Give a data centre no new work.", &dataCentreOut{operator: op})
	add(centre, "return", "Give a data centre work again.", &dataCentreReturn{operator: op})
	add(nil, "status", "Print an instance's state and the members it knows.", &statusCommand{operator: op})
	add(nil, "warnings", "Print the warnings that are true now.", &warningsCommand{operator: op})
	add(nil, "explain", "Tell who owns a key, why, and since when.", &explainCommand{operator: op})
	return errors.Join(errs...)
}
