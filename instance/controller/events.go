package controller

import (
	"net/netip"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// event is the sealed interface of the events that the control loop handles.
type event interface{ isEvent() }

// datagramReceived carries a datagram from a peer.
type datagramReceived struct {
	datagram *peerproto.Datagram
	from     netip.AddrPort
}

// revokeRequested asks for this watcher's vote, for a takeover by a peer or by
// this instance.
type revokeRequested struct {
	holder  uint64
	isProbe bool
	// isFormer requests the vote of a former incarnation on this VM.
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

// documentsFetched carries documents from a peer, the table or the external
// configuration source.
type documentsFetched struct {
	documents []Document
	// readAt is the instant as of which the documents are known to be current. It
	// is used only if isTable is set.
	readAt timer.Instant
	// isTable is set if this instance read the table or the external configuration
	// source, so that the outcome counts for freshness.
	isTable bool
	// isPoll marks the end of a periodic poll of the table.
	isPoll bool
	// from is the incarnation of the peer that sent the documents, 0 for any other source.
	from uint64
	err  error
}

// rowCommitted carries this instance's row as found after a write.
type rowCommitted struct {
	row leaser.Row
	// leaving lists the runs of the backend server that the row found says are leaving,
	// and formerLeaving those of the former instance's row after a join.
	leaving       []registrar.ServerRun
	formerLeaving []registrar.ServerRun
	// isFirst is set if the backend server had no row before.
	isFirst bool
	// isEnded is set if the row was found to name another incarnation, or to be left or
	// revoked, and isOutdated if the store has come back from an older copy since the row
	// found was written.
	isEnded    bool
	isOutdated bool
	// affectsMaps is set if the write changed a value that the maps depend on.
	affectsMaps bool
	// isWeightChange is set if the write changed the weight from formerWeight and the backend
	// server's version from formerVersion.
	isWeightChange bool
	formerWeight   uint32
	formerVersion  string
	// formerSpeed is the speed in the row before the write, and foldDelay how long the
	// fold into the maps is delayed.
	formerSpeed uint32
	foldDelay   timer.Span
	err         error
}

// newRowCommitted returns the event for a write of the row of an incarnation.
func newRowCommitted(found folder.InstanceRow, incarnation uint64, err error) rowCommitted {
	return rowCommitted{
		row: found.Lease, leaving: found.Leaving, isEnded: isReplacedOrEnded(found, incarnation), isOutdated: found.IsOutdated(), err: err,
	}
}

// orphansFound carries the holders whose rows name a former incarnation on this
// VM as a watcher.
type orphansFound struct {
	holders []placer.Member
	err     error
}

func (orphansFound) isEvent() {}

// synced ends a fetch of documents from a peer.
type synced struct {
	from      uint64
	startedAt timer.Instant
	documents []Document
	err       error
}

// releaseAnswered carries a prior owner's answer to a release request.
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

// mapsFolded ends an attempt to fold the member rows into the maps.
type mapsFolded struct {
	// known holds the members before the fold.
	known []placer.Member
	// isForOthers is set if the fold was needed for more than this instance's
	// row.
	isForOthers bool
	// isDone is set if the maps were committed or needed no change. Otherwise err
	// holds the cause.
	isDone bool
	err    error
}

// stopRequested starts a planned stop unless one has begun. Each channel may be nil.
type stopRequested struct {
	// handedOver is closed once all partitions are released.
	handedOver chan struct{}
	// done completes the stop, and is closed at its end.
	done chan struct{}
}

// stopStepDone ends a write of the row, and the fold after it, during a planned stop.
// The row has version 0 if it is not known after a failed write.
type stopStepDone struct {
	row leaser.Row
	// leaving is as in rowCommitted.
	leaving []registrar.ServerRun
	// isEnded and isOutdated are as in rowCommitted.
	isEnded    bool
	isOutdated bool
	err        error
}

// suspectReported carries the fingerprint of a request that was running when the
// backend server crashed.
type suspectReported struct {
	fingerprint uint64
	run         uint32
}

// suspectCleared carries the fingerprint of a request that was answered after it had been
// running in crashes.
type suspectCleared struct{ fingerprint uint64 }

// requestQuarantined carries a request that crashed this instance's backend server and is
// quarantined.
type requestQuarantined struct {
	suspect admitter.Suspect
}

// quarantineWritten ends a write of the stored quarantine.
type quarantineWritten struct {
	added    []admitter.Suspect
	removed  []uint64
	document Document
	err      error
}

// newerConfigSeen says that a peer has the version of the configuration.
type newerConfigSeen struct {
	from    placer.Member
	version uint64
}

// statusRequested requests a copy of the control state.
type statusRequested struct {
	reply chan<- Status
}

// configPolled ends a long poll for a changed configuration. The configuration is
// known to be current as of readAt.
type configPolled struct {
	result ConfigResult
	readAt timer.Instant
	err    error
}

// heartbeatReceived carries a heartbeat of the backend server.
type heartbeatReceived struct {
	heartbeat registrar.Heartbeat
	reply     chan<- registrar.Reply
	// abandoned is closed when the caller no longer waits for the reply.
	abandoned <-chan struct{}
}

// serverDeregistered announces that a run of the backend server, named by its ID, is
// ending. The reply may be nil.
type serverDeregistered struct {
	id    string
	reply chan<- bool
}

// connectionRefused reports that the backend server's address refused a connection that was
// attempted at attemptedAt.
type connectionRefused struct{ attemptedAt timer.Instant }

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
func (newerConfigSeen) isEvent()    {}
func (stopRequested) isEvent()      {}
func (stopStepDone) isEvent()       {}
func (suspectReported) isEvent()    {}
func (suspectCleared) isEvent()     {}
func (requestQuarantined) isEvent() {}
func (quarantineWritten) isEvent()  {}
func (statusRequested) isEvent()    {}
