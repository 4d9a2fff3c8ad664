package router

import (
	"net/http"
	"os"
	"time"

	"cornellanding.example/core/pacer"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/controller"
	"cornellanding.example/instance/forwarder"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/port/tabler"
	"github.com/hashicorp/go-hclog"
)

// Option sets one option of New.
type Option func(*Router)

// WithLogger sets the logger. The default follows the settings.
func WithLogger(lo hclog.Logger) Option { return func(ro *Router) { ro.lo = lo } }

// WithClock sets the clock. The default is the boot clock.
func WithClock(clk timer.Clock) Option { return func(ro *Router) { ro.clock = clk } }

// WithReachability simulates network partitions, for experiments: messages to
// addresses for which isReachable returns false are dropped, and so are their answers.
func WithReachability(isReachable func(address string) bool) Option {
	return func(ro *Router) { ro.isReachable = isReachable }
}

// WithTable sets the table service. The default is a client of the address in the
// settings.
func WithTable(ta tabler.Table) Option { return func(ro *Router) { ro.table = ta } }

// WithConfigSource sets the source of the configuration if operators keep it outside
// the table. The instance then rejects edits.
func WithConfigSource(cs controller.ConfigSource) Option { return func(ro *Router) { ro.configs = cs } }

// WithHeartbeats makes the instance expect heartbeats from the backend server, see
// Heartbeat. Each reply grants it partitions for at most maxHold. 0, the default,
// means that the server sends none and counts as ready always.
func WithHeartbeats(maxHold timer.Span) Option { return func(ro *Router) { ro.maxHold = maxHold } }

// WithKeyGranter makes the instance call the backend server to grant and release
// partitions, in place of the replies to heartbeats.
func WithKeyGranter(kg controller.KeyGranter) Option {
	return func(ro *Router) { ro.granter = kg }
}

// WithStrictFreshness makes the instance refuse workspace keys once no successful read
// of the configuration is known within the freshness limit.
func WithStrictFreshness(isStrict bool) Option {
	return func(ro *Router) { ro.isFreshnessStrict = isStrict }
}

// WithFirstFoldDelay sets how long an instance that finds no partition map waits for
// further members to join before it may create the maps. The default is 0.
func WithFirstFoldDelay(span timer.Span) Option {
	return func(ro *Router) { ro.firstFoldDelay = span }
}

// WithColdBound sets how many requests may start in any second on a cold backend server:
// its rate in the catalogue times overshoot, plus slack. A busy server is then asked whether it
// has turned cold. Without this option the feature pacing uses an overshoot of 1 and a slack
// of 2, and without both only the rate is limited.
func WithColdBound(overshoot, slack float64) Option {
	return func(ro *Router) {
		ro.coldBound, ro.hasColdBound = pacer.Bound{Overshoot: overshoot, Slack: slack}, true
	}
}

// WithRollOuts makes the instance follow the versions of backend servers, which need to send
// heartbeats, and carry out operators' orders. Status is told how far they have come.
func WithRollOuts(bo roller.Bounds, status controller.StatusWriter) Option {
	return func(ro *Router) { ro.rollOutBounds, ro.rollOutStatus = bo, status }
}

// WithServerCodec sets the codec for requests to the backend server.
func WithServerCodec(cd gatekeeper.Codec) Option { return func(ro *Router) { ro.codec = cd } }

// WithCallerHandler sets a function that wraps the forwarder in the handler of
// callers' requests, to support another caller protocol.
func WithCallerHandler(wrap func(fo *forwarder.Forwarder) http.Handler) Option {
	return func(ro *Router) { ro.wrapCaller = wrap }
}

// WithForwarderOptions adds options of the forwarder, which handles callers'
// requests.
func WithForwarderOptions(opts ...forwarder.Option) Option {
	return func(ro *Router) { ro.forwarderOptions = append(ro.forwarderOptions, opts...) }
}

// WithStopTimeout bounds the duration of a planned stop. The default is 30 s.
func WithStopTimeout(timeout time.Duration) Option {
	return func(ro *Router) { ro.stopTimeout = timeout }
}

// WithRepeatedStops sets the channel of the stop signals that arrive during a planned
// stop. Each makes the stop's time-out begin again.
func WithRepeatedStops(signals <-chan os.Signal) Option {
	return func(ro *Router) { ro.repeatedStops = signals }
}

// WithQuietPeriod sets for how long no caller's request must have arrived before a
// planned stop refuses further ones. It should cover the time that callers take to
// switch to other instances. The default is 1 s.
func WithQuietPeriod(period time.Duration) Option {
	return func(ro *Router) { ro.quietPeriod = period }
}
