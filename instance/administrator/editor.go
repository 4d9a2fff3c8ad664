// Package administrator is the HTTP API through which operators change the
// configuration and inspect an instance, and its client.
//
// Changes use optimistic concurrency control: each names the version of the
// configuration it is based on. If another change was committed since, the change
// is refused with a conflict that lists the other one.
//
// # Usage
//
//	ed := administrator.NewEditor(table, objects)
//	co, err := ed.Read(ctx)
//	committed, err := ed.Commit(ctx, co.Version, "ana", administrator.KeyGrant{Workspace: "natal", Digest: di})
package administrator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
)

const (
	configKey       = "config"
	mapPrefix       = "map/"
	memberPrefix    = "member/"
	changeIDBytes   = 8
	resolveTries    = 20
	resolveInterval = 50 * time.Millisecond
)

// VersionConflictError says that the configuration is no longer at the version
// that a change is based on. Nothing was written.
type VersionConflictError struct {
	Expected uint64
	Found    uint64
	// Others are the recorded changes since the expected version. Old records are
	// discarded, so the list may be incomplete.
	Others []cataloguer.Change
}

// Error implements error.
func (er *VersionConflictError) Error() string {
	message := fmt.Sprintf("administrator: the configuration is at version %d, the change was made from %d", er.Found, er.Expected)
	for _, ch := range er.Others {
		message += fmt.Sprintf("; version %d by %s: %s", ch.Version, ch.Operator, ch.Summary)
	}
	return message
}

// RejectedError says that a change is invalid for the current configuration.
// Nothing was written.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (er *RejectedError) Error() string { return "administrator: " + er.Reason }

// Edit is the sealed set of changes.
type Edit interface {
	isEdit()
	// summary describes the change in the configuration's history. It must not
	// contain a key.
	summary() string
}

// CatalogueApply replaces the catalogue. Keys of workspaces that the new one does
// not have are withdrawn.
type CatalogueApply struct{ Catalogue cataloguer.Catalogue }

// KeyGrant authorizes a key, given by its SHA-256 digest, for a workspace.
type KeyGrant struct {
	Workspace string
	Digest    cataloguer.Digest
}

// KeyWithdraw revokes one key of a workspace, or all of them if Digest is nil.
type KeyWithdraw struct {
	Workspace string
	Digest    *cataloguer.Digest
}

// BackendServerDrain moves the keys of a backend server to others and gives it no
// new work. IsReturn puts the server back into service.
type BackendServerDrain struct {
	BackendServer string
	IsReturn      bool
}

// DataCentreDrain moves the keys of a data centre to others and gives it no new work.
// IsReturn puts the data centre back into service.
type DataCentreDrain struct {
	DataCentre string
	IsReturn   bool
}

func (CatalogueApply) isEdit()     {}
func (KeyGrant) isEdit()           {}
func (KeyWithdraw) isEdit()        {}
func (BackendServerDrain) isEdit() {}
func (DataCentreDrain) isEdit()    {}

func (CatalogueApply) summary() string { return "catalogue applied" }

func (ed KeyGrant) summary() string { return "key granted to " + ed.Workspace }

func (ed KeyWithdraw) summary() string { return "key withdrawn from " + ed.Workspace }

func (ed BackendServerDrain) summary() string {
	return participle(ed.IsReturn, "drained", "returned") + " backend server " + ed.BackendServer
}

func (ed DataCentreDrain) summary() string {
	return participle(ed.IsReturn, "took out", "returned") + " data centre " + ed.DataCentre
}

func participle(isReturn bool, begin, end string) string {
	if isReturn {
		return end
	}
	return begin
}

// Editor reads and commits configurations. The table holds the name of the object
// that contains the current configuration.
type Editor struct {
	table   tabler.Table
	objects storer.Objects
}

// NewEditor returns an editor on the platform's table and object store. With nil
// objects, the configuration is not kept in the table: Read and Commit return a
// RejectedError.
func NewEditor(table tabler.Table, objects storer.Objects) *Editor {
	return &Editor{table: table, objects: objects}
}

// Read returns the current configuration, or an empty one at version 0 if there is
// none.
func (ed *Editor) Read(ctx context.Context) (cataloguer.Config, error) {
	if ed.objects == nil {
		return cataloguer.Config{}, &RejectedError{Reason: "the configuration is kept outside the table"}
	}
	rows, err := ed.table.Read(ctx, tabler.Query{Keys: []string{configKey}})
	if err != nil {
		return cataloguer.Config{}, err
	}
	ro := tabler.Find(rows, configKey)
	if ro.Version == 0 {
		return cataloguer.Config{}, nil
	}
	content, err := ed.objects.Get(ctx, string(ro.Value))
	if err != nil {
		return cataloguer.Config{}, err
	}
	return encoder.DecodeConfig(content)
}

// Map returns the partition map of a service, or an empty one at version 0 if there
// is none.
func (ed *Editor) Map(ctx context.Context, service string) (placer.Map, error) {
	key := mapPrefix + service
	rows, err := ed.table.Read(ctx, tabler.Query{Keys: []string{key}})
	if err != nil {
		return placer.Map{}, err
	}
	ro := tabler.Find(rows, key)
	if ro.Version == 0 {
		return placer.Map{Service: service}, nil
	}
	return encoder.DecodeMap(ro.Value)
}

// Forget revokes the incarnation in a backend server's row without the votes of the
// watchers, the acceptors of its lease. It is safe only if an operator knows that
// the VM is destroyed: a holder that still runs would go on serving its keys.
func (ed *Editor) Forget(ctx context.Context, backendServer string) error {
	key := memberPrefix + backendServer
	rows, err := ed.table.Read(ctx, tabler.Query{Keys: []string{key}})
	if err != nil {
		return err
	}
	ro := tabler.Find(rows, key)
	if ro.Version == 0 {
		return &RejectedError{Reason: "no backend server " + backendServer}
	}
	an, err := encoder.DecodeInstanceRow(ro.Value, ro.Version)
	if err != nil {
		return err
	}
	if an.State != folder.Active {
		return &RejectedError{Reason: "backend server " + backendServer + " has ended already"}
	}
	an.State, an.Era = folder.Revoked, tabler.EraOf(ed.table)
	value, err := encoder.EncodeInstanceRow(an)
	if err != nil {
		return err
	}
	_, err = ed.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: key, Version: ro.Version}},
		Writes:     []tabler.Write{{Key: key, Value: value}},
	})
	return err
}

// Committed is a committed configuration. Content is its encoded form.
type Committed struct {
	Config  cataloguer.Config
	Content []byte
}

// Commit applies an edit to the configuration at version from and returns the
// result. It fails with a *VersionConflictError if the configuration is at another
// version, and with a *RejectedError or *cataloguer.FieldError if the edit is
// invalid. If the response to the write is lost, it reads the configuration back
// to learn the outcome.
func (ed *Editor) Commit(ctx context.Context, from uint64, operator string, change Edit) (Committed, error) {
	if ed.objects == nil {
		return Committed{}, &RejectedError{Reason: "the configuration is kept outside the table and edited there"}
	}
	present, err := ed.Read(ctx)
	if err != nil {
		return Committed{}, err
	}
	if present.Version != from {
		return Committed{}, newConflict(from, present)
	}
	next, err := apply(present, change)
	if err != nil {
		return Committed{}, err
	}
	record := cataloguer.Change{
		ID: newID(), Version: from + 1, Operator: operator, Summary: change.summary(), At: time.Now().UnixMilli(),
	}
	next.Version = from + 1
	next.Changes = cataloguer.AppendChange(present.Changes, record)
	return ed.write(ctx, from, next, record)
}

func newID() string {
	var id [changeIDBytes]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (ed *Editor) write(ctx context.Context, from uint64, next cataloguer.Config, record cataloguer.Change) (Committed, error) {
	content, err := encoder.EncodeConfig(next)
	if err != nil {
		return Committed{}, fmt.Errorf("administrator: encode configuration: %w", err)
	}
	object := fmt.Sprintf("config/%d-%s", next.Version, record.ID)
	if err := ed.objects.Put(ctx, object, content); err != nil {
		return Committed{}, err
	}
	_, err = ed.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: configKey, Version: from}},
		Writes:     []tabler.Write{{Key: configKey, Value: []byte(object)}},
	})
	if err == nil {
		return Committed{Config: next, Content: content}, nil
	}
	return ed.resolveOutcome(ctx, Committed{Config: next, Content: content}, from, record, err)
}

// resolveOutcome reads the configuration back after a failed write, to learn whether
// the write took effect. It gives up after resolveTries failed reads.
func (ed *Editor) resolveOutcome(ctx context.Context, written Committed, from uint64, record cataloguer.Change, cause error) (Committed, error) {
	for range resolveTries {
		present, err := ed.Read(ctx)
		if err == nil {
			return outcomeFrom(written, from, record, present, cause)
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return Committed{}, fmt.Errorf("administrator: outcome unknown: %w", cause)
		}
	}
	return Committed{}, fmt.Errorf("administrator: outcome unknown: %w", cause)
}

// outcomeFrom returns the outcome of a failed write, given the configuration read
// after it. The write took effect if its change is in the configuration's history.
func outcomeFrom(written Committed, from uint64, record cataloguer.Change, present cataloguer.Config, cause error) (Committed, error) {
	isOurs := func(ch cataloguer.Change) bool { return ch.ID == record.ID }
	if slices.ContainsFunc(present.Changes, isOurs) {
		return written, nil
	}
	var co *tabler.ConflictError
	if errors.As(cause, &co) || present.Version != from {
		return Committed{}, newConflict(from, present)
	}
	return Committed{}, cause
}

func newConflict(from uint64, present cataloguer.Config) error {
	er := &VersionConflictError{Expected: from, Found: present.Version}
	for _, ch := range present.Changes {
		if ch.Version > from {
			er.Others = append(er.Others, ch)
		}
	}
	return er
}

// apply returns the configuration after an edit, without changing present.
func apply(present cataloguer.Config, change Edit) (cataloguer.Config, error) {
	next := present
	switch ch := change.(type) {
	case CatalogueApply:
		return applyCatalogue(next, ch.Catalogue)
	case KeyGrant:
		return applyGrant(next, ch)
	case KeyWithdraw:
		return applyWithdraw(next, ch)
	case BackendServerDrain:
		if ch.BackendServer == "" {
			return next, &RejectedError{Reason: "a backend server's name is needed"}
		}
		next.DrainedServers = setListed(next.DrainedServers, ch.BackendServer, ch.IsReturn)
		return next, nil
	case DataCentreDrain:
		return applyDataCentreDrain(next, ch)
	default:
		panic(fmt.Sprintf("administrator: unknown edit %T", change))
	}
}

func applyCatalogue(next cataloguer.Config, cat cataloguer.Catalogue) (cataloguer.Config, error) {
	if err := cataloguer.Validate(cat); err != nil {
		return next, err
	}
	for _, sv := range next.Catalogue.Services {
		i := slices.IndexFunc(cat.Services, func(other cataloguer.Service) bool { return other.Name == sv.Name })
		if i < 0 {
			continue
		}
		if cat.Services[i].Class != sv.Class || cat.Services[i].Partitions != sv.Partitions {
			return next, &RejectedError{Reason: "service " + sv.Name + ": class and partitions can't change"}
		}
	}
	next.Catalogue = cat
	next.WorkspaceKeys = slices.DeleteFunc(slices.Clone(next.WorkspaceKeys), func(ke cataloguer.WorkspaceKey) bool { return !hasWorkspace(cat, ke.Workspace) })
	return next, nil
}

func hasWorkspace(cat cataloguer.Catalogue, name string) bool {
	return slices.ContainsFunc(cat.Workspaces, func(ws cataloguer.Workspace) bool { return ws.Name == name })
}

func applyGrant(next cataloguer.Config, ch KeyGrant) (cataloguer.Config, error) {
	if !hasWorkspace(next.Catalogue, ch.Workspace) {
		return next, &RejectedError{Reason: "no workspace " + ch.Workspace}
	}
	if slices.ContainsFunc(next.WorkspaceKeys, func(ke cataloguer.WorkspaceKey) bool { return ke.Digest == ch.Digest }) {
		return next, &RejectedError{Reason: "the key is granted already"}
	}
	next.WorkspaceKeys = append(slices.Clone(next.WorkspaceKeys), cataloguer.WorkspaceKey(cataloguer.WorkspaceKey{Digest: ch.Digest, Workspace: ch.Workspace}))
	return next, nil
}

func applyWithdraw(next cataloguer.Config, ch KeyWithdraw) (cataloguer.Config, error) {
	kept := slices.DeleteFunc(slices.Clone(next.WorkspaceKeys), func(ke cataloguer.WorkspaceKey) bool {
		return ke.Workspace == ch.Workspace && (ch.Digest == nil || *ch.Digest == ke.Digest)
	})
	if len(kept) == len(next.WorkspaceKeys) {
		return next, &RejectedError{Reason: "workspace " + ch.Workspace + " holds no such key"}
	}
	next.WorkspaceKeys = kept
	return next, nil
}

func applyDataCentreDrain(next cataloguer.Config, ch DataCentreDrain) (cataloguer.Config, error) {
	isKnown := slices.ContainsFunc(next.Catalogue.DataCentres, func(dc cataloguer.DataCentre) bool { return dc.Name == ch.DataCentre })
	if !isKnown {
		return next, &RejectedError{Reason: "no data centre " + ch.DataCentre}
	}
	next.DrainedDataCentres = setListed(next.DrainedDataCentres, ch.DataCentre, ch.IsReturn)
	return next, nil
}

// setListed returns a copy of the list without the name, or with the name at its end.
func setListed(list []string, name string, isRemoval bool) []string {
	without := slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == name })
	if isRemoval {
		return without
	}
	return append(without, name)
}
