package controller

import (
	"net/netip"

	"cornellanding.example/core/leaser"
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
	reply   chan<- leaser.Vote
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
	err       error
}

// rowCommitted brings the own row as it was read back.
type rowCommitted struct {
	row leaser.Row
	// isEnded says that the row was found left or revoked.
	isEnded bool
	// isReport says that the write was a report of what was obtained.
	isReport bool
	err      error
}

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
	err error
}

// leaveAsked begins a planned stop.
type leaveAsked struct {
	done chan struct{}
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
