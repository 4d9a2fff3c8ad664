package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cornellanding.example/cmd/signaler"
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
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	return adapter.Run(context.Background(), path, adapter.Signals{Reload: signaler.Hangups(), Stop: stops}, sc.out)
}
