package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/wire/parser"
)

const (
	operatorTimeout = 20 * time.Second
	keyBytes        = 24
)

// operator holds the flags and methods that all operators' commands share.
type operator struct {
	*streams
	Administrator string `long:"administrator" env:"CORNELLANDING_ADMINISTRATOR" default:"127.0.0.1:7002" description:"Administration address of any instance"`
	Operator      string `long:"operator" description:"Name recorded with changes; the user's name by default"`
	From          uint64 `long:"from" description:"Version the change was made from; the version in force by default"`
}

func (op *operator) client() (*administrator.Client, error) {
	key := os.Getenv("CORNELLANDING_OPERATOR_KEY")
	if key == "" {
		return nil, errors.New("CORNELLANDING_OPERATOR_KEY is not set")
	}
	return administrator.NewClient(op.Administrator, key), nil
}

func (op *operator) name() string {
	if op.Operator != "" {
		return op.Operator
	}
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	return "unknown"
}

// edit commits a change based on the version --from, or on the current version of
// the configuration, and prints the new version.
func (op *operator) edit(body administrator.WireEdit) error {
	cl, err := op.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	body.Operator, body.From = op.name(), op.From
	if body.From == 0 {
		present, err := cl.Config(ctx)
		if err != nil {
			return err
		}
		body.From = present.Version
	}
	committed, err := cl.Edit(ctx, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(op.out, "version %d\n", committed.Version)
	return nil
}

type catalogueApply struct {
	operator
	Args fileArgument `positional-args:"true" required:"true"`
}

type fileArgument struct {
	File string `positional-arg-name:"FILE"`
}

// Execute implements flags.Commander.
func (ca *catalogueApply) Execute([]string) error {
	content, err := os.ReadFile(ca.Args.File)
	if err != nil {
		return err
	}
	if _, err := parser.ParseCatalogue(ca.Args.File, content); err != nil {
		return err
	}
	return ca.edit(administrator.WireEdit{Kind: administrator.KindCatalogue, Catalogue: string(content), File: ca.Args.File})
}

type catalogueShow struct{ operator }

// Execute implements flags.Commander.
func (cs *catalogueShow) Execute([]string) error {
	present, err := cs.config()
	if err != nil {
		return err
	}
	fmt.Fprintf(cs.out, "# version %d\n%s", present.Version, present.Catalogue)
	return nil
}

func (op *operator) config() (administrator.WireConfig, error) {
	cl, err := op.client()
	if err != nil {
		return administrator.WireConfig{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return cl.Config(ctx)
}

type catalogueDiff struct {
	operator
	Args fileArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander. It fails if the file and the catalogue in
// force differ.
func (cd *catalogueDiff) Execute([]string) error {
	content, err := os.ReadFile(cd.Args.File)
	if err != nil {
		return err
	}
	cat, err := parser.ParseCatalogue(cd.Args.File, content)
	if err != nil {
		return err
	}
	wanted, err := parser.FormatCatalogue(cat)
	if err != nil {
		return err
	}
	present, err := cd.config()
	if err != nil {
		return err
	}
	if printDiff(cd.out, present.Catalogue, wanted) {
		return errFailed
	}
	return nil
}

// printDiff prints a line diff without context, with "- " and "+ " before lines that
// only before or after has, and reports whether there are any.
func printDiff(out io.Writer, before, after string) bool {
	old, next := strings.Split(before, "\n"), strings.Split(after, "\n")
	lengths := commonLengths(old, next)
	isDifferent := false
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		switch {
		case i < len(old) && j < len(next) && old[i] == next[j]:
			i, j = i+1, j+1
		case j >= len(next) || i < len(old) && lengths[i+1][j] >= lengths[i][j+1]:
			fmt.Fprintln(out, "- "+old[i])
			isDifferent = true
			i++
		default:
			fmt.Fprintln(out, "+ "+next[j])
			isDifferent = true
			j++
		}
	}
	return isDifferent
}

// commonLengths returns the length of the longest common subsequence of old[i:] and
// next[j:] at [i][j].
func commonLengths(old, next []string) [][]int {
	lengths := make([][]int, len(old)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(next)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(next) - 1; j >= 0; j-- {
			if old[i] == next[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

type keyGrant struct {
	operator
	Workspace string `long:"workspace" required:"true" description:"Workspace the key acts for"`
}

// Execute implements flags.Commander. The key is printed once and not stored; the
// configuration contains only its digest.
func (kg *keyGrant) Execute([]string) error {
	raw := make([]byte, keyBytes)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(raw)
	key := hex.EncodeToString(raw)
	digest := sha256.Sum256([]byte(key))
	err := kg.edit(administrator.WireEdit{Kind: administrator.KindGrant, Workspace: kg.Workspace, Digest: hex.EncodeToString(digest[:])})
	if err != nil {
		return err
	}
	fmt.Fprintf(kg.out, "key %s\n", key)
	return nil
}

type keyWithdraw struct {
	operator
	Workspace string `long:"workspace" required:"true" description:"Workspace whose keys are withdrawn"`
	KeyStdin  bool   `long:"key-stdin" description:"Read one key from standard input and withdraw only that"`
}

// Execute implements flags.Commander. The key is read from standard input, because
// other users of the machine can see command-line arguments.
func (kw *keyWithdraw) Execute([]string) error {
	body := administrator.WireEdit{Kind: administrator.KindWithdraw, Workspace: kw.Workspace}
	if kw.KeyStdin {
		content, err := io.ReadAll(io.LimitReader(kw.in, 4096))
		if err != nil {
			return err
		}
		digest := sha256.Sum256(bytes.TrimSpace(content))
		body.Digest = hex.EncodeToString(digest[:])
	}
	return kw.edit(body)
}

type drainCommand struct {
	operator
	BackendServer string `long:"backend-server" required:"true" description:"Name of the backend server"`
}

// Execute implements flags.Commander.
func (dc *drainCommand) Execute([]string) error {
	return dc.edit(administrator.WireEdit{Kind: administrator.KindDrain, BackendServer: dc.BackendServer})
}

type returnCommand struct {
	operator
	BackendServer string `long:"backend-server" required:"true" description:"Name of the backend server"`
}

// Execute implements flags.Commander.
func (rc *returnCommand) Execute([]string) error {
	return rc.edit(administrator.WireEdit{Kind: administrator.KindReturn, BackendServer: rc.BackendServer})
}

type forgetCommand struct {
	operator
	BackendServer string `long:"backend-server" required:"true" description:"Name of the backend server"`
	IsDestroyed   bool   `long:"vm-is-destroyed" description:"Your word that the VM is destroyed; without it nothing is done"`
}

// Execute implements flags.Commander.
func (fc *forgetCommand) Execute([]string) error {
	cl, err := fc.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	err = cl.Forget(ctx, administrator.WireForget{BackendServer: fc.BackendServer, IsDestroyed: fc.IsDestroyed})
	if err != nil {
		return err
	}
	fmt.Fprintf(fc.out, "forgot %s\n", fc.BackendServer)
	return nil
}

type dataCentreArgument struct {
	DataCentre string `positional-arg-name:"DATACENTRE"`
}

type dataCentreOut struct {
	operator
	Args dataCentreArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (co *dataCentreOut) Execute([]string) error {
	return co.edit(administrator.WireEdit{Kind: administrator.KindDataCentreOut, DataCentre: co.Args.DataCentre})
}

type dataCentreReturn struct {
	operator
	Args dataCentreArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (cr *dataCentreReturn) Execute([]string) error {
	return cr.edit(administrator.WireEdit{Kind: administrator.KindDataCentreReturn, DataCentre: cr.Args.DataCentre})
}

type statusCommand struct{ operator }

// Execute implements flags.Commander.
func (sc *statusCommand) Execute([]string) error {
	cl, err := sc.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	st, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(sc.out, "backend server %s, incarnation %d, configuration %s\n", st.BackendServer, st.Incarnation, sequencer.Format(st.ConfigVersion))
	fmt.Fprintf(sc.out, "joined %v, lease %v, fresh %v, watchers %s\n", st.IsJoined, st.HasLease, st.IsFresh, strings.Join(st.Watchers, ", "))
	for service, owned := range st.Owned {
		fmt.Fprintf(sc.out, "%s: owns %d partitions, %d pending, map %s\n", service, owned, st.Pending[service], placer.FormatVersion(st.MapVersions[service]))
	}
	tw := tabwriter.NewWriter(sc.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tBACKEND SERVER\tDATA CENTRE\tWEIGHT\tINCARNATION")
	for _, me := range st.Members {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\n", me.Service, me.BackendServer, me.DataCentre, me.Weight, me.Incarnation)
	}
	return tw.Flush()
}

type warningsCommand struct{ operator }

// Execute implements flags.Commander.
func (wc *warningsCommand) Execute([]string) error {
	cl, err := wc.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	list, err := cl.Warnings(ctx)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		fmt.Fprintln(wc.out, "no warnings")
	}
	for _, wa := range list {
		fmt.Fprintf(wc.out, "%s %s for %.0f s: %s\n", wa.Kind, wa.Subject, wa.Seconds, wa.Reason)
	}
	return nil
}

type explainCommand struct {
	operator
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (ec *explainCommand) Execute([]string) error {
	cl, err := ec.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	list, err := cl.Explain(ctx, ec.Args.Key)
	if err != nil {
		return err
	}
	for _, we := range list {
		fmt.Fprintf(ec.out, "%s: key %s is in partition %d, owned by %s in %s\n", we.Service, we.Key, we.Partition, we.Owner, we.DataCentre)
		fmt.Fprintf(ec.out, "  why: highest score of %d members in map %s; next would be %s\n", we.Members, placer.FormatVersion(we.MapVersion), nextOwners(we))
		fmt.Fprintf(ec.out, "  since: %s\n", ownedSince(we))
	}
	return nil
}

func nextOwners(we administrator.WireExplanation) string {
	if len(we.Next) == 0 {
		return "nobody"
	}
	return strings.Join(we.Next, ", ")
}

func ownedSince(we administrator.WireExplanation) string {
	if we.SinceVersion == 0 {
		return "before the oldest change on record"
	}
	return fmt.Sprintf("map %s at %s", placer.FormatVersion(we.SinceVersion), time.UnixMilli(we.SinceAt).UTC().Format(time.RFC3339))
}
