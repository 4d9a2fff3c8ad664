package controller

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/encoder"
	"github.com/cespare/xxhash/v2"
)

// Names of documents and keys of table rows. MapPrefix is followed by the name of a
// service, and MemberPrefix by that of a backend server.
// QuarantineKey sorts next to the maps, so that one read of a range returns both.
const (
	ConfigKey     = "config"
	MapPrefix     = "map/"
	MemberPrefix  = "member/"
	QuarantineKey = "crashes"
	// RollOutPrefix is followed by the name of a service.
	RollOutPrefix = "rollout/"
)

// Document is a versioned document, the configuration or a partition map, in its
// stored encoding. All instances converge on its latest version.
type Document struct {
	Name    string
	Version uint64
	Content []byte
	// compressed caches the gzip form of Content, nil until a peer requests it.
	compressed []byte
	// decoded caches the map in Content, nil if it has not been decoded.
	decoded *placer.Map
}

// toMap decodes the document as a partition map.
func (do Document) toMap() (placer.Map, error) {
	if do.decoded != nil {
		return *do.decoded, nil
	}
	return encoder.DecodeMap(do.Content)
}

// Compressed returns the content as it is sent to peers, compressed with gzip. It
// is nil unless the document was returned by Sync.
func (do Document) Compressed() []byte { return do.compressed }

// documents holds the latest known version of each document. Versions never
// decrease.
type documents struct {
	held   map[string]Document
	config cataloguer.Config
	// tables holds the decoded maps, by service.
	tables map[string]*placer.Table
	// rollOuts holds the states of the services' versions, nil if rollouts are off. It is
	// replaced, never changed, since request handlers read it.
	rollOuts map[string]roller.State
	// quarantine lists the requests that crash backend servers. Peers do not exchange
	// it: they report crashes to each other, and a new instance reads it from the table.
	quarantine []admitter.Suspect
	// byIncarnation indexes the members of the limits service's map, which are
	// all instances.
	byIncarnation map[uint64]placer.Member
	// configStarts is as in publisher.View. It is replaced, never changed, since request
	// handlers read it.
	configStarts []publisher.ConfigStart
	// outSince is as in publisher.View.
	outSince timer.Instant
	// hash covers the names and versions of the documents that peers exchange. They
	// compare it to detect that one of them lacks a version.
	hash uint32
}

func newDocuments() *documents {
	return &documents{held: map[string]Document{}, tables: map[string]*placer.Table{}}
}

// apply stores a document if it is newer than the one held. It reports whether
// anything changed, and returns an error if the document can't be decoded.
func (ds *documents) apply(do Document) (bool, error) {
	if do.Version <= ds.held[do.Name].Version {
		return false, nil
	}
	do, err := ds.keepRevision(do)
	if err != nil {
		return false, err
	}
	if err := ds.decode(do); err != nil {
		return false, err
	}
	ds.held[do.Name] = do
	ds.hash = ds.versionsHash()
	return true, nil
}

// keepRevision returns the document to hold in place of a configuration that was read from an
// older copy of the store and whose revision is below the one in force: the latter, with what
// operators have taken out of service by the former. All instances that had the same
// configuration in force keep the same one. Other documents are returned as they are.
func (ds *documents) keepRevision(do Document) (Document, error) {
	if do.Name != ConfigKey || sequencer.Era(do.Version) == 0 {
		return do, nil
	}
	read, err := encoder.DecodeConfig(do.Content)
	if err != nil {
		return do, err
	}
	held := ds.config
	isOtherEra := sequencer.Era(held.Version) != sequencer.Era(do.Version) || sequencer.IsKept(held.Version)
	if !isOtherEra || read.Revision >= held.Revision {
		return do, nil
	}
	held.Version, held.Origin = sequencer.Keep(read.Version), read.Origin
	held.DrainedDataCentres, held.RollOuts = read.DrainedDataCentres, read.RollOuts
	content, err := encoder.EncodeConfig(held)
	return Document{Name: ConfigKey, Version: held.Version, Content: content}, err
}

func (ds *documents) decode(do Document) error {
	if do.Name == ConfigKey {
		co, err := encoder.DecodeConfig(do.Content)
		if err != nil {
			return err
		}
		if co.Version != do.Version {
			return fmt.Errorf("controller: configuration names version %d but its document has version %d", co.Version, do.Version)
		}
		ds.config = co
		return nil
	}
	if do.Name == QuarantineKey {
		suspects, err := encoder.DecodeQuarantine(do.Content)
		if err == nil {
			ds.quarantine = suspects
		}
		return err
	}
	if _, ok := cutRollOut(do.Name); ok {
		return ds.decodeRollOut(do)
	}
	service, ok := strings.CutPrefix(do.Name, MapPrefix)
	if !ok {
		return fmt.Errorf("controller: unknown document %q", do.Name)
	}
	ma, err := do.toMap()
	if err != nil {
		return err
	}
	if ma.Version != do.Version || ma.Service != service {
		return fmt.Errorf("controller: map names service %s version %d but its document is service %s version %d", ma.Service, ma.Version, service, do.Version)
	}
	ds.tables[service] = placer.NewTable(ma)
	if service == folder.LimitsService {
		ds.indexMembers(ma.Members)
	}
	return nil
}

func (ds *documents) decodeRollOut(do Document) error {
	st, err := encoder.DecodeRollOut(do.Content)
	if err != nil {
		return err
	}
	if st.Version != do.Version || RollOutPrefix+st.Service != do.Name {
		return fmt.Errorf("controller: rollout names service %s version %d but its document is %s version %d", st.Service, st.Version, do.Name, do.Version)
	}
	rollOuts := make(map[string]roller.State, len(ds.rollOuts)+1)
	maps.Copy(rollOuts, ds.rollOuts)
	rollOuts[st.Service] = st
	ds.rollOuts = rollOuts
	return nil
}

// versionsHash hashes the names and versions of the documents that peers exchange.
func (ds *documents) versionsHash() uint32 {
	var names []string
	for name := range ds.held {
		if name != QuarantineKey {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	di := xxhash.New()
	for _, name := range names {
		// Writes to a digest never fail.
		_, _ = di.WriteString(name)
		_, _ = di.Write(binary.LittleEndian.AppendUint64(nil, ds.held[name].Version))
	}
	return uint32(di.Sum64())
}

// versions returns the versions held, by document name.
func (ds *documents) versions() map[string]uint64 {
	versions := make(map[string]uint64, len(ds.held))
	for name, do := range ds.held {
		versions[name] = do.Version
	}
	return versions
}

// newerThan returns the documents that peers exchange and that are newer than the given
// versions.
func (ds *documents) newerThan(versions map[string]uint64) []Document {
	var newer []Document
	for name, do := range ds.held {
		if do.Version <= versions[name] || name == QuarantineKey {
			continue
		}
		if do.compressed == nil {
			do.compressed = encoder.Compress(do.Content)
			ds.held[name] = do
		}
		newer = append(newer, do)
	}
	return newer
}

// compressed returns a document held, with its compressed content.
func (ds *documents) compressed(name string) Document {
	do, ok := ds.held[name]
	if ok && do.compressed == nil {
		do.compressed = encoder.Compress(do.Content)
		ds.held[name] = do
	}
	return do
}

// cutRollOut returns the service of a document with the state of its versions, or false for
// another document.
func cutRollOut(name string) (string, bool) { return strings.CutPrefix(name, RollOutPrefix) }

func (ds *documents) view() *publisher.View {
	tables := make(map[string]*placer.Table, len(ds.tables))
	for service, tb := range ds.tables {
		tables[service] = tb
	}
	vi := publisher.NewView(ds.config, tables)
	vi.RollOuts, vi.ConfigStarts, vi.OutSince = ds.rollOuts, ds.configStarts, ds.outSince
	return vi
}

func (ds *documents) indexMembers(members []placer.Member) {
	ds.byIncarnation = make(map[uint64]placer.Member, len(members))
	for _, me := range members {
		ds.byIncarnation[me.Incarnation] = me
	}
}

// member returns the member with an incarnation.
func (ds *documents) member(incarnation uint64) (placer.Member, bool) {
	me, ok := ds.byIncarnation[incarnation]
	return me, ok
}

// members returns all instances, or nil before the first map.
func (ds *documents) members() []placer.Member {
	tb := ds.tables[folder.LimitsService]
	if tb == nil {
		return nil
	}
	return tb.Map.Members
}
