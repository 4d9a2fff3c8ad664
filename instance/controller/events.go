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

// datagramReceived is a datagram from a peer.
type datagramReceived struct {
	datagram *peerproto.Datagram
	from     netip.AddrPort
}

// revokeRequested is a peer's or the own takeover's request for a vote.
type revokeRequested struct {
	holder  uint64
	isProbe bool
	// isFormer asks for the vote of a former incarnation on this VM.
	isFormer bool
	reply    chan<- leaser.Vote
}

// releaseRequested is a new owner's request to release partitions.
type releaseRequested struct {
	request *peerproto.ReleaseRequest
	reply   chan<- *peerproto.ReleaseResponse
}

// syncRequested is a peer's request for newer documents.
type syncRequested struct {
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
	// affectsMaps says that the write changed what the maps are folded from.
	affectsMaps bool
	// isWeightChange says that it changed the weight, which was formerWeight.
	isWeightChange bool
	formerWeight   uint32
	err            error
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

// releaseAnswered brings a prior owner's answer.
type releaseAnswered struct {
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

// mapsFolded ends an attempt to bring the maps up to date.
type mapsFolded struct {
	// known are the members known before.
	known []placer.Member
	// isForOthers says that it was not only to show the own row.
	isForOthers bool
	isDone      bool
	err         error
}

// stopRequested begins a planned stop, or ends it if done is set.
type stopRequested struct {
	handedOver chan struct{}
	done       chan struct{}
}

// stopStepDone ends a planned stop.
type stopStepDone struct {
	row leaser.Row
	err error
}

// suspectReported is a request that ran when the backend server crashed.
type suspectReported struct {
	fingerprint uint64
}

// statusRequested asks for a copy of the control state.
type statusRequested struct {
	reply chan<- Status
}

// configPolled ends a wait for another configuration. ReadAt is as of when its
// outcome is known.
type configPolled struct {
	result ConfigResult
	readAt timer.Instant
	err    error
}

// heartbeatReceived is a heartbeat of the backend server.
type heartbeatReceived struct {
	heartbeat registrar.Heartbeat
	reply     chan<- registrar.Reply
	// abandoned is closed when nobody waits for the reply any more.
	abandoned <-chan struct{}
}

// serverDeregistered is the backend server's word that it leaves.
type serverDeregistered struct {
	id    string
	reply chan<- bool
}

// connectionRefused is a connection that the backend server's address refused.
type connectionRefused struct{}

func (configPolled) isEvent()       {}
func (heartbeatReceived) isEvent()  {}
func (serverDeregistered) isEvent() {}
func (connectionRefused) isEvent()  {}
func (datagramReceived) isEvent()   {}
func (revokeRequested) isEvent()    {}
func (releaseRequested) isEvent()   {}
func (syncRequested) isEvent()      {}
func (documentsFetched) isEvent()   {}
func (rowCommitted) isEvent()       {}
func (releaseAnswered) isEvent()    {}
func (takeoverEnded) isEvent()      {}
func (mapsFolded) isEvent()         {}
func (synced) isEvent()             {}
func (stopRequested) isEvent()      {}
func (stopStepDone) isEvent()       {}
func (suspectReported) isEvent()    {}
func (statusRequested) isEvent()    {}
