package controller

import (
	"context"
	"net/netip"

	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/wire/peerproto"
)

// Datagram queues an authenticated datagram for the event loop. The datagram is
// dropped if the queue is full: leases may then lapse, which is safe.
func (co *Controller) Datagram(da *peerproto.Datagram, from netip.AddrPort) {
	select {
	case co.events <- datagramReceived{datagram: da, from: from}:
	default:
	}
}

// ReportSuspect sends all instances the fingerprint of a request that was running
// when the backend server crashed. It is dropped if the event queue is full.
func (co *Controller) ReportSuspect(fingerprint uint64, run uint32) {
	select {
	case co.events <- suspectReported{fingerprint: fingerprint, run: run}:
	default:
	}
}

// ReportNewerConfig makes the instance fetch the configuration from a peer that has the given
// version, if it is newer than its own. It is dropped if the event queue is full.
func (co *Controller) ReportNewerConfig(from placer.Member, version uint64) {
	select {
	case co.events <- newerConfigSeen{from: from, version: version}:
	default:
	}
}

// call posts an event and waits for its reply. It returns the context's error if
// ctx ends first, and that of Run if Run returns first.
func call[R any](ctx context.Context, co *Controller, reply <-chan R, ev event) (R, error) {
	var zero R
	select {
	case co.events <- ev:
	case <-co.ended:
		return zero, co.err
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case re := <-reply:
		return re, nil
	case <-co.ended:
		return zero, co.err
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Revoke returns this watcher's vote on revoking the holder's lease, or the context's
// error. With isProbe the vote is not recorded. With isFormer the vote is that of a
// former incarnation on this VM.
func (co *Controller) Revoke(ctx context.Context, holder uint64, isProbe, isFormer bool) (leaser.Vote, error) {
	reply := make(chan leaser.Vote, 1)
	return call(ctx, co, reply, revokeRequested{holder: holder, isProbe: isProbe, isFormer: isFormer, reply: reply})
}

// Release answers a new owner's request to release partitions. It returns the
// context's error if ctx ends first.
func (co *Controller) Release(ctx context.Context, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	reply := make(chan *peerproto.ReleaseResponse, 1)
	return call(ctx, co, reply, releaseRequested{request: re, reply: reply})
}

// Sync returns the documents that are newer than the given versions, which are by
// document name, or the context's error.
func (co *Controller) Sync(ctx context.Context, have map[string]uint64) ([]Document, error) {
	reply := make(chan []Document, 1)
	return call(ctx, co, reply, syncRequested{have: have, reply: reply})
}

// SubmitDocuments queues documents that this instance has committed itself.
func (co *Controller) SubmitDocuments(ctx context.Context, docs []Document) {
	co.post(ctx, documentsFetched{documents: docs})
}

// RefreshMaps reads the member rows, folds them into the partition maps and
// commits these. It returns the error of the last attempt if all fail.
func (co *Controller) RefreshMaps(ctx context.Context) error {
	docs, err := co.tableStore.fold(ctx, foldBasis{maps: mapsOf(co.pu.View().Tables)})
	co.SubmitDocuments(ctx, docs)
	return err
}

// Status returns a copy of the control state, or the context's error.
func (co *Controller) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	return call(ctx, co, reply, statusRequested{reply: reply})
}
