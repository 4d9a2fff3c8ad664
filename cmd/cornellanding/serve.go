package main

import (
	"context"
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
