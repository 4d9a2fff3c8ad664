package parser

import (
	"encoding/hex"
	"errors"
	"fmt"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/timer"
)

const (
	minFleetKeyBytes = 16
	minLeaseTerm     = 300 * timer.Millisecond
	maxLeaseTerm     = 30 * timer.Second
)

// BackendServerSettings describes the backend server beside the instance.
type BackendServerSettings struct {
	Name    string
	Service string
	Address string
}

// LogSettings sets what is logged.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// SampleEvery logs one in so many routing decisions; 0 logs none that
	// succeeded.
	SampleEvery int
}

// Settings are those of one instance.
type Settings struct {
	VM                   string
	DataCentre           string
	Region               string
	CallerAddress        string
	PeerAddress          string
	AdministratorAddress string
	TableAddress         string
	ObjectsAddress       string
	BackendServer        BackendServerSettings
	// FleetKey authenticates instances to one another.
	FleetKey []byte
	// OperatorKeyDigest is the SHA-256 digest of the operators' key.
	OperatorKeyDigest cataloguer.Digest
	Log               LogSettings
	// LeaseTerm is how long a watcher's promise lasts.
	LeaseTerm timer.Span
	// FreshnessLimit is how old the knowledge of withdrawn keys may be.
	FreshnessLimit timer.Span
}

// DefaultFreshnessLimit is how old the knowledge of withdrawn keys may be.
const DefaultFreshnessLimit = 4 * timer.Second

// ParseSettings parses the settings of an instance. File is used in errors
// only. The error joins one *FieldError for each fault.
func ParseSettings(file string, content []byte) (Settings, error) {
	doc, root := open(file, content)
	se := Settings{
		VM:                   root.required("vm"),
		DataCentre:           root.required("dataCentre"),
		Region:               root.required("region"),
		CallerAddress:        root.address("callerAddress", true),
		PeerAddress:          root.address("peerAddress", true),
		AdministratorAddress: root.address("administratorAddress", true),
		TableAddress:         root.address("tableAddress", true),
		ObjectsAddress:       root.address("objectsAddress", true),
		FleetKey:             root.hexadecimal("fleetKey", minFleetKeyBytes),
		LeaseTerm:            root.span("leaseTerm", leaser.DefaultTerm),
		FreshnessLimit:       root.span("freshness", DefaultFreshnessLimit),
	}
	if se.LeaseTerm < minLeaseTerm || se.LeaseTerm > maxLeaseTerm {
		root.fail("leaseTerm", root.fields["leaseTerm"], "must be from 300ms to 30s")
	}
	copy(se.OperatorKeyDigest[:], root.hexadecimal("operatorKeyDigest", cataloguer.DigestSize))
	se.BackendServer = backendServer(root.child("backendServer", true))
	se.Log = logging(root.child("log", false))
	root.close()
	return se, errors.Join(doc.errs...)
}

func backendServer(ob *object) BackendServerSettings {
	defer ob.close()
	return BackendServerSettings{
		Name:    ob.required("name"),
		Service: ob.required("service"),
		Address: ob.address("address", true),
	}
}

func logging(ob *object) LogSettings {
	defer ob.close()
	lo := LogSettings{Level: ob.text("level"), SampleEvery: ob.integer("sampleEvery", 1)}
	switch lo.Level {
	case "":
		lo.Level = "info"
	case "trace", "debug", "info", "warn", "error":
	default:
		ob.fail("level", ob.fields["level"], "must be trace, debug, info, warn or error")
	}
	if lo.SampleEvery < 0 {
		ob.fail("sampleEvery", ob.fields["sampleEvery"], "must be 0 or more")
	}
	return lo
}

// hexadecimal never puts the value into an error: it may be a secret.
func (ob *object) hexadecimal(name string, minBytes int) []byte {
	node, ok := ob.scalar(name)
	if !ok {
		ob.fail(name, nil, "is needed")
		return nil
	}
	value, err := hex.DecodeString(node.Value)
	if err != nil || len(value) < minBytes {
		reason := fmt.Sprintf("must be at least %d bytes in hexadecimal", minBytes)
		ob.doc.fail(node.Line, join(ob.path, name), "(not shown)", reason)
	}
	return value
}
