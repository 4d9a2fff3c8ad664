// Command mutator is a mutation test of the safety checks. It applies each
// mutation to a copy of the tree and reports whether the test that must detect it
// fails.
//
// # Usage
//
//	go run ./bench/mutator          all mutations
//	go run ./bench/mutator -only 3  those of invariant 3
//
// Run it in the root of the repository. It exits with status 1 if a mutation
// survives, no longer applies, or does not compile.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const testTimeout = 5 * time.Minute

// mutation replaces a text that must occur exactly once in a file. invariant is
// the number of the invariant that it violates.
type mutation struct {
	invariant int
	what      string
	file      string
	old       string
	new       string
	// test is the package, and run the pattern of the tests in it, of which one
	// must fail.
	test string
	run  string
}

var mutations = []mutation{
	{1, "admission ignores the lease", "instance/publisher/publisher.go", "func (pu *Publisher) HasLease() bool { return pu.clock.Now().Before(pu.LeaseUntil()) }", "func (pu *Publisher) HasLease() bool { return true }", "./instance/gatekeeper", "."},
	{1, "a watcher revokes before the lease expires", "core/leaser/watcher.go", "if !pr.revoked && now.Before(pr.expiresAt) {\n\t\tvote.RetryAt = pr.expiresAt\n\t\treturn vote\n\t}\n\tpr.revoked = true", "pr.revoked = true", "./core/leaser", "Takeover"},
	{1, "a revoked holder is acknowledged again", "core/leaser/watcher.go", "if pr.revoked {\n\t\treturn ack\n\t}", "ack.Revoked = false", "./core/leaser", "Takeover"},
	{1, "half of the watchers count as a majority", "core/leaser/holder.go", "func Majority(count int) int { return count/2 + 1 }", "func Majority(count int) int { return max(1, count/2) }", "./core/leaser", "Takeover"},
	{1, "a proposed row does not limit the lease deadline", "core/leaser/holder.go", "deadline = min(deadline, ho.rowDeadline(*ho.proposed))", "_ = deadline", "./core/leaser", "Takeover"},
	{1, "a write with an unknown result counts as failed", "instance/controller/rows.go", "mayHaveApplied = mayHaveApplied || !isRefusal(err)", "mayHaveApplied = false", "./instance/controller", "."},
	{1, "a new owner does not wait for releases", "instance/controller/ownership.go", "if !ok || len(waits) > 0 {", "if !ok || len(waits) < 0 {", "./instance/controller", "."},
	{1, "a release does not wait for running requests", "instance/controller/server.go", "if !co.pu.IsIdle(service, pt) || co.pu.Epoch(service, pt) != 0 {", "if co.pu.Epoch(service, pt) != 0 {", "./instance/controller", "."},
	{1, "a partition is released under an older map", "instance/controller/ownership.go", "isBehind := tb == nil || tb.Map.Version < re.GetMapVersion()", "isBehind := tb == nil", "./instance/controller", "."},
	{2, "a lost answer counts as not run", "instance/gatekeeper/backend.go", "return &peerproto.ForwardResponse{Outcome: OutcomeUnknown, Code: CodeLost, Reason: reason}", "return &peerproto.ForwardResponse{Outcome: OutcomeNotRun, Code: CodeLost, Reason: reason}", "./instance/gatekeeper", "."},
	{3, "a cold server gets all slots", "core/admitter/gate.go", "ga.coldUntil = until\n\t\tga.limit = slots", "ga.coldUntil = until", "./core/admitter", "."},
	{4, "a data centre that is out keeps its weight", "core/folder/folder.go", "slices.Contains(co.DrainedDataCentres, ir.DataCentre) || ", "", "./core/folder", "."},
	{5, "the workspace key reaches the backend server", "instance/forwarder/forwarder.go", "\"Authorization\": true, ", "", "./bench/launcher", "TestOrderThroughEveryEntry"},
	{5, "callers can set the headers that the router adds", "instance/gatekeeper/backend.go", "header.Set(headerWorkspace, ex.Request.GetWorkspace())", "header.Add(headerWorkspace, ex.Request.GetWorkspace())", "./instance/gatekeeper", "."},
	{5, "keys are accepted on a stale configuration", "instance/publisher/publisher.go", "func (pu *Publisher) IsFresh() bool { return pu.clock.Now().Before(pu.FreshUntil()) }", "func (pu *Publisher) IsFresh() bool { return true }", "./bench/launcher", "TestWithdrawnKeyStops"},
	{5, "half of the data centres count as a majority", "core/freshener/freshener.go", "need := len(fr.attempts)/2 + 1", "need := max(1, len(fr.attempts)/2)", "./core/freshener", "."},
	{6, "grants by lost homes are not assumed to be in use", "core/limiter/home.go", "ho.assumed = float64(ho.losses) * ho.outstandingCap()", "ho.assumed = 0", "./core/limiter", "."},
	{6, "outstanding grants don't count against the burst", "core/limiter/home.go", "return max(0, ho.burst-ho.outstanding()-ho.assumed)", "return max(0, ho.burst-ho.assumed)", "./core/limiter", "."},
	{7, "an answer's tag is not verified", "wire/signer/signer.go", "if err != nil || !hmac.Equal(got, want) {\n\t\treturn nil, ErrInvalidTag", "if err != nil && !hmac.Equal(got, want) {\n\t\treturn nil, ErrInvalidTag", "./wire/signer", "."},
	{7, "a truncated answer counts as complete", "instance/gatekeeper/backend.go", "case err != nil:\n\t\treturn broken(\"the answer was cut short\", err)", "case false:", "./instance/gatekeeper", "."},
	{8, "a broken connection counts as not run", "instance/gatekeeper/backend.go", "case !wasConnected:", "case true:", "./instance/gatekeeper", "."},
	{9, "duplicate requests are not detected", "instance/gatekeeper/once.go", "if state != admitter.FirstCopy {", "if false {", "./instance/gatekeeper", "."},
	{9, "the HTTP transport may send a body twice", "instance/gatekeeper/backend.go", "re.Body = onceBody{ex.Body.NewReader()}", "if ex.Body.Len() > 0 {\n\t\tre.Body = onceBody{ex.Body.NewReader()}\n\t}", "./instance/gatekeeper", "."},
	{10, "a drained server keeps its weight", "core/folder/folder.go", " || slices.Contains(co.DrainedServers, ir.BackendServer)", "", "./core/folder", "."},
	{11, "a planned stop does not hand over", "instance/controller/leave.go", "ir := co.instanceRow(0)", "ir := co.instanceRow(4)", "./bench/launcher", "TestPlannedStopRefusesNothing"},
	{12, "an older document replaces a newer one", "instance/controller/documents.go", "if do.Version <= ds.held[do.Name].Version {", "if false {", "./instance/controller", "."},
	{12, "a lost write is reported as a success", "instance/administrator/editor.go", "if slices.ContainsFunc(present.Changes, isOurs) {", "if isOurs(record) {", "./instance/administrator", "."},
}

func main() {
	only := flag.Int("only", 0, "run the mutations of this invariant")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, "mutator:", err)
		os.Exit(1)
	}
}

func run(only int) error {
	folder, err := os.MkdirTemp("", "mutator")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := os.CopyFS(folder, os.DirFS(".")); err != nil {
		return fmt.Errorf("copy the tree: %w", err)
	}
	survivors := 0
	for _, mu := range mutations {
		if only != 0 && mu.invariant != only {
			continue
		}
		isNoticed, err := try(folder, mu)
		if err != nil {
			return err
		}
		verdict := "noticed"
		if !isNoticed {
			verdict = "SURVIVED"
			survivors++
		}
		fmt.Printf("| %d | %s | %s | %s |\n", mu.invariant, mu.what, strings.TrimPrefix(mu.test, "./"), verdict)
	}
	if survivors > 0 {
		return fmt.Errorf("%d mutations survived", survivors)
	}
	return nil
}

// try applies a mutation to the copy in folder, runs its test, and reverts it.
func try(folder string, mu mutation) (isNoticed bool, err error) {
	path := filepath.Join(folder, mu.file)
	content, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if count := strings.Count(string(content), mu.old); count != 1 {
		return false, fmt.Errorf("%s: %q occurs %d times, want 1", mu.file, mu.old, count)
	}
	changed := strings.Replace(string(content), mu.old, mu.new, 1)
	if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
		return false, err
	}
	defer func() {
		if undone := os.WriteFile(path, content, 0o644); err == nil {
			err = undone
		}
	}()
	return fails(folder, mu)
}

// fails reports whether the mutation's test fails or exceeds testTimeout. A
// mutation that does not compile would fail any test, so it is an error.
func fails(folder string, mu mutation) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-run", mu.run, mu.test)
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") {
		return false, fmt.Errorf("%s: does not compile: %s", mu.what, out)
	}
	return err != nil, nil
}
