package parser

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"

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

// LogSettings configures an instance's log.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// SampleEvery is n to log one in n successful routing decisions, 0 for none.
	SampleEvery int
}

// ResourceLimits are the limits of the VM within which an instance must stay. 0 means that
// there is none.
type ResourceLimits struct {
	// LinkRate is the rate of the VM's link in each direction, in bytes a second.
	LinkRate float64
	// Memory is in bytes.
	Memory int64
	// Descriptors bounds the open file descriptors.
	Descriptors int
}

// Features are the optional parts of an instance. All instances of a deployment must have
// the same ones.
type Features struct {
	// RollOuts moves services between versions of their backend servers on operators'
	// orders. Servers of a version that is not in force get no requests.
	RollOuts bool
	// Pacing lets the answers of a backend server decide how many requests it gets, and
	// its speed how many keys.
	Pacing bool
	// ServerMemory bounds the bytes of the requests that a backend server holds.
	ServerMemory bool
}

// Settings configures one instance. Addresses are of the form IP:port.
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
	// FleetKey is the key that all instances share to authenticate to each other, see
	// package signer.
	FleetKey []byte
	// OperatorKeyDigest is the SHA-256 digest of the operators' key.
	OperatorKeyDigest cataloguer.Digest
	Log               LogSettings
	// LeaseTerm is how long a watcher's promise to a lease's holder lasts, see package
	// leaser.
	LeaseTerm timer.Span
	// FreshnessLimit is the maximum age of the knowledge of withdrawn workspace keys,
	// see package freshener.
	FreshnessLimit timer.Span
	Limits         ResourceLimits
	Features       Features
}

// DefaultFreshnessLimit is the default of Settings.FreshnessLimit.
const DefaultFreshnessLimit = 4 * timer.Second

// ParseSettings parses the settings of an instance. File is the name used in errors. The
// error joins a *FieldError for each invalid field.
func ParseSettings(file string, content []byte) (Settings, error) {
	doc, root := parseDocument(file, content)
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
	se.Limits = resourceLimits(root.child("limits", false))
	se.Features = features(root.child("features", false))
	root.rejectUnknownFields()
	return se, errors.Join(doc.errs...)
}

func backendServer(ob *object) BackendServerSettings {
	defer ob.rejectUnknownFields()
	return BackendServerSettings{
		Name:    ob.required("name"),
		Service: ob.required("service"),
		Address: ob.address("address", true),
	}
}

func logging(ob *object) LogSettings {
	defer ob.rejectUnknownFields()
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

const (
	bytesPerMegabit = 1e6 / 8
	bytesPerMB      = 1 << 20
)

// NewResourceLimits returns the limits for a link of linkMbps Mbit/s, a memory of memoryMB
// MiB and a number of descriptors. It returns false if one is negative or no number.
func NewResourceLimits(linkMbps float64, memoryMB, descriptors int) (ResourceLimits, bool) {
	rl := ResourceLimits{LinkRate: linkMbps * bytesPerMegabit, Memory: int64(memoryMB) * bytesPerMB, Descriptors: descriptors}
	isNumber := linkMbps >= 0 && !math.IsInf(linkMbps, 1)
	return rl, isNumber && memoryMB >= 0 && descriptors >= 0
}

func resourceLimits(ob *object) ResourceLimits {
	defer ob.rejectUnknownFields()
	rl, ok := NewResourceLimits(ob.number("linkMbps", 0), ob.integer("memoryMb", 0), ob.integer("maxFds", 0))
	if !ok {
		ob.doc.fail(ob.line, ob.path, "", "limits must be numbers of 0 or more")
	}
	return rl
}

func features(ob *object) Features {
	defer ob.rejectUnknownFields()
	return Features{RollOuts: ob.boolean("rollOuts"), Pacing: ob.boolean("pacing"), ServerMemory: ob.boolean("serverMemory")}
}

// hexadecimal reads a required field of at least minBytes bytes in hexadecimal. Its errors
// omit the value, which may be a secret.
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
