package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/instance/controller"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/parser"
)

// The paths of the API.
const (
	EditPath     = "/administration/edit"
	ConfigPath   = "/administration/config"
	StatusPath   = "/administration/status"
	WarningsPath = "/administration/warnings"
	ExplainPath  = "/administration/explain"
	ForgetPath   = "/administration/forget"
	HealthPath   = "/healthz"
	ReadyPath    = "/readyz"
	MetricsPath  = "/metrics"
)

// The values of WireEdit.Kind.
const (
	KindCatalogue        = "applyCatalogue"
	KindGrant            = "grantKey"
	KindWithdraw         = "withdrawKey"
	KindDrain            = "drain"
	KindReturn           = "return"
	KindDataCentreOut    = "dataCentreOut"
	KindDataCentreReturn = "dataCentreReturn"
)

// maxBodyBytes bounds a request's body: the largest catalogue, with 1 MiB for JSON
// escapes and the other fields.
const maxBodyBytes = parser.MaxFileSize + 1<<20

// Control is the part of the controller that the API needs.
type Control interface {
	Status(ctx context.Context) (controller.Status, error)
	SubmitDocuments(ctx context.Context, docs []controller.Document)
	RefreshMaps(ctx context.Context) error
}

// API serves operators over HTTP. All paths but those for health, readiness and
// metrics need the operator key as a bearer token.
type API struct {
	pu     *publisher.Publisher
	editor *Editor
	co     Control
	digest cataloguer.Digest
}

// NewAPI returns the operators' API. Digest is the SHA-256 digest of the operator
// key.
func NewAPI(pu *publisher.Publisher, ed *Editor, co Control, digest cataloguer.Digest) *API {
	return &API{pu: pu, editor: ed, co: co, digest: digest}
}

// Handler returns the handler of the API, health, readiness and metrics. Without
// metrics, which may be nil, the metrics path is not served.
func (ap *API) Handler(metrics http.Handler) http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("POST "+EditPath, ap.requireOperatorKey(ap.serveEdit))
	mu.HandleFunc("POST "+ForgetPath, ap.requireOperatorKey(ap.serveForget))
	mu.HandleFunc("GET "+ConfigPath, ap.requireOperatorKey(ap.serveConfig))
	mu.HandleFunc("GET "+StatusPath, ap.requireOperatorKey(ap.serveStatus))
	mu.HandleFunc("GET "+WarningsPath, ap.requireOperatorKey(ap.serveWarnings))
	mu.HandleFunc("GET "+ExplainPath, ap.requireOperatorKey(ap.serveExplain))
	mu.HandleFunc("GET "+HealthPath, ap.serveHealth)
	mu.HandleFunc("GET "+ReadyPath, ap.serveReady)
	if metrics != nil {
		mu.Handle("GET "+MetricsPath, metrics)
	}
	return mu
}

func (ap *API) requireOperatorKey(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		key, ok := strings.CutPrefix(re.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(key))
		if !ok || subtle.ConstantTimeCompare(digest[:], ap.digest[:]) != 1 {
			writeError(wr, http.StatusUnauthorized, "unauthorized", "the operator key is missing or wrong")
			return
		}
		next(wr, re)
	}
}

// WireEdit is the JSON body of an edit. From is the version of the configuration
// that the edit is based on; the other fields depend on Kind.
type WireEdit struct {
	Kind     string `json:"kind"`
	From     uint64 `json:"from"`
	Operator string `json:"operator"`
	// Catalogue is YAML, and File is its name in error messages.
	Catalogue     string `json:"catalogue,omitempty"`
	File          string `json:"file,omitempty"`
	Workspace     string `json:"workspace,omitempty"`
	Digest        string `json:"digest,omitempty"`
	BackendServer string `json:"backendServer,omitempty"`
	DataCentre    string `json:"dataCentre,omitempty"`
}

// WireError is the JSON body of an error response.
type WireError struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	// Found is the current version of the configuration, on a conflict.
	Found uint64 `json:"found,omitempty"`
}

// WireVersion is the response to an edit: the version that it created.
type WireVersion struct {
	Version uint64 `json:"version"`
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller's connection broke.
	_ = json.NewEncoder(wr).Encode(value)
}

func writeError(wr http.ResponseWriter, status int, code, reason string) {
	writeJSON(wr, status, WireError{Code: code, Reason: reason})
}

func (ap *API) serveEdit(wr http.ResponseWriter, re *http.Request) {
	var body WireEdit
	de := json.NewDecoder(io.LimitReader(re.Body, maxBodyBytes))
	de.DisallowUnknownFields()
	if err := de.Decode(&body); err != nil {
		writeError(wr, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	change, err := toEdit(body)
	if err != nil {
		writeError(wr, http.StatusUnprocessableEntity, "rejected", err.Error())
		return
	}
	if !ap.canCommit(re.Context()) {
		writeError(wr, http.StatusServiceUnavailable, "noContact",
			"this instance is not in contact with a majority of the data centres, so a change would not reach all; ask another instance")
		return
	}
	committed, err := ap.editor.Commit(re.Context(), body.From, body.Operator, change)
	if err != nil {
		ap.writeCommitError(wr, err)
		return
	}
	ap.publish(re.Context(), committed)
	writeJSON(wr, http.StatusOK, WireVersion{Version: committed.Config.Version})
}

// canCommit reports whether this instance is in contact with a majority of the
// data centres, so that a change reaches all. The first catalogue needs no contact,
// because no instance serves callers without one.
func (ap *API) canCommit(ctx context.Context) bool {
	st, err := ap.co.Status(ctx)
	return err == nil && (st.HasContact || st.ConfigVersion == 0)
}

// publish puts a committed configuration into force without waiting for the next
// poll of the table.
func (ap *API) publish(ctx context.Context, committed Committed) {
	document := controller.Document{Name: controller.ConfigKey, Version: committed.Config.Version, Content: committed.Content}
	ap.co.SubmitDocuments(ctx, []controller.Document{document})
	// If this fails, the controllers that poll the table do it later.
	_ = ap.co.RefreshMaps(ctx)
}

func toEdit(body WireEdit) (Edit, error) {
	switch body.Kind {
	case KindCatalogue:
		file := body.File
		if file == "" {
			file = "catalogue"
		}
		cat, err := parser.ParseCatalogue(file, []byte(body.Catalogue))
		return CatalogueApply{Catalogue: cat}, err
	case KindGrant:
		digest, err := toDigest(body.Digest)
		return KeyGrant{Workspace: body.Workspace, Digest: digest}, err
	case KindWithdraw:
		return toWithdraw(body)
	case KindDrain, KindReturn:
		return BackendServerDrain{BackendServer: body.BackendServer, IsReturn: body.Kind == KindReturn}, nil
	case KindDataCentreOut, KindDataCentreReturn:
		return DataCentreDrain{DataCentre: body.DataCentre, IsReturn: body.Kind == KindDataCentreReturn}, nil
	default:
		return nil, &RejectedError{Reason: "unknown kind of edit " + body.Kind}
	}
}

func toWithdraw(body WireEdit) (Edit, error) {
	if body.Digest == "" {
		return KeyWithdraw{Workspace: body.Workspace}, nil
	}
	digest, err := toDigest(body.Digest)
	return KeyWithdraw{Workspace: body.Workspace, Digest: &digest}, err
}

func toDigest(text string) (cataloguer.Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != cataloguer.DigestSize {
		return cataloguer.Digest{}, &RejectedError{Reason: "digest must be a SHA-256 digest in hexadecimal"}
	}
	return cataloguer.Digest(raw), nil
}

func (ap *API) writeCommitError(wr http.ResponseWriter, err error) {
	var (
		conflicted *VersionConflictError
		rejected   *RejectedError
		field      *cataloguer.FieldError
	)
	switch {
	case errors.As(err, &conflicted):
		writeJSON(wr, http.StatusConflict, WireError{Code: "conflict", Reason: err.Error(), Found: conflicted.Found})
	case errors.As(err, &rejected), errors.As(err, &field):
		writeError(wr, http.StatusUnprocessableEntity, "rejected", err.Error())
	default:
		writeError(wr, http.StatusServiceUnavailable, "platform", err.Error())
	}
}

// WireForget is the JSON body of a call that revokes the incarnation of a backend
// server whose VM is destroyed.
type WireForget struct {
	BackendServer string `json:"backendServer"`
	// IsDestroyed is the operator's confirmation that the VM is destroyed.
	IsDestroyed bool `json:"isDestroyed"`
}

func (ap *API) serveForget(wr http.ResponseWriter, re *http.Request) {
	var body WireForget
	if err := json.NewDecoder(io.LimitReader(re.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(wr, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	if !body.IsDestroyed {
		writeError(wr, http.StatusUnprocessableEntity, "rejected", "isDestroyed: false: the VM must be destroyed, or two backend servers may own a key")
		return
	}
	if err := ap.editor.Forget(re.Context(), body.BackendServer); err != nil {
		ap.writeCommitError(wr, err)
		return
	}
	if err := ap.co.RefreshMaps(re.Context()); err != nil {
		ap.writeCommitError(wr, err)
		return
	}
	writeJSON(wr, http.StatusOK, struct{}{})
}

// WireConfig is the configuration as operators see it. Keys holds the number of
// keys of each workspace, Drained the drained backend servers, and Out the data
// centres out of service.
type WireConfig struct {
	Version   uint64         `json:"version"`
	Services  []string       `json:"services"`
	Keys      map[string]int `json:"keys"`
	Drained   []string       `json:"drained"`
	Out       []string       `json:"out"`
	Changes   []WireChange   `json:"changes"`
	Catalogue string         `json:"catalogue"`
}

// WireChange is one recorded change. At is in milliseconds since 1970.
type WireChange struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Summary  string `json:"summary"`
	At       int64  `json:"at"`
}

func (ap *API) serveConfig(wr http.ResponseWriter, re *http.Request) {
	co, err := ap.editor.Read(re.Context())
	if err != nil {
		ap.writeCommitError(wr, err)
		return
	}
	wc := WireConfig{Version: co.Version, Keys: map[string]int{}, Drained: co.DrainedServers, Out: co.DrainedDataCentres}
	for _, sv := range co.Catalogue.Services {
		wc.Services = append(wc.Services, sv.Name)
	}
	for _, ke := range co.WorkspaceKeys {
		wc.Keys[ke.Workspace]++
	}
	for _, ch := range co.Changes {
		wc.Changes = append(wc.Changes, WireChange{Version: ch.Version, Operator: ch.Operator, Summary: ch.Summary, At: ch.At})
	}
	wc.Catalogue, err = parser.FormatCatalogue(co.Catalogue)
	if err != nil {
		writeError(wr, http.StatusInternalServerError, "format", err.Error())
		return
	}
	writeJSON(wr, http.StatusOK, wc)
}

// WireStatus is the state of an instance. By service, MapVersions holds the versions
// of the partition maps it has, Owned the number of partitions it owns, and Pending
// the number it was assigned but does not serve yet.
type WireStatus struct {
	BackendServer string            `json:"backendServer"`
	Incarnation   uint64            `json:"incarnation"`
	IsJoined      bool              `json:"isJoined"`
	HasLease      bool              `json:"hasLease"`
	IsFresh       bool              `json:"isFresh"`
	Watchers      []string          `json:"watchers"`
	ConfigVersion uint64            `json:"configVersion"`
	MapVersions   map[string]uint64 `json:"mapVersions"`
	Owned         map[string]int    `json:"owned"`
	Pending       map[string]int    `json:"pending"`
	Members       []WireMember      `json:"members"`
}

// WireMember is a member of a service's partition map, as known to the instance
// that responds.
type WireMember struct {
	BackendServer string `json:"backendServer"`
	Service       string `json:"service"`
	DataCentre    string `json:"dataCentre"`
	Incarnation   uint64 `json:"incarnation"`
	Weight        uint32 `json:"weight"`
}

func (ap *API) serveStatus(wr http.ResponseWriter, re *http.Request) {
	st, err := ap.co.Status(re.Context())
	if err != nil {
		writeError(wr, http.StatusServiceUnavailable, "stopping", err.Error())
		return
	}
	ws := WireStatus{
		BackendServer: st.BackendServer, Incarnation: st.Incarnation, IsJoined: st.IsJoined, HasLease: st.HasLease,
		IsFresh: ap.pu.IsFresh(), Watchers: st.Watchers, ConfigVersion: st.ConfigVersion,
		MapVersions: st.MapVersions, Owned: st.Owned, Pending: st.Pending,
	}
	vi := ap.pu.View()
	for _, sv := range vi.Config.Catalogue.Services {
		if tb := vi.Tables[sv.Name]; tb != nil {
			ws.Members = append(ws.Members, toMembers(sv.Name, tb.Map.Members)...)
		}
	}
	writeJSON(wr, http.StatusOK, ws)
}

func toMembers(service string, members []placer.Member) []WireMember {
	var list []WireMember
	for _, me := range members {
		list = append(list, WireMember{
			BackendServer: me.BackendServer, Service: service, DataCentre: me.DataCentre,
			Incarnation: me.Incarnation, Weight: me.Weight,
		})
	}
	return list
}

// WireWarning is a warning that is active at the time of the response. Seconds is
// for how long.
type WireWarning struct {
	Kind    string  `json:"kind"`
	Subject string  `json:"subject"`
	Reason  string  `json:"reason"`
	Seconds float64 `json:"seconds"`
}

func (ap *API) serveWarnings(wr http.ResponseWriter, re *http.Request) {
	st, err := ap.co.Status(re.Context())
	if err != nil {
		writeError(wr, http.StatusServiceUnavailable, "stopping", err.Error())
		return
	}
	list := []WireWarning{}
	for _, wa := range st.Warnings {
		seconds := st.Now.Sub(wa.Since).Duration().Seconds()
		list = append(list, WireWarning{Kind: wa.Kind, Subject: wa.Subject, Reason: wa.Reason, Seconds: seconds})
	}
	writeJSON(wr, http.StatusOK, list)
}

// WireExplanation says which backend server owns a key of one service and why.
// Members counts the members with a weight above 0, and Next are those that would
// own the key next, in order. The key has had this owner since the map version
// SinceVersion, committed at SinceAt in milliseconds since 1970; both are 0 if that
// lies before the oldest recorded change.
type WireExplanation struct {
	Service      string   `json:"service"`
	Key          string   `json:"key"`
	Partition    uint32   `json:"partition"`
	Owner        string   `json:"owner"`
	DataCentre   string   `json:"dataCentre"`
	Incarnation  uint64   `json:"incarnation"`
	Next         []string `json:"next"`
	Members      int      `json:"members"`
	MapVersion   uint64   `json:"mapVersion"`
	SinceVersion uint64   `json:"sinceVersion"`
	SinceAt      int64    `json:"sinceAt"`
}

func (ap *API) serveExplain(wr http.ResponseWriter, re *http.Request) {
	key := re.URL.Query().Get("key")
	if key == "" {
		writeError(wr, http.StatusBadRequest, "badRequest", "the parameter key is needed")
		return
	}
	vi := ap.pu.View()
	list := []WireExplanation{}
	for _, sv := range vi.Config.Catalogue.Services {
		tb := vi.Tables[sv.Name]
		if tb == nil || sv.Class != cataloguer.Exclusive {
			continue
		}
		list = append(list, toExplanation(tb.Explain(key)))
	}
	writeJSON(wr, http.StatusOK, list)
}

func toExplanation(ex placer.Explanation) WireExplanation {
	we := WireExplanation{
		Service: ex.Service, Key: ex.Key, Partition: ex.Partition, MapVersion: ex.MapVersion, Members: ex.WeightedMembers,
		Owner: ex.Owner.BackendServer, DataCentre: ex.Owner.DataCentre, Incarnation: ex.Owner.Incarnation,
		SinceVersion: ex.SinceVersion, SinceAt: ex.SinceAt,
	}
	for _, me := range ex.Next {
		we.Next = append(we.Next, me.BackendServer)
	}
	return we
}

func (ap *API) serveHealth(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, struct{}{})
}

// serveReady reports whether callers should be routed to this instance.
func (ap *API) serveReady(wr http.ResponseWriter, _ *http.Request) {
	isReady := !ap.pu.IsStopping() && ap.pu.View().Config.Version > 0 && ap.pu.IsFresh()
	if !isReady {
		writeError(wr, http.StatusServiceUnavailable, "notReady", "the instance is starting, stopping or not fresh")
		return
	}
	writeJSON(wr, http.StatusOK, struct{}{})
}
