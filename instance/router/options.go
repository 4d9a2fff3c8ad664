package router

import (
	"net/http"
	"time"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/controller"
	"cornellanding.example/instance/forwarder"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/port/tabler"
	"github.com/hashicorp/go-hclog"
)

// Option sets one option of New.
type Option func(*Router)

// WithLogger sets the log.
func WithLogger(lo hclog.Logger) Option { return func(ro *Router) { ro.lo = lo } }

// WithClock sets the clock. The default is the boot clock.
func WithClock(clk timer.Clock) Option { return func(ro *Router) { ro.clock = clk } }

// WithReachability makes addresses unreachable, for experiments: what an instance
// sends to them is dropped, and so are their answers.
func WithReachability(reach func(address string) bool) Option {
	return func(ro *Router) { ro.reach = reach }
}

// WithTable sets the table service, in place of the client for the address in
// the settings.
func WithTable(ta tabler.Table) Option { return func(ro *Router) { ro.table = ta } }

// WithConfigSource sets where operators keep the configuration, if that is not the
// table. The instance then takes no edits.
func WithConfigSource(cs controller.ConfigSource) Option { return func(ro *Router) { ro.configs = cs } }

// WithHeartbeats lets the backend server announce itself and be told what it
// holds, for no longer than maxHold at once. See Heartbeat.
func WithHeartbeats(maxHold timer.Span) Option { return func(ro *Router) { ro.maxHold = maxHold } }

// WithServerCodec sets the protocol of the backend server.
func WithServerCodec(cd gatekeeper.Codec) Option { return func(ro *Router) { ro.codec = cd } }

// WithCallerHandler sets the protocol of callers.
func WithCallerHandler(wrap func(fo *forwarder.Forwarder) http.Handler) Option {
	return func(ro *Router) { ro.wrapCaller = wrap }
}

// WithForwarderOptions sets options of the entry side.
func WithForwarderOptions(opts ...forwarder.Option) Option {
	return func(ro *Router) { ro.entryOptions = append(ro.entryOptions, opts...) }
}

// WithStopTimeout bounds a planned stop.
func WithStopTimeout(limit time.Duration) Option { return func(ro *Router) { ro.stopLimit = limit } }

// WithQuietPeriod sets for how long no request must have begun before a planned
// stop refuses what still comes: the time that callers take to go elsewhere.
func WithQuietPeriod(span time.Duration) Option { return func(ro *Router) { ro.quietSpan = span } }
