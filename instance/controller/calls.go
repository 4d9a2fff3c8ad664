package controller

import (
	"context"
	"net/netip"

	"cornellanding.example/core/leaser"
	"cornellanding.example/wire/peerproto"
)

// Datagram hands an authentic datagram to the control thread. It drops it if
// the thread is far behind: leases then lapse, which is safe.
func (co *Controller) Datagram(da *peerproto.Datagram, from netip.AddrPort) {
	select {
	case co.events <- datagramArrived{datagram: da, from: from}:
	default:
	}
}

// ReportSuspect tells all instances of a request that ran when the backend server
// crashed.
func (co *Controller) ReportSuspect(fingerprint uint64) {
	select {
	case co.events <- suspectFound{fingerprint: fingerprint}:
	default:
	}
}

// ask posts an event and waits for its reply.
func ask[R any](ctx context.Context, co *Controller, reply <-chan R, ev event) (R, error) {
	var zero R
	select {
	case co.events <- ev:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case re := <-reply:
		return re, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Revoke votes on a takeover of the holder, for itself or for a former
// incarnation on its VM.
func (co *Controller) Revoke(ctx context.Context, holder uint64, isProbe, isFormer bool) (leaser.Vote, error) {
	reply := make(chan leaser.Vote, 1)
	return ask(ctx, co, reply, revokeAsked{holder: holder, isProbe: isProbe, isFormer: isFormer, reply: reply})
}

// Release answers a new owner's request.
func (co *Controller) Release(ctx context.Context, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	reply := make(chan *peerproto.ReleaseResponse, 1)
	return ask(ctx, co, reply, releaseAsked{request: re, reply: reply})
}

// Sync returns the documents newer than the versions.
func (co *Controller) Sync(ctx context.Context, have map[string]uint64) ([]Document, error) {
	reply := make(chan []Document, 1)
	return ask(ctx, co, reply, syncAsked{have: have, reply: reply})
}

// SubmitDocuments hands documents to the control thread, as after the own commit.
func (co *Controller) SubmitDocuments(ctx context.Context, docs []Document) {
	co.post(ctx, documentsFetched{documents: docs})
}

// RefreshMaps reads the rows and folds them into the maps before it returns.
func (co *Controller) RefreshMaps(ctx context.Context) error {
	docs, err := co.ledger.fold(ctx)
	co.SubmitDocuments(ctx, docs)
	return err
}

// Status returns a copy of the control state.
func (co *Controller) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	return ask(ctx, co, reply, statusAsked{reply: reply})
}
