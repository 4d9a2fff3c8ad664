package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cornellanding.example/instance/router"
	"cornellanding.example/platform/adapter"
	"cornellanding.example/wire/parser"
)

type serveCommand struct {
	*streams
	Config string `long:"config" required:"true" description:"Settings of this VM, as YAML"`
}

// Execute implements flags.Commander.
func (sc *serveCommand) Execute([]string) error {
	content, err := os.ReadFile(sc.Config)
	if err != nil {
		return err
	}
	se, err := parser.ParseSettings(sc.Config, content)
	if err != nil {
		return err
	}
	ro, err := router.New(se)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return ro.Run(ctx)
}

type checkCommand struct {
	*streams
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	isFailed := false
	for _, file := range cc.Args.Files {
		content, err := os.ReadFile(file)
		if err == nil {
			err = check(file, content)
		}
		if err != nil {
			fmt.Fprintln(cc.err, err)
			isFailed = true
			continue
		}
		fmt.Fprintln(cc.out, file+": ok")
	}
	if isFailed {
		return errFailed
	}
	return nil
}

// hasField reports whether a YAML file has a field at its top.
func hasField(content []byte, field string) bool {
	return bytes.HasPrefix(content, []byte(field+":")) || bytes.Contains(content, []byte("\n"+field+":"))
}

// check tells settings, those of the platform and a catalogue apart by a field
// that only one of them has.
func check(file string, content []byte) error {
	if hasField(content, "node") {
		_, err := adapter.ParseSettings(file, content)
		return err
	}
	if hasField(content, "dataCentres") {
		_, err := parser.ParseCatalogue(file, content)
		return err
	}
	_, err := parser.ParseSettings(file, content)
	return err
}
