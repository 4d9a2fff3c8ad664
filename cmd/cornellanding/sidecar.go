package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cornellanding.example/platform/adapter"
)

type sidecarCommand struct {
	*streams
	Settings string `long:"settings" description:"Settings file of the platform; by default the one that the environment names"`
}

// Execute implements flags.Commander.
func (sc *sidecarCommand) Execute([]string) error {
	path := sc.Settings
	if path == "" {
		path = os.Getenv(adapter.SettingsVariable)
	}
	if path == "" {
		return fmt.Errorf("--settings or %s is needed", adapter.SettingsVariable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return adapter.Run(ctx, path, reload, sc.out)
}
