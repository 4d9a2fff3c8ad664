// Package encoder converts the documents that instances share (partition maps and the
// configuration) and instance rows to and from their stored form, JSON with camelCase
// names. It also compresses documents.
//
// # Usage
//
//	content, err := encoder.EncodeMap(ma)
//	ma, err = encoder.DecodeMap(content)
package encoder

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
)

// DecodeError reports stored content that cannot be decoded. Document is the kind of
// content.
type DecodeError struct {
	Document string
	Err      error
}

// Error implements error.
func (er *DecodeError) Error() string {
	return fmt.Sprintf("encoder: %s: %v", er.Document, er.Err)
}

// Unwrap returns the cause.
func (er *DecodeError) Unwrap() error { return er.Err }

// decode unmarshals JSON content of the kind document. The error is a *DecodeError.
func decode(document string, content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return &DecodeError{Document: document, Err: err}
	}
	return nil
}

type wireMember struct {
	BackendServer string `json:"backendServer"`
	Incarnation   uint64 `json:"incarnation"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	Weight        uint32 `json:"weight"`
	Speed         uint32 `json:"speed,omitempty"`
	Version       string `json:"version,omitempty"`
	Leaving       string `json:"leaving,omitempty"`
}

type wireChange struct {
	Version uint64     `json:"version"`
	Member  wireMember `json:"member"`
	Added   bool       `json:"added,omitempty"`
	At      int64      `json:"at,omitempty"`
}

type wireMap struct {
	Service       string       `json:"service"`
	Version       uint64       `json:"version"`
	Partitions    uint32       `json:"partitions"`
	KeySpace      uint32       `json:"keySpace,omitempty"`
	ConfigVersion uint64       `json:"configVersion,omitempty"`
	Settled       uint64       `json:"settled"`
	Members       []wireMember `json:"members"`
	Changes       []wireChange `json:"changes,omitempty"`
}

// EncodeMap returns the stored form of a map.
func EncodeMap(ma placer.Map) ([]byte, error) {
	wm := wireMap{
		Service: ma.Service, Version: ma.Version, Partitions: ma.Partitions, KeySpace: ma.KeySpace,
		ConfigVersion: ma.ConfigVersion, Settled: ma.Settled,
	}
	for _, me := range ma.Members {
		wm.Members = append(wm.Members, wireMember(me))
	}
	for _, ch := range ma.Changes {
		wm.Changes = append(wm.Changes, wireChange{Version: ch.Version, Member: wireMember(ch.Member), Added: ch.Added, At: ch.At})
	}
	return json.Marshal(wm)
}

// DecodeMap decodes the stored form of a map. The error is a *DecodeError.
func DecodeMap(content []byte) (placer.Map, error) {
	var wm wireMap
	if err := decode("map", content, &wm); err != nil {
		return placer.Map{}, err
	}
	ma := placer.Map{
		Service: wm.Service, Version: wm.Version, Partitions: wm.Partitions, KeySpace: wm.KeySpace,
		ConfigVersion: wm.ConfigVersion, Settled: wm.Settled,
	}
	for _, me := range wm.Members {
		ma.Members = append(ma.Members, placer.Member(me))
	}
	for _, ch := range wm.Changes {
		change := placer.WeightChange{Version: ch.Version, Member: placer.Member(ch.Member), Added: ch.Added, At: ch.At}
		ma.Changes = append(ma.Changes, change)
	}
	return ma, nil
}

type wireWatcher struct {
	BackendServer string `json:"backendServer"`
	Incarnation   uint64 `json:"incarnation"`
}

type wireServerRun struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"startedAt,omitempty"`
}

type wireRow struct {
	BackendServer string            `json:"backendServer"`
	Service       string            `json:"service"`
	DataCentre    string            `json:"dataCentre"`
	Region        string            `json:"region"`
	Address       string            `json:"address"`
	Weight        uint32            `json:"weight"`
	Speed         uint32            `json:"speed,omitempty"`
	IsStopping    bool              `json:"isStopping,omitempty"`
	State         string            `json:"state"`
	Incarnation   uint64            `json:"incarnation"`
	Watchers      []wireWatcher     `json:"watchers,omitempty"`
	Settled       map[string]uint64 `json:"settled,omitempty"`
	Leaving       []wireServerRun   `json:"leaving,omitempty"`
	Version       string            `json:"version,omitempty"`
	Era           uint64            `json:"era,omitempty"`
}

// EncodeInstanceRow returns the stored form of an instance's row, without the row's
// version, which the table keeps.
func EncodeInstanceRow(ir folder.InstanceRow) ([]byte, error) {
	wr := wireRow{
		BackendServer: ir.BackendServer, Service: ir.Service, DataCentre: ir.DataCentre, Region: ir.Region,
		Address: ir.Address, Weight: ir.Weight, Speed: ir.Speed, State: string(ir.State), Incarnation: ir.Lease.Incarnation,
		IsStopping: ir.IsStopping, Settled: ir.Settled, Version: ir.Version, Era: ir.Era,
	}
	for _, wt := range ir.Lease.Watchers {
		wr.Watchers = append(wr.Watchers, wireWatcher(wt))
	}
	for _, ru := range ir.Leaving {
		wr.Leaving = append(wr.Leaving, wireServerRun(ru))
	}
	return json.Marshal(wr)
}

// DecodeInstanceRow decodes the stored form of an instance's row that the table holds at
// version. The error is a *DecodeError.
func DecodeInstanceRow(content []byte, version uint64) (folder.InstanceRow, error) {
	var wr wireRow
	if err := decode("instance row", content, &wr); err != nil {
		return folder.InstanceRow{}, err
	}
	ir := folder.InstanceRow{
		BackendServer: wr.BackendServer, Service: wr.Service, DataCentre: wr.DataCentre, Region: wr.Region,
		Address: wr.Address, Weight: wr.Weight, Speed: wr.Speed, IsStopping: wr.IsStopping, State: folder.State(wr.State),
		Lease: leaser.Row{Incarnation: wr.Incarnation, Version: version}, Settled: wr.Settled, Version: wr.Version, Era: wr.Era,
	}
	for _, wt := range wr.Watchers {
		ir.Lease.Watchers = append(ir.Lease.Watchers, leaser.WatcherID(wt))
	}
	for _, ru := range wr.Leaving {
		ir.Leaving = append(ir.Leaving, registrar.ServerRun(ru))
	}
	return ir, nil
}

type wireSuspect struct {
	// Fingerprint is in hexadecimal, since JSON numbers are not exact at 64 bits.
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
}

type wireQuarantine struct {
	Requests []wireSuspect `json:"requests"`
}

// EncodeQuarantine returns the stored form of the requests that crash backend servers.
func EncodeQuarantine(suspects []admitter.Suspect) ([]byte, error) {
	wq := wireQuarantine{Requests: []wireSuspect{}}
	for _, su := range suspects {
		wq.Requests = append(wq.Requests, wireSuspect{Fingerprint: strconv.FormatUint(su.Fingerprint, 16), Crashes: su.Crashes})
	}
	return json.Marshal(wq)
}

// DecodeQuarantine decodes the stored form of the requests that crash backend servers.
// The error is a *DecodeError.
func DecodeQuarantine(content []byte) ([]admitter.Suspect, error) {
	var wq wireQuarantine
	if err := decode("quarantine", content, &wq); err != nil {
		return nil, err
	}
	var suspects []admitter.Suspect
	for _, ws := range wq.Requests {
		fingerprint, err := strconv.ParseUint(ws.Fingerprint, 16, 64)
		if err != nil {
			return nil, &DecodeError{Document: "quarantine", Err: fmt.Errorf("requests: fingerprint: %w", err)}
		}
		suspects = append(suspects, admitter.Suspect{Fingerprint: fingerprint, Crashes: ws.Crashes})
	}
	return suspects, nil
}

type wireDataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type wireService struct {
	Name           string  `json:"name"`
	Owner          string  `json:"owner"`
	Class          string  `json:"class"`
	Partitions     uint32  `json:"partitions,omitempty"`
	Fenced         bool    `json:"fenced,omitempty"`
	Slots          int     `json:"slots"`
	Connections    int     `json:"connections"`
	Queue          int     `json:"queue"`
	ColdStartSlots int     `json:"coldStartSlots"`
	ColdStartNs    int64   `json:"coldStartNs"`
	ColdRate       float64 `json:"coldRate,omitempty"`
	KeySpace       uint32  `json:"keySpace,omitempty"`
	HealthPath     string  `json:"healthPath,omitempty"`
}

type wireWorkspace struct {
	Name  string  `json:"name"`
	Owner string  `json:"owner"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`

	HasPriority bool                `json:"hasPriority,omitempty"`
	Priority    cataloguer.Priority `json:"priority,omitempty"`
	IsUnlimited bool                `json:"isUnlimited,omitempty"`
}

type wireSplit struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type wireRoute struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Access     string `json:"access"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Priority   uint8  `json:"priority"`
	KeySource  string `json:"keySource"`
	KeyName    string `json:"keyName,omitempty"`
	TimeoutNs  int64  `json:"timeoutNs"`

	Host            string      `json:"host,omitempty"`
	Prefix          string      `json:"prefix,omitempty"`
	Splits          []wireSplit `json:"splits,omitempty"`
	MaxAttempts     int         `json:"maxAttempts,omitempty"`
	TargetLatencyNs int64       `json:"targetLatencyNs,omitempty"`
}

type wireKey struct {
	Digest    string `json:"digest"`
	Workspace string `json:"workspace"`
}

type wireConfigChange struct {
	ID       string `json:"id"`
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Summary  string `json:"summary"`
	At       int64  `json:"at"`
}

type wireRollOut struct {
	ID         uint64     `json:"id"`
	Service    string     `json:"service"`
	To         string     `json:"to"`
	DurationNs timer.Span `json:"durationNs"`
}

type wireConfig struct {
	Version       uint64           `json:"version"`
	Origin        string           `json:"origin,omitempty"`
	Revision      uint64           `json:"revision,omitempty"`
	MaxBody       int64            `json:"maxBody,omitempty"`
	MaxHead       int64            `json:"maxHead,omitempty"`
	HeadTimeoutNs int64            `json:"headTimeoutNs,omitempty"`
	IdleTimeoutNs int64            `json:"idleTimeoutNs,omitempty"`
	DataCentres   []wireDataCentre `json:"dataCentres"`
	Services      []wireService    `json:"services"`
	Workspaces    []wireWorkspace  `json:"workspaces"`
	Routes        []wireRoute      `json:"routes"`
	Keys          []wireKey        `json:"keys"`
	// Drained names backend servers and Out data centres.
	Drained []string           `json:"drained,omitempty"`
	Out     []string           `json:"out,omitempty"`
	Changes []wireConfigChange `json:"changes,omitempty"`

	RollOuts []wireRollOut `json:"rollOuts,omitempty"`
}

// EncodeConfig returns the stored form of a configuration. It returns an error of
// json.Marshal if a rate, burst or weight is infinite or NaN.
func EncodeConfig(co cataloguer.Config) ([]byte, error) {
	wc := wireConfig{
		Version: co.Version, Origin: co.Origin, Revision: co.Revision, MaxBody: co.Callers.MaxBody, Drained: co.DrainedServers, Out: co.DrainedDataCentres,
		MaxHead: co.Callers.MaxHead, HeadTimeoutNs: int64(co.Callers.HeadTimeout), IdleTimeoutNs: int64(co.Callers.IdleTimeout),
	}
	for _, dc := range co.Catalogue.DataCentres {
		wc.DataCentres = append(wc.DataCentres, wireDataCentre(dc))
	}
	for _, sv := range co.Catalogue.Services {
		wc.Services = append(wc.Services, fromService(sv))
	}
	for _, ws := range co.Catalogue.Workspaces {
		wc.Workspaces = append(wc.Workspaces, wireWorkspace(ws))
	}
	for _, rt := range co.Catalogue.Routes {
		wc.Routes = append(wc.Routes, fromRoute(rt))
	}
	for _, ke := range co.WorkspaceKeys {
		wc.Keys = append(wc.Keys, wireKey{Digest: hex.EncodeToString(ke.Digest[:]), Workspace: ke.Workspace})
	}
	for _, ch := range co.Changes {
		wc.Changes = append(wc.Changes, wireConfigChange(ch))
	}
	for _, or := range co.RollOuts {
		wc.RollOuts = append(wc.RollOuts, wireRollOut{ID: or.ID, Service: or.Service, To: or.To, DurationNs: or.Duration})
	}
	return json.Marshal(wc)
}

// DecodeConfig decodes the stored form of a configuration. The error is a *DecodeError.
// It does not validate the catalogue.
func DecodeConfig(content []byte) (cataloguer.Config, error) {
	var wc wireConfig
	if err := decode("configuration", content, &wc); err != nil {
		return cataloguer.Config{}, err
	}
	co := cataloguer.Config{
		Version: wc.Version, Origin: wc.Origin, Revision: wc.Revision, Callers: cataloguer.CallerLimits{
			MaxBody: wc.MaxBody, MaxHead: wc.MaxHead, HeadTimeout: timer.Span(wc.HeadTimeoutNs), IdleTimeout: timer.Span(wc.IdleTimeoutNs),
		},
		DrainedServers: wc.Drained, DrainedDataCentres: wc.Out,
	}
	for _, dc := range wc.DataCentres {
		co.Catalogue.DataCentres = append(co.Catalogue.DataCentres, cataloguer.DataCentre(dc))
	}
	for _, sv := range wc.Services {
		co.Catalogue.Services = append(co.Catalogue.Services, toService(sv))
	}
	for _, ws := range wc.Workspaces {
		co.Catalogue.Workspaces = append(co.Catalogue.Workspaces, cataloguer.Workspace(ws))
	}
	for _, rt := range wc.Routes {
		co.Catalogue.Routes = append(co.Catalogue.Routes, toRoute(rt))
	}
	for _, ch := range wc.Changes {
		co.Changes = append(co.Changes, cataloguer.Change(ch))
	}
	for _, wo := range wc.RollOuts {
		co.RollOuts = append(co.RollOuts, cataloguer.RollOut{ID: wo.ID, Service: wo.Service, To: wo.To, Duration: wo.DurationNs})
	}
	var err error
	co.WorkspaceKeys, err = toKeys(wc.Keys)
	if err != nil {
		return cataloguer.Config{}, &DecodeError{Document: "configuration", Err: err}
	}
	return co, nil
}

func fromService(sv cataloguer.Service) wireService {
	return wireService{
		Name: sv.Name, Owner: sv.Owner, Class: string(sv.Class), Partitions: sv.Partitions, Fenced: sv.Fenced,
		Slots: sv.Limits.Slots, Connections: sv.Limits.Connections,
		Queue: sv.Limits.Queue, ColdStartSlots: sv.Limits.ColdStartSlots, ColdStartNs: int64(sv.Limits.ColdStart),
		ColdRate: sv.Limits.ColdRate, KeySpace: sv.KeySpace, HealthPath: sv.HealthPath,
	}
}

func toService(ws wireService) cataloguer.Service {
	limits := cataloguer.ServiceLimits{
		Slots: ws.Slots, Connections: ws.Connections, Queue: ws.Queue, ColdStartSlots: ws.ColdStartSlots,
		ColdStart: timer.Span(ws.ColdStartNs), ColdRate: ws.ColdRate,
	}
	return cataloguer.Service{
		Name: ws.Name, Owner: ws.Owner, Class: cataloguer.ServiceClass(ws.Class),
		Partitions: ws.Partitions, Fenced: ws.Fenced, KeySpace: ws.KeySpace, HealthPath: ws.HealthPath, Limits: limits,
	}
}

func fromRoute(rt cataloguer.Route) wireRoute {
	var splits []wireSplit
	for _, sp := range rt.Splits {
		splits = append(splits, wireSplit(sp))
	}
	return wireRoute{
		Name: rt.Name, Service: rt.Service, Method: rt.Method, Path: rt.Path, Access: string(rt.Access),
		Idempotent: rt.Idempotent, Priority: uint8(rt.Priority), KeySource: string(rt.KeySource),
		KeyName: rt.KeyName, TimeoutNs: int64(rt.Timeout), Host: rt.Host, Prefix: rt.Prefix, Splits: splits,
		MaxAttempts: rt.MaxAttempts, TargetLatencyNs: int64(rt.TargetLatency),
	}
}

func toRoute(wr wireRoute) cataloguer.Route {
	var splits []cataloguer.Split
	for _, ws := range wr.Splits {
		splits = append(splits, cataloguer.Split(ws))
	}
	return cataloguer.Route{
		Name: wr.Name, Service: wr.Service, Method: wr.Method, Path: wr.Path, Access: cataloguer.Access(wr.Access),
		Idempotent: wr.Idempotent, Priority: cataloguer.Priority(wr.Priority),
		KeySource: cataloguer.KeySource(wr.KeySource), KeyName: wr.KeyName, Timeout: timer.Span(wr.TimeoutNs),
		Host: wr.Host, Prefix: wr.Prefix, Splits: splits,
		MaxAttempts: wr.MaxAttempts, TargetLatency: timer.Span(wr.TargetLatencyNs),
	}
}

func toKeys(wks []wireKey) ([]cataloguer.WorkspaceKey, error) {
	var keys []cataloguer.WorkspaceKey
	for i, wk := range wks {
		raw, err := hex.DecodeString(wk.Digest)
		if err != nil || len(raw) != cataloguer.DigestSize {
			return nil, fmt.Errorf("keys[%d].digest: not a SHA-256 digest in hexadecimal", i)
		}
		keys = append(keys, cataloguer.WorkspaceKey{Digest: cataloguer.Digest(raw), Workspace: wk.Workspace})
	}
	return keys, nil
}
