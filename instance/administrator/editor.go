// Package administrator is the operators' API of an instance.
//
// Every change names the version of the configuration it was made from. If
// another operator was faster, the change is refused with a conflict that names
// the other's change.
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
	configKey     = "config"
	mapPrefix     = "map/"
	memberPrefix  = "member/"
	changeIDBytes = 8
	settleTries   = 20
	settleBackoff = 50 * time.Millisecond
)

// VersionConflictError says that the configuration is no longer at the version
// a change was made from.
type VersionConflictError struct {
	Expected uint64
	Found    uint64
	// Others are the changes since the expected version, as far as kept.
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

// RejectedError says that a change makes no sense.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (er *RejectedError) Error() string { return "administrator: " + er.Reason }

// Edit is the sealed set of changes.
type Edit interface {
	isEdit()
	// summary is kept with the change. It must not hold a key.
	summary() string
}

// CatalogueApply replaces the catalogue.
type CatalogueApply struct{ Catalogue cataloguer.Catalogue }

// KeyGrant lets a key act for a workspace.
type KeyGrant struct {
	Workspace string
	Digest    cataloguer.Digest
}

// KeyWithdraw ends one key, or all keys of a workspace if Digest is nil.
type KeyWithdraw struct {
	Workspace string
	Digest    *cataloguer.Digest
}

// BackendServerDrain gives a backend server no new work, or ends that.
type BackendServerDrain struct {
	BackendServer string
	IsReturn      bool
}

// DataCentreOut gives a data centre no new work, or ends that.
type DataCentreOut struct {
	DataCentre string
	IsReturn   bool
}

func (CatalogueApply) isEdit()     {}
func (KeyGrant) isEdit()           {}
func (KeyWithdraw) isEdit()        {}
func (BackendServerDrain) isEdit() {}
func (DataCentreOut) isEdit()      {}

func (CatalogueApply) summary() string { return "catalogue applied" }

func (ed KeyGrant) summary() string { return "key granted to " + ed.Workspace }

func (ed KeyWithdraw) summary() string { return "key withdrawn from " + ed.Workspace }

func (ed BackendServerDrain) summary() string {
	return verb(ed.IsReturn, "drained", "returned") + " backend server " + ed.BackendServer
}

func (ed DataCentreOut) summary() string {
	return verb(ed.IsReturn, "took out", "returned") + " data centre " + ed.DataCentre
}

func verb(isReturn bool, begin, end string) string {
	if isReturn {
		return end
	}
	return begin
}

// Editor reads and commits configurations.
type Editor struct {
	table   tabler.Table
	objects storer.Objects
}

// NewEditor returns an editor on the platform.
func NewEditor(table tabler.Table, objects storer.Objects) *Editor {
	return &Editor{table: table, objects: objects}
}

// Read returns the configuration in the table, at version 0 if there is none.
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

// Map returns the map of a service in the table, at version 0 if there is none.
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

// Forget ends the incarnation in a backend server's row without its watchers'
// votes. Only an operator who knows that the VM is destroyed may ask for it: a
// holder that still runs would go on serving.
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
	an.State = folder.Revoked
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

// Committed is a configuration as it was committed, in its stored form too.
type Committed struct {
	Config  cataloguer.Config
	Content []byte
}

// Commit applies an edit to the configuration at version from. A lost answer
// is resolved by reading the configuration back.
func (ed *Editor) Commit(ctx context.Context, from uint64, operator string, change Edit) (Committed, error) {
	if ed.objects == nil {
		return Committed{}, &RejectedError{Reason: "the configuration is kept outside the table and edited there"}
	}
	present, err := ed.Read(ctx)
	if err != nil {
		return Committed{}, err
	}
	if present.Version != from {
		return Committed{}, conflict(from, present)
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
		return Committed{}, fmt.Errorf("administrator: encode: %w", err)
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
	return ed.settle(ctx, Committed{Config: next, Content: content}, from, record, err)
}

// settle finds out whether a write without an answer took effect.
func (ed *Editor) settle(ctx context.Context, written Committed, from uint64, record cataloguer.Change, cause error) (Committed, error) {
	for range settleTries {
		present, err := ed.Read(ctx)
		if err == nil {
			return judge(written, from, record, present, cause)
		}
		select {
		case <-time.After(settleBackoff):
		case <-ctx.Done():
			return Committed{}, fmt.Errorf("administrator: outcome unknown: %w", cause)
		}
	}
	return Committed{}, fmt.Errorf("administrator: outcome unknown: %w", cause)
}

func judge(written Committed, from uint64, record cataloguer.Change, present cataloguer.Config, cause error) (Committed, error) {
	isOurs := func(ch cataloguer.Change) bool { return ch.ID == record.ID }
	if slices.ContainsFunc(present.Changes, isOurs) {
		return written, nil
	}
	var co *tabler.ConflictError
	if errors.As(cause, &co) || present.Version != from {
		return Committed{}, conflict(from, present)
	}
	return Committed{}, cause
}

func conflict(from uint64, present cataloguer.Config) error {
	er := &VersionConflictError{Expected: from, Found: present.Version}
	for _, ch := range present.Changes {
		if ch.Version > from {
			er.Others = append(er.Others, ch)
		}
	}
	return er
}

// apply returns the configuration after an edit.
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
		next.DrainedServers = toggle(next.DrainedServers, ch.BackendServer, ch.IsReturn)
		return next, nil
	case DataCentreOut:
		return applyOut(next, ch)
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
	next.Keys = slices.DeleteFunc(slices.Clone(next.Keys), func(ke cataloguer.WorkspaceKey) bool { return !hasWorkspace(cat, ke.Workspace) })
	return next, nil
}

func hasWorkspace(cat cataloguer.Catalogue, name string) bool {
	return slices.ContainsFunc(cat.Workspaces, func(ws cataloguer.Workspace) bool { return ws.Name == name })
}

func applyGrant(next cataloguer.Config, ch KeyGrant) (cataloguer.Config, error) {
	if !hasWorkspace(next.Catalogue, ch.Workspace) {
		return next, &RejectedError{Reason: "no workspace " + ch.Workspace}
	}
	if slices.ContainsFunc(next.Keys, func(ke cataloguer.WorkspaceKey) bool { return ke.Digest == ch.Digest }) {
		return next, &RejectedError{Reason: "the key is granted already"}
	}
	next.Keys = append(slices.Clone(next.Keys), cataloguer.WorkspaceKey(cataloguer.WorkspaceKey{Digest: ch.Digest, Workspace: ch.Workspace}))
	return next, nil
}

func applyWithdraw(next cataloguer.Config, ch KeyWithdraw) (cataloguer.Config, error) {
	kept := slices.DeleteFunc(slices.Clone(next.Keys), func(ke cataloguer.WorkspaceKey) bool {
		return ke.Workspace == ch.Workspace && (ch.Digest == nil || *ch.Digest == ke.Digest)
	})
	if len(kept) == len(next.Keys) {
		return next, &RejectedError{Reason: "workspace " + ch.Workspace + " holds no such key"}
	}
	next.Keys = kept
	return next, nil
}

func applyOut(next cataloguer.Config, ch DataCentreOut) (cataloguer.Config, error) {
	isKnown := slices.ContainsFunc(next.Catalogue.DataCentres, func(dc cataloguer.DataCentre) bool { return dc.Name == ch.DataCentre })
	if !isKnown {
		return next, &RejectedError{Reason: "no data centre " + ch.DataCentre}
	}
	next.DrainedDataCentres = toggle(next.DrainedDataCentres, ch.DataCentre, ch.IsReturn)
	return next, nil
}

// toggle returns the list with the name added or removed.
func toggle(list []string, name string, isRemoval bool) []string {
	without := slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == name })
	if isRemoval {
		return without
	}
	return append(without, name)
}
