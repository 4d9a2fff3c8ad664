package controller

import (
	"net/netip"

	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// event is the sealed set of what the control thread handles.
type event interface{ isEvent() }

// datagramArrived is a datagram from a peer.
type datagramArrived struct {
	datagram *peerproto.Datagram
	from     netip.AddrPort
}

// revokeAsked is a peer's or the own takeover's request for a vote.
type revokeAsked struct {
	holder  uint64
	isProbe bool
	// isFormer asks for the vote of a former incarnation on this VM.
	isFormer bool
	reply    chan<- leaser.Vote
}

// releaseAsked is a new owner's request to release partitions.
type releaseAsked struct {
	request *peerproto.ReleaseRequest
	reply   chan<- *peerproto.ReleaseResponse
}

// syncAsked is a peer's request for newer documents.
type syncAsked struct {
	have  map[string]uint64
	reply chan<- []Document
}

// documentsFetched brings documents from a peer or the table. For a whole read
// of the table, ReadAt is when it was sent.
type documentsFetched struct {
	documents []Document
	readAt    timer.Instant
	isTable   bool
	// isPoll says that it ends a poll of the table.
	isPoll bool
	err    error
}

// rowCommitted brings the own row as it was read back.
type rowCommitted struct {
	row leaser.Row
	// isFirst says that the backend server had no row before.
	isFirst bool
	// isEnded says that the row was found left or revoked.
	isEnded bool
	// isReport says that the write changed what the maps are folded from.
	isReport bool
	// isWeight says that it changed the weight, which was formerWeight.
	isWeight     bool
	formerWeight uint32
	err          error
}

// orphansFound brings the holders whose rows name a former incarnation on this
// VM as a watcher.
type orphansFound struct {
	holders []placer.Member
	err     error
}

func (orphansFound) isEvent() {}

// synced brings documents from a peer.
type synced struct {
	from      uint64
	documents []Document
	err       error
}

// released brings a prior owner's answer.
type released struct {
	service string
	holder  uint64
	answer  *peerproto.ReleaseResponse
	err     error
}

// takeoverEnded ends a takeover of a holder.
type takeoverEnded struct {
	holder uint64
	err    error
}

// folded ends an attempt to bring the maps up to date.
type folded struct {
	// known are the members known before.
	known []placer.Member
	// isForOthers says that it was not only to show the own row.
	isForOthers bool
	isDone      bool
	err         error
}

// leaveAsked begins a planned stop, or ends it if done is set.
type leaveAsked struct {
	handedOver chan struct{}
	done       chan struct{}
}

// left ends a planned stop.
type left struct {
	row leaser.Row
	err error
}

// suspectFound is a request that ran when the backend server crashed.
type suspectFound struct {
	fingerprint uint64
}

// statusAsked asks for a copy of the control state.
type statusAsked struct {
	reply chan<- Status
}

// configAwaited ends a wait for another configuration. ReadAt is as of when its
// outcome is known.
type configAwaited struct {
	awaited ConfigResult
	readAt  timer.Instant
	err     error
}

// heartbeatArrived is a heartbeat of the backend server.
type heartbeatArrived struct {
	heartbeat registrar.Heartbeat
	reply     chan<- registrar.Reply
	// gone is closed when nobody waits for the reply any more.
	gone <-chan struct{}
}

// serverLeft is the backend server's word that it leaves.
type serverLeft struct {
	id    string
	reply chan<- bool
}

// serverRefused is a connection that the backend server's address refused.
type serverRefused struct{}

func (configAwaited) isEvent()    {}
func (heartbeatArrived) isEvent() {}
func (serverLeft) isEvent()       {}
func (serverRefused) isEvent()    {}
func (datagramArrived) isEvent()  {}
func (revokeAsked) isEvent()      {}
func (releaseAsked) isEvent()     {}
func (syncAsked) isEvent()        {}
func (documentsFetched) isEvent() {}
func (rowCommitted) isEvent()     {}
func (released) isEvent()         {}
func (takeoverEnded) isEvent()    {}
func (folded) isEvent()           {}
func (synced) isEvent()           {}
func (leaveAsked) isEvent()       {}
func (left) isEvent()             {}
func (suspectFound) isEvent()     {}
func (statusAsked) isEvent()      {}
