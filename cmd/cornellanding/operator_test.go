package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cornellanding.example/bench/launcher"
	"github.com/matryer/is"
)

// TestOperatorCommands runs the operators' commands against a deployment.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	de, err := launcher.New()
	is.NoErr(err)
	defer de.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	is.NoErr(de.AwaitReady(ctx))
	t.Setenv("CORNELLANDING_OPERATOR_KEY", de.OperatorKey)
	t.Setenv("CORNELLANDING_ADMINISTRATOR", de.VMs()[0].AdminAddress)
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	shown := command(t, 0, "", "catalogue", "show")
	is.NoErr(os.WriteFile(file, []byte(shown), 0o600))

	is.Equal(command(t, 0, "", "catalogue", "diff", file), "") // the output of show equals the catalogue in force
	// The deployment starts at version 9: the catalogue, and a key for each of its 8
	// workspaces.
	changed := strings.Replace(shown, "rate: 400", "rate: 401", 1)
	is.NoErr(os.WriteFile(file, []byte(changed), 0o600))
	diff := command(t, 1, "", "catalogue", "diff", file)
	is.True(strings.Contains(diff, "rate: 400") && strings.Contains(diff, "rate: 401"))
	is.True(strings.Contains(command(t, 0, "", "catalogue", "apply", file), "version 10"))
	is.True(strings.Contains(command(t, 1, "", "catalogue", "apply", "--from", "9", file), "version 10 by")) // the conflict names the other change

	granted := command(t, 0, "", "key", "grant", "--workspace", "patos")
	_, key, ok := strings.Cut(granted, "key ")
	is.True(ok)
	command(t, 0, key, "key", "withdraw", "--workspace", "patos", "--key-stdin")
	is.True(strings.Contains(command(t, 1, key, "key", "withdraw", "--workspace", "patos", "--key-stdin"), "holds no such key"))
	command(t, 0, "", "drain", "--backend-server", "ordering-1")
	command(t, 0, "", "return", "--backend-server", "ordering-1")
	command(t, 0, "", "datacentre", "out", "natal")
	command(t, 0, "", "datacentre", "return", "natal")
	is.True(strings.Contains(command(t, 0, "", "status"), "ordering-7"))
	is.True(strings.Contains(command(t, 0, "", "explain", "k1"), "owned by ordering-"))
	command(t, 0, "", "warnings")
}

// command runs one command, checks its exit status and returns its output.
func command(t *testing.T, status int, in string, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	got := run(args, strings.NewReader(in), &out, &out)
	if got != status {
		t.Fatalf("%v: status %d, want %d: %s", args, got, status, out.String())
	}
	return out.String()
}
