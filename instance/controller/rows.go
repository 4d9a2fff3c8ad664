package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
)

const (
	tableTimeout = 2 * time.Second
	// pollTimeout is short, so that an outage is noticed while the last
	// successful read still counts.
	pollTimeout  = time.Second
	foldAttempts = 40
	foldJitter   = 20 * time.Millisecond
	writeBackoff = 50 * time.Millisecond
	// maxWriteBackoff bounds the load on a table that comes back.
	maxWriteBackoff = time.Second
)

// ledger does the slow work on the table and the object store, outside the
// control thread.
type ledger struct {
	table   tabler.Table
	objects storer.Objects
	// held returns the configuration in force if operators keep it elsewhere
	// than in the table, else it is nil.
	held func() cataloguer.Config
}

// readDocuments reads the documents that are newer than the versions. The maps
// are left out unless isWhole: they spread by peers, and freshness rests on the
// configuration alone.
func (le *ledger) readDocuments(ctx context.Context, have map[string]uint64, isWhole bool) ([]Document, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if le.held != nil {
		return le.readMaps(ctx)
	}
	query := tabler.Query{Keys: []string{ConfigKey}, VersionsOnly: true}
	if isWhole {
		query.Prefixes = []string{MapPrefix}
	}
	rows, err := le.table.Read(ctx, query)
	if err != nil {
		return nil, err
	}
	var newer []string
	for _, ro := range rows {
		if ro.Version > have[ro.Key] {
			newer = append(newer, ro.Key)
		}
	}
	if len(newer) == 0 {
		return nil, nil
	}
	rows, err = le.table.Read(ctx, tabler.Query{Keys: newer})
	if err != nil {
		return nil, err
	}
	return le.toDocuments(ctx, rows)
}

// readMaps reads all maps.
func (le *ledger) readMaps(ctx context.Context) ([]Document, error) {
	rows, err := le.table.Read(ctx, tabler.Query{Prefixes: []string{MapPrefix}})
	if err != nil {
		return nil, err
	}
	return le.toDocuments(ctx, rows)
}

func (le *ledger) toDocuments(ctx context.Context, rows []tabler.Row) ([]Document, error) {
	var docs []Document
	for _, ro := range rows {
		do, err := le.toDocument(ctx, ro)
		if err != nil {
			return nil, err
		}
		docs = append(docs, do)
	}
	return docs, nil
}

// toDocument returns the document of a row. A map has a version of its own,
// which need not be that of its row.
func (le *ledger) toDocument(ctx context.Context, ro tabler.Row) (Document, error) {
	if ro.Key == ConfigKey {
		content, err := le.objects.Get(ctx, string(ro.Value))
		return Document{Name: ro.Key, Version: ro.Version, Content: content}, err
	}
	ma, err := encoder.DecodeMap(ro.Value)
	return Document{Name: ro.Key, Version: ma.Version, Content: ro.Value, decoded: &ma}, err
}

// readRow reads one instance's row. An absent row has lease version 0.
func (le *ledger) readRow(ctx context.Context, name string) (folder.InstanceRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := MemberPrefix + name
	rows, err := le.table.Read(ctx, tabler.Query{Keys: []string{key}})
	if err != nil {
		return folder.InstanceRow{}, err
	}
	ro := tabler.Find(rows, key)
	if ro.Version == 0 {
		return folder.InstanceRow{}, nil
	}
	return encoder.DecodeInstanceRow(ro.Value, ro.Version)
}

// watchedOn lists the holders whose rows name a former incarnation on the VM of
// self as a watcher.
func (le *ledger) watchedOn(ctx context.Context, self publisher.Self) ([]placer.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := le.table.Read(ctx, tabler.Query{Prefixes: []string{MemberPrefix}})
	if err != nil {
		return nil, err
	}
	var holders []placer.Member
	for _, ro := range rows {
		an, err := encoder.DecodeInstanceRow(ro.Value, ro.Version)
		if err != nil {
			return nil, err
		}
		isFormer := func(wt leaser.WatcherID) bool {
			return wt.BackendServer == self.BackendServer && wt.Incarnation != self.Incarnation
		}
		if an.State == folder.Active && an.BackendServer != self.BackendServer && slices.ContainsFunc(an.Lease.Watchers, isFormer) {
			holders = append(holders, placer.Member{BackendServer: an.BackendServer, Incarnation: an.Lease.Incarnation, Address: an.Address})
		}
	}
	return holders, nil
}

// writeRow writes a row on condition of the version in its lease, and does not
// return before it is proved what became of the write, or ctx ends.
//
// An answer may be lost after the write took effect, and a write without an
// answer may take effect later. So reading the row at its former version proves
// nothing: the write is repeated on the same condition until the row has gone
// beyond that version. It returns the row as found.
func (le *ledger) writeRow(ctx context.Context, an folder.InstanceRow) (folder.InstanceRow, error) {
	value, err := encoder.EncodeInstanceRow(an)
	if err != nil {
		return folder.InstanceRow{}, fmt.Errorf("controller: encode row: %w", err)
	}
	mayLand := false
	backoff := writeBackoff
	for {
		version, err := le.commitRow(ctx, an, value)
		if err == nil {
			an.Lease.Version = version
			return an, nil
		}
		mayLand = mayLand || !isRefusal(err)
		found, readErr := le.readRow(ctx, an.BackendServer)
		isUnchanged := readErr == nil && found.Lease.Version == an.Lease.Version
		switch {
		case readErr == nil && !isUnchanged:
			return found, judge(an, found, err)
		case isUnchanged && !mayLand:
			return found, err
		}
		if !timer.Sleep(ctx, backoff) {
			return folder.InstanceRow{}, fmt.Errorf("controller: outcome of a row's write is unknown: %w", err)
		}
		backoff = min(2*backoff, maxWriteBackoff)
	}
}

func (le *ledger) commitRow(ctx context.Context, an folder.InstanceRow, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := MemberPrefix + an.BackendServer
	return le.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: key, Version: an.Lease.Version}},
		Writes:     []tabler.Write{{Key: key, Value: value}},
	})
}

// isRefusal reports whether an error proves that a call wrote nothing.
func isRefusal(err error) bool {
	var (
		conflict *tabler.ConflictError
		refused  *tabler.RefusedError
	)
	return errors.As(err, &conflict) || errors.As(err, &refused)
}

// judge reports nil if found is what was written, else the cause. Only its own
// incarnation and those that end it write a row, so that alike is the same.
func judge(written, found folder.InstanceRow, cause error) error {
	isSame := found.Lease.Version > written.Lease.Version &&
		found.Lease.Incarnation == written.Lease.Incarnation &&
		found.State == written.State && found.Weight == written.Weight && found.IsStopping == written.IsStopping &&
		slices.Equal(found.Lease.Watchers, written.Lease.Watchers)
	if isSame {
		return nil
	}
	return cause
}

// fold brings the maps up to date with the rows. It tries again on conflicts,
// since then somebody else has folded.
func (le *ledger) fold(ctx context.Context) ([]Document, error) {
	var last error
	for range foldAttempts {
		docs, isDone, err := le.foldOnce(ctx)
		if isDone {
			return docs, nil
		}
		last = err
		jitter := time.Duration(rand.Int64N(int64(foldJitter)))
		if !timer.Sleep(ctx, jitter) {
			break
		}
	}
	return nil, fmt.Errorf("controller: fold: %w", last)
}

func (le *ledger) foldOnce(ctx context.Context) ([]Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	query := tabler.Query{Prefixes: []string{MapPrefix, MemberPrefix}}
	if le.held == nil {
		query.Keys = []string{ConfigKey}
	}
	rows, err := le.table.Read(ctx, query)
	if err != nil {
		return nil, false, err
	}
	in, docs, err := le.foldInput(ctx, rows)
	if err != nil {
		return nil, false, err
	}
	changed := folder.Fold(in)
	if len(changed) == 0 || in.Config.Version == 0 {
		return docs, true, nil
	}
	return le.commitMaps(ctx, changed, rows)
}

func (le *ledger) foldInput(ctx context.Context, rows []tabler.Row) (folder.Input, []Document, error) {
	in := folder.Input{Maps: map[string]placer.Map{}, At: time.Now().UnixMilli()}
	var agreed []tabler.Row
	for _, ro := range rows {
		if !strings.HasPrefix(ro.Key, MemberPrefix) {
			agreed = append(agreed, ro)
			continue
		}
		an, err := encoder.DecodeInstanceRow(ro.Value, ro.Version)
		if err != nil {
			return in, nil, err
		}
		in.Rows = append(in.Rows, an)
	}
	docs, err := le.toDocuments(ctx, agreed)
	if err != nil {
		return in, nil, err
	}
	for _, do := range docs {
		if err := addDocument(&in, do); err != nil {
			return in, nil, err
		}
	}
	if le.held != nil {
		in.Config = le.held()
	}
	return in, docs, nil
}

func addDocument(in *folder.Input, do Document) error {
	if do.Name == ConfigKey {
		co, err := encoder.DecodeConfig(do.Content)
		in.Config = co
		return err
	}
	ma, err := do.toMap()
	in.Maps[ma.Service] = ma
	return err
}

// commitMaps writes the changed maps on condition of their rows as read and of
// the configuration they follow.
func (le *ledger) commitMaps(ctx context.Context, changed []placer.Map, rows []tabler.Row) ([]Document, bool, error) {
	var tx tabler.Transaction
	if le.held == nil {
		tx.Conditions = []tabler.Condition{{Key: ConfigKey, Version: tabler.Find(rows, ConfigKey).Version}}
	}
	var docs []Document
	for _, ma := range changed {
		content, err := encoder.EncodeMap(ma)
		if err != nil {
			return nil, false, fmt.Errorf("controller: encode map: %w", err)
		}
		key := MapPrefix + ma.Service
		tx.Conditions = append(tx.Conditions, tabler.Condition{Key: key, Version: tabler.Find(rows, key).Version})
		tx.Writes = append(tx.Writes, tabler.Write{Key: key, Value: content})
		docs = append(docs, Document{Name: key, Version: ma.Version, Content: content})
	}
	if _, err := le.table.Commit(ctx, tx); err != nil {
		return nil, false, err
	}
	return docs, true, nil
}

// join announces the instance, after the former incarnation of its backend
// server is known to serve nothing. It returns the row as committed, and whether
// there was none before.
func (le *ledger) join(ctx context.Context, an folder.InstanceRow, revoke func(context.Context, folder.InstanceRow) error) (row leaser.Row, isFirst bool, err error) {
	former, err := le.readRow(ctx, an.BackendServer)
	if err != nil {
		return leaser.Row{}, false, err
	}
	if former.Lease.Incarnation == an.Lease.Incarnation && former.State == folder.Active {
		return former.Lease, false, nil
	}
	if !isEnded(former, an) {
		if err := revoke(ctx, former); err != nil {
			return leaser.Row{}, false, fmt.Errorf("controller: former incarnation: %w", err)
		}
	}
	an.Lease.Version = former.Lease.Version
	committed, err := le.writeRow(ctx, an)
	if err != nil {
		return leaser.Row{}, false, err
	}
	return committed.Lease, former.Lease.Version == 0, nil
}

// isEnded reports whether the former incarnation provably serves nothing: it
// left, was revoked, never had watchers and so never a lease, or ran at the
// address whose port this process now holds.
func isEnded(former, an folder.InstanceRow) bool {
	return former.Lease.Version == 0 || former.State != folder.Active ||
		len(former.Lease.Watchers) == 0 || former.Address == an.Address
}

// isOver reports whether a row was found and its incarnation has ended.
func isOver(found folder.InstanceRow) bool {
	return found.Lease.Version != 0 && found.State != folder.Active
}

// end writes the final state of an incarnation's row. It reports success also
// if the row names another incarnation or has ended already.
func (le *ledger) end(ctx context.Context, row folder.InstanceRow, state folder.State) error {
	row.State = state
	found, err := le.writeRow(ctx, row)
	if err == nil {
		return nil
	}
	isReplaced := found.Lease.Version != 0 && found.Lease.Incarnation != row.Lease.Incarnation
	if isReplaced || isOver(found) {
		return nil
	}
	return err
}
