package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHangupIsHandledBeforeLibraries checks that SIGHUP is handled before any
// library is initialized. A process that is told to reload in its first
// milliseconds would otherwise end.
func TestHangupIsHandledBeforeLibraries(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "cornellanding")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	command := exec.Command(binary, "--help")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err = command.CombinedOutput()
	is.NoErr(err)
	initialized := regexp.MustCompile(`(?m)^init (\S+) @`).FindAllStringSubmatch(string(output), -1)
	for _, match := range initialized {
		name := match[1]
		if name == "cornellanding.example/cmd/signaler" {
			return
		}
		if first, _, _ := strings.Cut(name, "/"); strings.Contains(first, ".") {
			t.Fatalf("package %s is initialized before SIGHUP is handled", name)
		}
	}
	t.Fatal("SIGHUP is not handled from the start of the process")
}
