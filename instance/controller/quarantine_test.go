package controller

import (
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"github.com/matryer/is"
)

var crasher = admitter.Suspect{Fingerprint: 1<<63 + 5, Crashes: 2}

// learn records the quarantine that the instance passes on.
func (sc *sidecar) learn(into *[]admitter.Suspect) *sidecar {
	sc.quarantineHandler = func(suspects []admitter.Suspect) { *into = suspects }
	return sc
}

// storeQuarantine completes the writes of the quarantine that are due.
func (sc *sidecar) storeQuarantine() {
	for range 3 {
		sc.clk.Advance(quarantineBackoff)
		sc.writeQuarantine(sc.clk.Now())
		if !sc.quarantine.isWriting {
			return
		}
		sc.handle(<-sc.events)
	}
}

// TestQuarantineBindsTheNextInstance guards against a restart after which a request that
// crashes backend servers is let through again.
func TestQuarantineBindsTheNextInstance(t *testing.T) {
	is := is.New(t)
	former := newSidecar(t, 1).joined()
	former.tableStore.table.(*fakeTable).faults = []string{"refused"}
	former.handle(requestQuarantined{suspect: crasher})
	former.handle(<-former.events) // the table refuses the write
	former.storeQuarantine()
	is.Equal(len(former.quarantine.unstored), 0)

	var learned []admitter.Suspect
	next := former.successor(2).learn(&learned)
	next.clk.Advance(firstHeartbeatTimeout + timer.Millisecond)
	next.ds.config = cataloguer.Config{Version: 1}
	next.join(next.clk.Now())
	is.True(!next.isJoining) // nobody forwards to its server before it knows the quarantine
	next.poll(next.clk.Now())
	next.handle(<-next.events)
	is.Equal(learned, []admitter.Suspect{crasher})
	next.join(next.clk.Now())
	is.True(next.isJoining)
	is.Equal(next.ds.hash, newDocuments().versionsHash()) // peers that never read it hold the same documents
	is.Equal(len(next.ds.newerThan(nil)), 0)
}

// TestQuarantineEnds checks that a stored request is refused for a term only, also by
// instances that read it later, and is removed after that.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	var learned []admitter.Suspect
	sc := newSidecar(t, 1).learn(&learned).joined()
	sc.handle(requestQuarantined{suspect: crasher})
	sc.handle(<-sc.events)
	is.Equal(learned, []admitter.Suspect{crasher})
	late := sc.successor(2).learn(&learned)
	late.ds.held, late.ds.quarantine = sc.ds.held, sc.ds.quarantine
	late.quarantine.seenAt = sc.quarantine.seenAt
	late.clk.Advance(sc.clk.Now().Sub(late.clk.Now()) + admitter.QuarantineTerm)
	late.applyQuarantine(late.clk.Now())
	is.Equal(len(learned), 0)

	sc.clk.Advance(admitter.QuarantineTerm)
	sc.storeQuarantine()
	is.Equal(len(sc.ds.quarantine), 0)
}

// TestMergeSuspects checks concurrent writes of the quarantine, and one that replaces a
// row of another writer.
func TestMergeSuspects(t *testing.T) {
	is := is.New(t)
	stored := []admitter.Suspect{{Fingerprint: 1, Crashes: 3}, {Fingerprint: 2, Crashes: 2}}
	merged := mergeSuspects(stored, []admitter.Suspect{{Fingerprint: 1, Crashes: 2}, {Fingerprint: 3, Crashes: 2}}, []uint64{2})
	is.Equal(merged, []admitter.Suspect{{Fingerprint: 1, Crashes: 3}, {Fingerprint: 3, Crashes: 2}})
	var many []admitter.Suspect
	for fingerprint := range uint64(maxQuarantined + 1) {
		many = append(many, admitter.Suspect{Fingerprint: fingerprint, Crashes: 2})
	}
	merged = mergeSuspects(many, nil, nil)
	is.Equal(len(merged), maxQuarantined)
	is.Equal(merged[0].Fingerprint, uint64(1)) // the oldest one is dropped

	sc := newSidecar(t, 1).joined()
	ft := sc.tableStore.table.(*fakeTable)
	ft.rows[QuarantineKey] = tabler.Row{Key: QuarantineKey, Version: 4, Value: []byte(`{"requests":[{"fingerprint":"z"}]}`)}
	sc.handle(requestQuarantined{suspect: crasher})
	sc.handle(<-sc.events)
	is.Equal(sc.ds.quarantine, []admitter.Suspect{crasher})
}

// TestClearedRequestIsRemoved guards against a request that new instances refuse although it was
// answered after it had been quarantined, and against one report of that for each instance.
func TestClearedRequestIsRemoved(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1).joined()
	limits := placer.NewMap(folder.LimitsService, 8).NextVersion(0)
	for incarnation, address := range map[uint64]string{1: "10.0.0.1:7600", 2: "10.0.0.2:7600", 3: "10.0.0.3:7600"} {
		limits = limits.WithMember(placer.Member{BackendServer: name(incarnation), Incarnation: incarnation, Address: address, Weight: placer.FullWeight})
	}
	sc.apply(t, limits)
	sc.handle(requestQuarantined{suspect: crasher})
	sc.handle(<-sc.events)
	is.Equal(len(sc.ds.quarantine), 1)
	reports := func() (suspects, cleared int) {
		for _, sent := range sc.re.sent {
			for _, da := range sent {
				if da.GetSuspect() != 0 {
					suspects++
				}
				if da.GetCleared() != 0 {
					cleared++
				}
			}
		}
		return suspects, cleared
	}
	sc.handle(suspectReported{fingerprint: crasher.Fingerprint, run: 5})
	sc.clk.Advance(reportInterval)
	sc.sendReports(sc.clk.Now())
	suspects, _ := reports()
	is.Equal(suspects, 4) // twice to both peers
	sc.handle(suspectCleared{fingerprint: crasher.Fingerprint})
	sc.clk.Advance(timer.Second)
	sc.sendReports(sc.clk.Now())
	sc.storeQuarantine()
	_, cleared := reports()
	is.Equal(cleared, 2)
	is.Equal(len(sc.ds.quarantine), 0)

	// A peer has reported it.
	var known []uint64
	sc.clearedHandler = func(fingerprint uint64) { known = append(known, fingerprint) }
	sc.scheduleClear(7, sc.clk.Now())
	sc.onCleared(7)
	sc.clk.Advance(timer.Second)
	sc.sendReports(sc.clk.Now())
	_, cleared = reports()
	is.Equal(cleared, 2)
	is.Equal(known, []uint64{7})
}
