package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cornellanding.example/instance/router"
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

// check tells settings from a catalogue by the first field that only a
// catalogue has.
func check(file string, content []byte) error {
	isCatalogue := bytes.HasPrefix(content, []byte("dataCentres:")) || bytes.Contains(content, []byte("\ndataCentres:"))
	if isCatalogue {
		_, err := parser.Catalogue(file, content)
		return err
	}
	_, err := parser.ParseSettings(file, content)
	return err
}
