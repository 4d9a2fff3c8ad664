package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"github.com/hashicorp/go-hclog"
)

const (
	tableTimeout = 2 * time.Second
	// pollTimeout is short, so that an outage is noticed while the last
	// successful read is still fresh.
	pollTimeout  = time.Second
	foldAttempts = 40
	foldJitter   = 20 * time.Millisecond
	writeBackoff = 50 * time.Millisecond
	// maxWriteBackoff bounds the load on a table that recovers from an outage.
	maxWriteBackoff = time.Second
)

// tableStore reads and writes the table and the object store. Its calls block, so
// they run outside the event loop.
type tableStore struct {
	table   tabler.Table
	objects storer.Objects
	// externalConfig returns the configuration in force if operators keep it
	// outside the table, else it is nil.
	externalConfig func() cataloguer.Config
	// hasRollOuts means that the states of the services' versions are read and kept too.
	hasRollOuts bool
	lo          hclog.Logger
}

// readDocuments reads the documents that are newer than the given versions. The
// maps and the quarantine are read only if withMaps is set: peers spread what is in
// them, and freshness depends on the configuration alone. With an external
// configuration it reads these and nothing else.
func (ts *tableStore) readDocuments(ctx context.Context, have map[string]uint64, withMaps bool) ([]Document, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if ts.externalConfig != nil {
		return ts.readMaps(ctx)
	}
	query := tabler.Query{Keys: []string{ConfigKey}, VersionsOnly: true}
	if withMaps {
		query.Keys = append(query.Keys, QuarantineKey)
		query.Prefixes = []string{MapPrefix}
	}
	if withMaps && ts.hasRollOuts {
		query.Prefixes = append(query.Prefixes, RollOutPrefix)
	}
	rows, err := ts.table.Read(ctx, query)
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
	rows, err = ts.table.Read(ctx, tabler.Query{Keys: newer})
	if err != nil {
		return nil, err
	}
	return ts.toDocuments(ctx, rows)
}

// readMaps reads all maps and the quarantine, and the states of the services' versions in
// a call of their own, since the member rows lie between.
func (ts *tableStore) readMaps(ctx context.Context) ([]Document, error) {
	var states []tabler.Row
	if ts.hasRollOuts {
		var err error
		if states, err = ts.table.Read(ctx, tabler.Query{Prefixes: []string{RollOutPrefix}}); err != nil {
			return nil, err
		}
	}
	rows, err := ts.table.Read(ctx, tabler.Query{Keys: []string{QuarantineKey}, Prefixes: []string{MapPrefix}})
	if err != nil {
		return nil, err
	}
	return ts.toDocuments(ctx, append(states, rows...))
}

func (ts *tableStore) toDocuments(ctx context.Context, rows []tabler.Row) ([]Document, error) {
	var docs []Document
	for _, ro := range rows {
		do, err := ts.toDocument(ctx, ro)
		var de *encoder.DecodeError
		if errors.As(err, &de) && ro.Key != ConfigKey {
			ts.logUnreadable(ro, err)
			continue
		}
		if err != nil {
			return nil, err
		}
		docs = append(docs, do)
	}
	return docs, nil
}

// logUnreadable logs a row that another writer may have left. The other rows hold.
func (ts *tableStore) logUnreadable(ro tabler.Row, err error) {
	ts.lo.Warn("row of the table is unreadable, ignored", "key", ro.Key, "version", sequencer.Format(ro.Version), "error", err)
}

// decodeMember decodes a member row. The error is an *encoder.DecodeError or a *MemberError.
func decodeMember(ro tabler.Row) (folder.InstanceRow, error) {
	ir, err := encoder.DecodeInstanceRow(ro.Value, ro.Version)
	if err != nil {
		return folder.InstanceRow{}, err
	}
	if ir.BackendServer != strings.TrimPrefix(ro.Key, MemberPrefix) {
		return folder.InstanceRow{}, &MemberError{Key: ro.Key, Field: "backendServer", Value: ir.BackendServer}
	}
	if _, err := netip.ParseAddrPort(ir.Address); err != nil {
		return folder.InstanceRow{}, &MemberError{Key: ro.Key, Field: "address", Value: ir.Address}
	}
	return ir, nil
}

// MemberError reports a member row that no instance can have written.
type MemberError struct {
	Key   string
	Field string
	Value string
}

// Error implements error.
func (er *MemberError) Error() string {
	return fmt.Sprintf("controller: row %s: %s: bad value %q", er.Key, er.Field, er.Value)
}

// toDocument returns the document of a row. A map's version is part of its content
// and may differ from that of its row.
func (ts *tableStore) toDocument(ctx context.Context, ro tabler.Row) (Document, error) {
	if ro.Key == ConfigKey {
		content, err := ts.objects.Get(ctx, string(ro.Value))
		return Document{Name: ro.Key, Version: ro.Version, Content: content}, err
	}
	if ro.Key == QuarantineKey {
		_, err := encoder.DecodeQuarantine(ro.Value)
		return Document{Name: ro.Key, Version: ro.Version, Content: ro.Value}, err
	}
	if _, ok := cutRollOut(ro.Key); ok {
		st, err := encoder.DecodeRollOut(ro.Value)
		return Document{Name: ro.Key, Version: st.Version, Content: ro.Value}, err
	}
	ma, err := encoder.DecodeMap(ro.Value)
	return Document{Name: ro.Key, Version: ma.Version, Content: ro.Value, decoded: &ma}, err
}

// readRow reads the row of a backend server's instance. The lease of an absent row
// has version 0. If another writer left the row, so that it can't be decoded, the error
// is an *encoder.DecodeError and the row returned has nothing but its version.
func (ts *tableStore) readRow(ctx context.Context, name string) (folder.InstanceRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := MemberPrefix + name
	rows, err := ts.table.Read(ctx, tabler.Query{Keys: []string{key}})
	if err != nil {
		return folder.InstanceRow{}, err
	}
	ro := tabler.Find(rows, key)
	if ro.Version == 0 {
		return folder.InstanceRow{}, nil
	}
	ir, err := encoder.DecodeInstanceRow(ro.Value, ro.Version)
	if err != nil {
		ts.logUnreadable(ro, err)
		return folder.InstanceRow{Lease: leaser.Row{Version: ro.Version}}, err
	}
	return ir, nil
}

// isUnreadable reports whether an error of readRow means that another writer left the row.
func isUnreadable(err error) bool {
	var de *encoder.DecodeError
	return errors.As(err, &de)
}

// holdersWatchedFrom returns the active holders whose rows name a former
// incarnation on the VM of self as a watcher.
func (ts *tableStore) holdersWatchedFrom(ctx context.Context, self publisher.Self) ([]placer.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := ts.table.Read(ctx, tabler.Query{Prefixes: []string{MemberPrefix}})
	if err != nil {
		return nil, err
	}
	var holders []placer.Member
	for _, ro := range rows {
		ir, err := decodeMember(ro)
		if err != nil {
			ts.logUnreadable(ro, err)
			continue
		}
		isFormer := func(wt leaser.WatcherID) bool {
			return wt.BackendServer == self.BackendServer && wt.Incarnation != self.Incarnation
		}
		if ir.State == folder.Active && ir.BackendServer != self.BackendServer && slices.ContainsFunc(ir.Lease.Watchers, isFormer) {
			holders = append(holders, placer.Member{BackendServer: ir.BackendServer, Incarnation: ir.Lease.Incarnation, Address: ir.Address})
		}
	}
	return holders, nil
}

// writeRow writes a row on condition that its version is still that in its lease.
// It returns the row as found once the outcome is certain, or an error when ctx
// ends before.
//
// An answer may be lost after the write took effect, and a write without an answer
// may take effect later. Reading the row at its former version therefore proves
// nothing: the write is repeated on the same condition until the row's version has
// advanced. If the store has come back from an older copy meanwhile, the row found may be
// outdated.
func (ts *tableStore) writeRow(ctx context.Context, ir folder.InstanceRow) (folder.InstanceRow, error) {
	ir.Era = tabler.EraOf(ts.table)
	value, err := encoder.EncodeInstanceRow(ir)
	if err != nil {
		return folder.InstanceRow{}, fmt.Errorf("controller: encode row: %w", err)
	}
	mayHaveApplied := false
	backoff := writeBackoff
	for {
		version, err := ts.commitRow(ctx, ir, value)
		if err == nil {
			ir.Lease.Version = version
			return ir, nil
		}
		mayHaveApplied = mayHaveApplied || !isRefusal(err)
		found, readErr := ts.readRow(ctx, ir.BackendServer)
		if isUnreadable(readErr) && found.Lease.Version != ir.Lease.Version {
			return found, err // replaced by another writer
		}
		isUnchanged := readErr == nil && found.Lease.Version == ir.Lease.Version
		switch {
		case readErr == nil && !isUnchanged:
			return found, writeOutcome(ir, found, err)
		case isUnchanged && !mayHaveApplied:
			return found, err
		}
		if !timer.Sleep(ctx, backoff) {
			return folder.InstanceRow{}, fmt.Errorf("controller: outcome of row write unknown: %w", err)
		}
		backoff = min(2*backoff, maxWriteBackoff)
	}
}

func (ts *tableStore) commitRow(ctx context.Context, ir folder.InstanceRow, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := MemberPrefix + ir.BackendServer
	return ts.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: key, Version: ir.Lease.Version}},
		Writes:     []tabler.Write{{Key: key, Value: value}},
	})
}

// isRefusal reports whether an error proves that a call had no effect.
func isRefusal(err error) bool {
	var (
		conflict *tabler.ConflictError
		refused  *tabler.RefusedError
	)
	return errors.As(err, &conflict) || errors.As(err, &refused)
}

// writeOutcome returns nil if the row found is the one written, else the cause. An
// active row is written only by its own incarnation, and otherwise only to end
// that incarnation, so comparing the fields suffices.
func writeOutcome(written, found folder.InstanceRow, cause error) error {
	isSame := found.Lease.Version > written.Lease.Version &&
		found.Lease.Incarnation == written.Lease.Incarnation &&
		found.State == written.State && found.Weight == written.Weight && found.Speed == written.Speed &&
		found.Version == written.Version && found.IsStopping == written.IsStopping &&
		slices.Equal(found.Lease.Watchers, written.Lease.Watchers) && slices.Equal(found.Leaving, written.Leaving)
	if isSame {
		return nil
	}
	return cause
}

// fold folds the member rows into the maps. It retries up to foldAttempts times
// with random delays, since another instance may fold at the same time.
func (ts *tableStore) fold(ctx context.Context, ba foldBasis) ([]Document, error) {
	var last error
	for range foldAttempts {
		docs, isDone, err := ts.foldOnce(ctx, ba)
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

// foldBasis is what an instance knows of the maps besides what the table says.
type foldBasis struct {
	// maps are the maps in force here, by service.
	maps map[string]placer.Map
	// startsEra permits changes to maps of an earlier era of the store.
	startsEra bool
}

// errEraUnsettled ends a fold that would change maps of an earlier era of the store before
// all instances have restored what they know of them.
var errEraUnsettled = errors.New("controller: the maps of the store's former era may be incomplete")

// foldOnce reads the member rows, the maps and the configuration and commits the maps
// that changed. It returns the changed maps, or all documents read if none changed
// or there is no configuration yet, and whether the fold is complete.
//
// If the store has come back from an older copy and has older maps than those in force here,
// the latter are the ones that are folded, and are written again.
func (ts *tableStore) foldOnce(ctx context.Context, ba foldBasis) ([]Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	query := tabler.Query{Prefixes: []string{MapPrefix, MemberPrefix}}
	if ts.externalConfig == nil {
		query.Keys = []string{ConfigKey}
	}
	if ts.hasRollOuts {
		query.Prefixes = append(query.Prefixes, RollOutPrefix)
	}
	rows, err := ts.table.Read(ctx, query)
	if err != nil {
		return nil, false, err
	}
	in, docs, err := ts.foldInput(ctx, rows)
	if err != nil {
		return nil, false, err
	}
	in.Era = tabler.EraOf(ts.table)
	restored := ba.restore(&in)
	var first []roller.State
	if ts.hasRollOuts && in.Config.Version != 0 {
		first = folder.FirstRollOuts(in)
		for _, st := range first {
			in.RollOuts[st.Service] = st
		}
	}
	changed := folder.Fold(in)
	if in.Config.Version == 0 {
		return docs, true, nil
	}
	isUnsettled := len(changed) > 0 && !ba.startsEra && isOfFormerEra(in)
	if isUnsettled {
		changed = nil
	}
	for _, ma := range restored {
		isChanged := func(ne placer.Map) bool { return ne.Service == ma.Service }
		if !slices.ContainsFunc(changed, isChanged) {
			changed = append(changed, ma)
		}
	}
	if len(changed)+len(first) > 0 {
		var isDone bool
		if docs, isDone, err = ts.commitMaps(ctx, changed, first, rows); !isDone {
			return nil, false, err
		}
		ts.lo.Info("maps written", "services", servicesOf(changed), "restored", len(restored), "era", in.Era)
	}
	if isUnsettled {
		return docs, false, errEraUnsettled
	}
	return docs, true, nil
}

// restore replaces the maps of the input by those in force here that are newer although the
// store's era is later than theirs, and returns them. Maps of one version differ only if a
// write of the former era took effect after the store came back.
func (ba foldBasis) restore(in *folder.Input) []placer.Map {
	var restored []placer.Map
	for _, service := range slices.Sorted(maps.Keys(ba.maps)) {
		held, stored := ba.maps[service], in.Maps[service]
		if held.Era() >= in.Era || held.Version < stored.Version {
			continue
		}
		if held.Version == stored.Version && held.IsSame(stored) {
			continue
		}
		in.Maps[service] = held
		restored = append(restored, held)
	}
	return restored
}

// isOfFormerEra reports whether no map has been changed in the era of the input. The first
// change of the map of all instances follows the restore of the others.
func isOfFormerEra(in folder.Input) bool {
	limits, ok := in.Maps[folder.LimitsService]
	return ok && limits.Era() < in.Era
}

func servicesOf(changed []placer.Map) string {
	var services []string
	for _, ma := range changed {
		services = append(services, ma.Service+"@"+placer.FormatVersion(ma.Version))
	}
	return strings.Join(services, ",")
}

// foldInput decodes the rows into the input of a fold. It also returns the documents
// among the rows.
func (ts *tableStore) foldInput(ctx context.Context, rows []tabler.Row) (folder.Input, []Document, error) {
	in := folder.Input{Maps: map[string]placer.Map{}, At: time.Now().UnixMilli()}
	if ts.hasRollOuts {
		in.RollOuts = map[string]roller.State{}
	}
	var agreed []tabler.Row
	for _, ro := range rows {
		if !strings.HasPrefix(ro.Key, MemberPrefix) {
			agreed = append(agreed, ro)
			continue
		}
		ir, err := decodeMember(ro)
		if err != nil {
			ts.logUnreadable(ro, err)
			in.Unreadable = append(in.Unreadable, strings.TrimPrefix(ro.Key, MemberPrefix))
			continue
		}
		in.Rows = append(in.Rows, ir)
	}
	docs, err := ts.toDocuments(ctx, agreed)
	if err != nil {
		return in, nil, err
	}
	for _, do := range docs {
		if err := addDocument(&in, do); err != nil {
			return in, nil, err
		}
	}
	for _, ro := range agreed {
		service, isRollOut := cutRollOut(ro.Key)
		if _, ok := in.RollOuts[service]; isRollOut && !ok {
			// Without it, no weight is known that the version may have.
			_, err := encoder.DecodeRollOut(ro.Value)
			return in, nil, fmt.Errorf("controller: row %s: %w", ro.Key, err)
		}
	}
	if ts.externalConfig != nil {
		in.Config = ts.externalConfig()
	}
	return in, docs, nil
}

func addDocument(in *folder.Input, do Document) error {
	if do.Name == ConfigKey {
		co, err := encoder.DecodeConfig(do.Content)
		in.Config = co
		return err
	}
	if _, ok := cutRollOut(do.Name); ok {
		st, err := encoder.DecodeRollOut(do.Content)
		in.RollOuts[st.Service] = st
		return err
	}
	ma, err := do.toMap()
	in.Maps[ma.Service] = ma
	return err
}

// commitMaps writes the changed maps and the first states of versions, on condition that
// neither their rows nor the configuration and the states they were derived from have
// changed.
func (ts *tableStore) commitMaps(ctx context.Context, changed []placer.Map, first []roller.State, rows []tabler.Row) ([]Document, bool, error) {
	var tx tabler.Transaction
	if ts.externalConfig == nil {
		tx.Conditions = []tabler.Condition{{Key: ConfigKey, Version: tabler.Find(rows, ConfigKey).Version}}
	}
	var docs []Document
	for _, st := range first {
		content, err := encoder.EncodeRollOut(st)
		if err != nil {
			return nil, false, fmt.Errorf("controller: encode rollout: %w", err)
		}
		key := RollOutPrefix + st.Service
		tx.Conditions = append(tx.Conditions, tabler.Condition{Key: key})
		tx.Writes = append(tx.Writes, tabler.Write{Key: key, Value: content})
		docs = append(docs, Document{Name: key, Version: st.Version, Content: content})
	}
	for _, ma := range changed {
		if ro := tabler.Find(rows, RollOutPrefix+ma.Service); ro.Version != 0 {
			tx.Conditions = append(tx.Conditions, tabler.Condition{Key: ro.Key, Version: ro.Version})
		}
		content, err := encoder.EncodeMap(ma)
		if err != nil {
			return nil, false, fmt.Errorf("controller: encode map: %w", err)
		}
		key := MapPrefix + ma.Service
		former := tabler.Find(rows, key)
		if _, err := encoder.DecodeMap(former.Value); former.Version != 0 && err != nil {
			// The owners under the unreadable map are not known.
			return nil, false, err
		}
		tx.Conditions = append(tx.Conditions, tabler.Condition{Key: key, Version: former.Version})
		tx.Writes = append(tx.Writes, tabler.Write{Key: key, Value: content})
		docs = append(docs, Document{Name: key, Version: ma.Version, Content: content})
	}
	if _, err := ts.table.Commit(ctx, tx); err != nil {
		return nil, false, err
	}
	return docs, true, nil
}

// joinResult is the outcome of a join.
type joinResult struct {
	// row is this instance's row as committed, and former that of the former instance
	// beside the backend server, which has version 0 if there was none.
	row, former folder.InstanceRow
}

// join writes the row of a new incarnation, after the former one of its backend
// server is known to have stopped serving, if need be by revoking it. What the former
// one recorded of leaving servers goes into the new row, with a weight of 0 if that
// includes the run of the server that this instance has heard from.
//
// A row that another writer left is replaced if the maps name no instance of the backend
// server at another address, so that nothing else can be its former instance.
func (ts *tableStore) join(ctx context.Context, ir folder.InstanceRow, heard registrar.ServerRun, members []placer.Member, revoke func(context.Context, folder.InstanceRow) error) (joinResult, error) {
	former, err := ts.readRow(ctx, ir.BackendServer)
	me, isMember := placer.Map{Members: members}.Member(ir.BackendServer)
	isElsewhere := isMember && me.Address != ir.Address
	if err != nil && (!isUnreadable(err) || isElsewhere) {
		return joinResult{}, err
	}
	if former.Lease.Incarnation == ir.Lease.Incarnation && former.State == folder.Active && !former.IsOutdated() {
		return joinResult{row: former, former: former}, nil
	}
	if !isKnownEnded(former, ir) {
		if err := revoke(ctx, former); err != nil {
			return joinResult{}, fmt.Errorf("controller: revoke former incarnation: %w", err)
		}
	}
	ir.Lease.Version = former.Lease.Version
	if registrar.HasLeft(former.Leaving, heard) {
		ir.Weight = 0
	}
	ir.Leaving = registrar.MergeRuns(former.Leaving, ir.Leaving)
	committed, err := ts.writeRow(ctx, ir)
	if err != nil {
		return joinResult{}, err
	}
	return joinResult{row: committed, former: former}, nil
}

// isKnownEnded reports whether the former incarnation has provably stopped serving:
// it left, was revoked, never had watchers and so never a lease, or had the address
// whose port this process has bound.
func isKnownEnded(former, ir folder.InstanceRow) bool {
	return former.Lease.Version == 0 || former.State != folder.Active ||
		len(former.Lease.Watchers) == 0 || former.Address == ir.Address
}

// isReplacedOrEnded reports whether a row was found and either names another incarnation
// or is no longer active. An outdated row that names another incarnation may be older than
// the given one.
func isReplacedOrEnded(found folder.InstanceRow, incarnation uint64) bool {
	isOwn := found.Lease.Incarnation == incarnation
	switch {
	case found.Lease.Version == 0:
		return false
	case found.IsOutdated():
		return isOwn && found.State != folder.Active
	default:
		return !isOwn || found.State != folder.Active
	}
}

// endIncarnation writes the final state of an incarnation's row. It also succeeds
// if the row names another incarnation or has ended already.
func (ts *tableStore) endIncarnation(ctx context.Context, row folder.InstanceRow, state folder.State) error {
	row.State = state
	found, err := ts.writeRow(ctx, row)
	if err == nil {
		return nil
	}
	if isReplacedOrEnded(found, row.Lease.Incarnation) {
		return nil
	}
	return err
}
