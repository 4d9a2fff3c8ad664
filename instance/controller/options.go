package controller

import (
	"context"
	"net/netip"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/peerproto"
	"github.com/hashicorp/go-hclog"
)

// Peers is the port to the other instances' RPCs.
type Peers interface {
	Sync(ctx context.Context, address string, re *peerproto.SyncRequest) (*peerproto.SyncResponse, error)
	Revoke(ctx context.Context, address string, re *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error)
	Release(ctx context.Context, address string, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error)
}

// Sender is the port to the datagram socket.
type Sender interface {
	Send(to netip.AddrPort, da *peerproto.Datagram) error
}

// Buckets is the port to the workspaces' buckets whose home this instance is.
type Buckets interface {
	// Export returns the buckets of a partition that is served no longer.
	Export(pt uint32) []*peerproto.Bucket
	// Import is called before a partition is served at an epoch. Nobody has
	// granted anything of the buckets that are not handed over after since.
	Import(pt uint32, epoch uint64, buckets []*peerproto.Bucket, isFirst bool, losses int, since timer.Instant)
}

// ConfigSource is the port to where operators keep the configuration, if that is not
// the table.
type ConfigSource interface {
	// Await returns the configuration as soon as its origin is another than the
	// given one, or after the wait that it is unchanged. It fails once ctx ends.
	Await(ctx context.Context, origin string, wait time.Duration) (ConfigResult, error)
}

// ConfigResult is what Configs knows at the end of a wait.
type ConfigResult struct {
	// IsChanged says that Config is another than the one known before.
	IsChanged bool
	Config    cataloguer.Config
	// Age is how old the knowledge is at the most.
	Age timer.Span
}

// WithConfigSource sets where operators keep the configuration.
func WithConfigSource(cs ConfigSource) Option { return func(co *Controller) { co.configs = cs } }

// WithRegistrar lets the backend server announce itself and be told what it
// holds.
func WithRegistrar(re *registrar.Registrar) Option { return func(co *Controller) { co.re = re } }

// Option sets one option of New.
type Option func(*Controller)

// WithBuckets sets the workspaces' buckets.
func WithBuckets(bu Buckets) Option { return func(co *Controller) { co.buckets = bu } }

// WithTable sets the table service.
func WithTable(ta tabler.Table) Option { return func(co *Controller) { co.ledger.table = ta } }

// WithObjects sets the object store.
func WithObjects(ob storer.Objects) Option { return func(co *Controller) { co.ledger.objects = ob } }

// WithPeers sets the client of other instances.
func WithPeers(pe Peers) Option { return func(co *Controller) { co.peers = pe } }

// WithSender sets the datagram socket.
func WithSender(se Sender) Option { return func(co *Controller) { co.sender = se } }

// WithPublisher sets the boundary to the traffic threads.
func WithPublisher(pu *publisher.Publisher) Option { return func(co *Controller) { co.pu = pu } }

// WithLogger sets the log of decisions.
func WithLogger(lo hclog.Logger) Option { return func(co *Controller) { co.lo = lo } }

// WithLeaseTerm sets the watchers' term.
func WithLeaseTerm(term timer.Span) Option { return func(co *Controller) { co.leaseTerm = term } }

// WithSuspectHandler sets who is told of requests that ran when a backend server
// elsewhere crashed.
func WithSuspectHandler(blame func(fingerprint uint64)) Option {
	return func(co *Controller) { co.blame = blame }
}

// WithPredecessor carries over what a former incarnation of this process knew:
// documents only go forwards, so they hold for the next one too.
func WithPredecessor(former *Controller) Option {
	return func(co *Controller) {
		if former != nil {
			co.ds = former.ds
			co.fr = former.fr
		}
	}
}

// WithFreshness sets how old the knowledge of withdrawn keys may be.
func WithFreshness(span timer.Span) Option { return func(co *Controller) { co.freshness = span } }
