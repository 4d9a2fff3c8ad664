package controller

import (
	"context"
	"net/netip"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/peerproto"
	"github.com/hashicorp/go-hclog"
)

// Peers is the RPC client of the other instances.
type Peers interface {
	Sync(ctx context.Context, address string, re *peerproto.SyncRequest) (*peerproto.SyncResponse, error)
	Revoke(ctx context.Context, address string, re *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error)
	Release(ctx context.Context, address string, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error)
}

// Sender sends control datagrams. They may be lost.
type Sender interface {
	Send(to netip.AddrPort, da *peerproto.Datagram) error
}

// Buckets holds the token buckets of the workspaces whose limits this instance
// owns.
type Buckets interface {
	// Export returns the buckets of a partition that this instance has stopped
	// serving.
	Export(pt uint32) []*peerproto.Bucket
	// Import is called before a partition is served at an epoch, with the buckets
	// that a prior owner handed over. isFirst is set if no owner has served the
	// partition before. losses counts the owners that were lost without a hand-over
	// and whose grants may not have expired. Buckets that are not among those
	// handed over have granted no tokens after since.
	Import(pt uint32, epoch uint64, buckets []*peerproto.Bucket, isFirst bool, losses int, since timer.Instant)
}

// ConfigSource supplies the configuration if operators keep it outside the table.
type ConfigSource interface {
	// Await is a long poll: it returns the configuration as soon as its origin
	// differs from the given one, or after wait reports that it is unchanged. It
	// fails once ctx ends.
	Await(ctx context.Context, origin string, wait time.Duration) (ConfigResult, error)
}

// ConfigResult is the result of ConfigSource.Await.
type ConfigResult struct {
	// IsChanged is set if Config differs from the configuration known before.
	IsChanged bool
	Config    cataloguer.Config
	// Age is an upper bound of the result's age.
	Age timer.Span
}

// WithConfigSource sets the source of the configuration. The default is the table.
func WithConfigSource(cs ConfigSource) Option { return func(co *Controller) { co.configs = cs } }

// WithRegistrar makes the instance expect heartbeats from the backend server, and
// list the partitions that the server may hold in the replies. Without it the server
// counts as ready always.
func WithRegistrar(re *registrar.Registrar) Option { return func(co *Controller) { co.re = re } }

// WithKeyGranter makes the instance call the backend server to grant and release key
// ranges. The registrar must have been created with registrar.OrderTimeout.
func WithKeyGranter(kg KeyGranter) Option { return func(co *Controller) { co.granter = kg } }

// WithStrictFreshness counts only successful reads of the configuration, so that a
// withdrawn key is refused everywhere once the span of WithFreshness has passed.
func WithStrictFreshness(isStrict bool) Option {
	return func(co *Controller) { co.isFreshnessStrict = isStrict }
}

// WithStanding makes this instance's share of keys follow the speed of the backend server
// and the work that arrives there, if the service is split by key. The function returns
// how the server compares with the others of its service, or false if that is not known.
// It is called in the event loop.
func WithStanding(standing func() (pacer.Standing, bool)) Option {
	return func(co *Controller) { co.standing = standing }
}

// WithFirstFoldDelay sets how long an instance that finds no partition map waits before
// it may create the maps, in addition to a random delay.
func WithFirstFoldDelay(span timer.Span) Option {
	return func(co *Controller) { co.firstFoldDelay = span }
}

// Option sets one option of New.
type Option func(*Controller)

// WithBuckets sets the workspaces' token buckets.
func WithBuckets(bu Buckets) Option { return func(co *Controller) { co.buckets = bu } }

// WithTable sets the table service.
func WithTable(ta tabler.Table) Option { return func(co *Controller) { co.tableStore.table = ta } }

// WithObjects sets the object store.
func WithObjects(ob storer.Objects) Option {
	return func(co *Controller) { co.tableStore.objects = ob }
}

// WithPeers sets the client of other instances.
func WithPeers(pe Peers) Option { return func(co *Controller) { co.peers = pe } }

// WithSender sets the datagram socket.
func WithSender(se Sender) Option { return func(co *Controller) { co.sender = se } }

// WithPublisher sets the publisher, from which request handlers read the control
// state.
func WithPublisher(pu *publisher.Publisher) Option { return func(co *Controller) { co.pu = pu } }

// WithLogger sets the logger. The default discards all lines.
func WithLogger(lo hclog.Logger) Option { return func(co *Controller) { co.lo = lo } }

// WithLeaseTerm sets for how long an acknowledged renewal extends the lease.
func WithLeaseTerm(term timer.Span) Option { return func(co *Controller) { co.leaseTerm = term } }

// WithSuspectHandler sets the function that is called, in the event loop, with the
// fingerprint of each request that was running when a run of the backend server of another
// instance crashed.
func WithSuspectHandler(suspectHandler func(fingerprint uint64, run uint32)) Option {
	return func(co *Controller) { co.suspectHandler = suspectHandler }
}

// WithClearedHandler sets the function that is called, in the event loop, with the
// fingerprint of each request that was answered at another instance after it had been running
// in crashes.
func WithClearedHandler(clearedHandler func(fingerprint uint64)) Option {
	return func(co *Controller) { co.clearedHandler = clearedHandler }
}

// WithQuarantineHandler sets the function that is called, in the event loop, with the
// requests that are to be refused since they crash backend servers.
func WithQuarantineHandler(quarantineHandler func(suspects []admitter.Suspect)) Option {
	return func(co *Controller) { co.quarantineHandler = quarantineHandler }
}

// WithPredecessor takes the documents, the freshness and the quarantine from a former incarnation
// of this process, which must have ended. Versions never decrease, so they are
// valid for the next incarnation too. A nil predecessor is ignored.
func WithPredecessor(former *Controller) Option {
	return func(co *Controller) {
		if former != nil {
			co.ds = former.ds
			co.fr = former.fr
			co.share, co.writtenSpeed = former.share, former.writtenSpeed
			co.quarantine.unstored = former.quarantine.unstored
			co.quarantine.seenAt = former.quarantine.seenAt
		}
	}
}

// WithFreshness sets how long the list of withdrawn keys may be used after the
// table was last known to be read.
func WithFreshness(span timer.Span) Option { return func(co *Controller) { co.freshness = span } }
