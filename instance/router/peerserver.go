package router

import (
	"context"
	"errors"
	"time"

	"cornellanding.example/core/roller"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/controller"
	"cornellanding.example/wire/peerproto"
)

// controlTimeout bounds the time that a peer's RPC waits for the event loop.
const controlTimeout = 2 * time.Second

// forwardPath is the path of the RPC that carries callers' requests. All others are control
// calls, whose answers never wait for the link.
const forwardPath = peerproto.PeerPathPrefix + "Forward"

// peerServer serves the peer RPCs of one incarnation.
type peerServer struct {
	in *incarnation
}

// Sync implements peerproto.Peer.
func (ps *peerServer) Sync(ctx context.Context, re *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	have := map[string]uint64{}
	for _, dv := range re.GetHave() {
		have[dv.GetName()] = dv.GetVersion()
	}
	docs, err := ps.in.co.Sync(ctx, have)
	if err != nil {
		return nil, err
	}
	answer := &peerproto.SyncResponse{}
	for _, do := range docs {
		answer.Newer = append(answer.Newer, &peerproto.Document{Name: do.Name, Version: do.Version, Content: do.Compressed()})
	}
	return answer, nil
}

// Revoke implements peerproto.Peer. It answers without a vote if the watcher that the
// request names is neither this incarnation nor a former one of this backend server.
func (ps *peerServer) Revoke(ctx context.Context, re *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	self := ps.in.pu.Self()
	isFormer := re.GetWatcher() != self.Incarnation
	if isFormer && re.GetWatcherServer() != self.BackendServer {
		return &peerproto.RevokeResponse{Watcher: self.Incarnation}, nil
	}
	vote, err := ps.in.co.Revoke(ctx, re.GetHolder(), re.GetProbe(), isFormer)
	if err != nil {
		return nil, err
	}
	answer := &peerproto.RevokeResponse{Watcher: re.GetWatcher(), Revoked: vote.Revoked}
	if !vote.Revoked {
		answer.RetryAfter = int64(vote.RetryAt.Sub(ps.in.pu.Now()))
	}
	return answer, nil
}

// Release implements peerproto.Peer.
func (ps *peerServer) Release(ctx context.Context, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return ps.in.co.Release(ctx, re)
}

// Grant implements peerproto.Peer.
func (ps *peerServer) Grant(_ context.Context, re *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	return ps.in.gr.Grant(re), nil
}

// RollOut implements peerproto.Peer.
func (ps *peerServer) RollOut(ctx context.Context, re *peerproto.RollOutRequest) (*peerproto.RollOutResponse, error) {
	if re.GetTo() != ps.in.pu.Self().Incarnation {
		return nil, errWrongIncarnation
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := ps.in.co.RollOut(ctx, re)
	if err != nil {
		return nil, err
	}
	if re.GetState().GetName() == controller.RollOutPrefix+ps.in.pu.Self().Service {
		ps.in.ga.RollOut(roller.Grant{Term: re.GetTerm(), Ceiling: re.GetCeiling(), IsStopped: re.GetStopped()}, answer)
	}
	return answer, nil
}

var errWrongIncarnation = errors.New("router: this instance is another incarnation")

// Forward implements peerproto.Peer.
func (ps *peerServer) Forward(ctx context.Context, re *peerproto.ForwardRequest) (*peerproto.ForwardResponse, error) {
	hold := accountant.From(ctx)
	if !chargeDecoded(hold, re) {
		return refuseNoMemory(re), nil
	}
	hold.PassOn()
	return ps.in.ga.Forward(ctx, re), nil
}
