package controller

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/encoder"
	"github.com/cespare/xxhash/v2"
)

// The names of documents and rows.
const (
	ConfigKey    = "config"
	MapPrefix    = "map/"
	MemberPrefix = "member/"
)

// Document is one agreed, versioned document in its stored form.
type Document struct {
	Name    string
	Version uint64
	Content []byte
	// compressed is Content for peers, once one has asked for it.
	compressed []byte
	// decoded is the map in Content, if it has been decoded already.
	decoded *placer.Map
}

// toMap returns the map of a document that is one.
func (do Document) toMap() (placer.Map, error) {
	if do.decoded != nil {
		return *do.decoded, nil
	}
	return encoder.DecodeMap(do.Content)
}

// Compressed returns the content as it goes to peers.
func (do Document) Compressed() []byte { return do.compressed }

// documents holds the latest version of each document. Versions only grow.
type documents struct {
	held   map[string]Document
	config cataloguer.Config
	tables map[string]*placer.Table
	// byIncarnation holds all instances.
	byIncarnation map[uint64]placer.Member
	hash          uint32
}

func newDocuments() *documents {
	return &documents{held: map[string]Document{}, tables: map[string]*placer.Table{}}
}

// apply takes a document if it is newer than what is held and can be decoded.
// It reports whether anything changed.
func (ds *documents) apply(do Document) (bool, error) {
	if do.Version <= ds.held[do.Name].Version {
		return false, nil
	}
	if err := ds.decode(do); err != nil {
		return false, err
	}
	ds.held[do.Name] = do
	ds.hash = ds.sum()
	return true, nil
}

func (ds *documents) decode(do Document) error {
	if do.Name == ConfigKey {
		co, err := encoder.DecodeConfig(do.Content)
		if err != nil {
			return err
		}
		if co.Version != do.Version {
			return fmt.Errorf("controller: configuration says version %d, its row %d", co.Version, do.Version)
		}
		ds.config = co
		return nil
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
		return fmt.Errorf("controller: map says %s version %d, its row %s version %d", ma.Service, ma.Version, service, do.Version)
	}
	ds.tables[service] = placer.NewTable(ma)
	if service == folder.LimitsService {
		ds.index(ma.Members)
	}
	return nil
}

// sum hashes the names and versions of all documents.
func (ds *documents) sum() uint32 {
	var names []string
	for name := range ds.held {
		names = append(names, name)
	}
	slices.Sort(names)
	di := xxhash.New()
	for _, name := range names {
		// A digest's Write never fails.
		_, _ = di.WriteString(name)
		_, _ = di.Write(binary.LittleEndian.AppendUint64(nil, ds.held[name].Version))
	}
	return uint32(di.Sum64())
}

// versions returns the version of each document.
func (ds *documents) versions() map[string]uint64 {
	versions := make(map[string]uint64, len(ds.held))
	for name, do := range ds.held {
		versions[name] = do.Version
	}
	return versions
}

// newerThan lists the documents that are newer than the versions.
func (ds *documents) newerThan(versions map[string]uint64) []Document {
	var newer []Document
	for name, do := range ds.held {
		if do.Version <= versions[name] {
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

func (ds *documents) view() *publisher.View {
	tables := make(map[string]*placer.Table, len(ds.tables))
	for service, tb := range ds.tables {
		tables[service] = tb
	}
	return publisher.NewView(ds.config, tables)
}

func (ds *documents) index(members []placer.Member) {
	ds.byIncarnation = make(map[uint64]placer.Member, len(members))
	for _, me := range members {
		ds.byIncarnation[me.Incarnation] = me
	}
}

// member finds an instance by incarnation among all members.
func (ds *documents) member(incarnation uint64) (placer.Member, bool) {
	me, ok := ds.byIncarnation[incarnation]
	return me, ok
}

// members lists all instances.
func (ds *documents) members() []placer.Member {
	tb := ds.tables[folder.LimitsService]
	if tb == nil {
		return nil
	}
	return tb.Map.Members
}
