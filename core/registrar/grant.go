package registrar

import (
	"slices"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

const (
	// maxReplySize bounds a reply's rows in bytes: a server takes 4 KiB in all.
	maxReplySize = 3800
	// holdSize and handoverSize are a row's share of a reply at the most, in
	// bytes of JSON.
	holdSize     = 26
	handoverSize = 20
	// restartBits is the part of a fencing token that tells starts of the server
	// apart under one map version.
	restartBits = 10
	maxRestarts = 1<<restartBits - 1
)

// fencingToken returns the token for a partition obtained at a map version. It is above
// those of all earlier versions, and of earlier starts of the server.
func (re *Registrar) fencingToken(epoch uint64) uint64 { return epoch<<restartBits | re.restarts }

// Grant returns the reply to the latest heartbeat: all that the server is to
// hold. The holds end before the lease does.
func (re *Registrar) Grant(wanted []WantedPartition, leaseUntil, now timer.Instant) (Reply, []uint32) {
	span := min(re.maxHold, leaseUntil.Sub(now))
	span -= span/driftShare + deliveryMargin
	if !re.isKnown || span < minHold {
		return Reply{}, nil
	}
	holds, granted := re.selectHolds(wanted, now)
	for _, pt := range granted {
		ps := &re.partitions[pt]
		// The server counts from when it sent the heartbeat, before now.
		ps.heldUntil = max(ps.heldUntil, now.Add(span+span/driftShare))
		fence, _ := highestToken(holds, re.ranges[pt])
		ps.epoch = max(ps.epoch, fence>>restartBits)
	}
	return Reply{Holds: holds, HoldTerm: span}, granted
}

// selectHolds lists the wanted partitions as far as a reply has room, those that the
// server holds already first.
func (re *Registrar) selectHolds(wanted []WantedPartition, now timer.Instant) ([]Hold, []uint32) {
	wanted = slices.Clone(wanted)
	slices.SortStableFunc(wanted, func(le, ri WantedPartition) int {
		return grantOrder(re.partitions[le.Partition]) - grantOrder(re.partitions[ri.Partition])
	})
	mergesHolds := len(wanted)*holdSize > maxReplySize
	var (
		holds   []Hold
		granted []uint32
	)
	size := 0
	for _, wa := range wanted {
		ho := re.holdFor(wa, now)
		if mergesHolds && ho.Handover == "" && mergeAdjacent(holds, ho) {
			granted = append(granted, wa.Partition)
			continue
		}
		size += holdSize
		if ho.Handover != "" {
			size += handoverSize
		}
		if size > maxReplySize {
			break
		}
		holds = append(holds, ho)
		granted = append(granted, wa.Partition)
	}
	return holds, granted
}

func grantOrder(ps partitionState) int {
	if ps.isListed {
		return 0
	}
	return 1
}

// holdFor keeps the token under which the server holds the partition already,
// unless that hold may have ended: then others may have held it since. The server
// takes no token below one that it has seen, also of a holdFor joined to this one.
func (re *Registrar) holdFor(wa WantedPartition, now timer.Instant) Hold {
	ps := re.partitions[wa.Partition]
	ho := Hold{Range: re.ranges[wa.Partition], FencingToken: re.fencingToken(max(wa.Epoch, ps.epoch)), Handover: ps.receivedHandover}
	if ps.isListed && ps.token != 0 && now.Before(ps.heldUntil) {
		ho.FencingToken = ps.token
	}
	return ho
}

// mergeAdjacent joins a row to the last one if they adjoin. Their token is the higher
// one, which is not above that of the present map.
func mergeAdjacent(holds []Hold, ho Hold) bool {
	if len(holds) == 0 {
		return false
	}
	last := &holds[len(holds)-1]
	if last.Handover != "" || last.Range.To+1 != ho.Range.From {
		return false
	}
	last.Range = placer.Range{From: last.Range.From, To: ho.Range.To}
	last.FencingToken = max(last.FencingToken, ho.FencingToken)
	return true
}
