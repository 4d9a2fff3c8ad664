package registrar

import (
	"slices"
	"strconv"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

const (
	// maxReplySize bounds the JSON of a reply's holds, in bytes. Backend servers
	// accept replies of up to 4 KiB in total.
	maxReplySize = 3800
	// maxRangeBytes bounds the JSON of one hold without its fencing token and its hand-over
	// string, and maxHandoverBytes that of the latter, in bytes.
	maxRangeBytes    = 18
	maxHandoverBytes = 20
	// restartBits is the number of low bits of a fencing token that hold the
	// server's restart count. The bits above them hold the map version.
	restartBits = 10
	maxRestarts = 1<<restartBits - 1
)

// fencingToken returns the token for a partition obtained at map version epoch. It is
// higher than the tokens of earlier versions and, for the first 1023 restarts, than
// those of the same version before the server's latest restart.
func (re *Registrar) fencingToken(epoch uint64) uint64 { return epoch<<restartBits | re.restarts }

// Grant returns the reply to the latest heartbeat, with the ranges of the wanted
// partitions, and the partitions it covers. Partitions that do not fit into the reply
// are left out. The holds end before the instance's
// lease at leaseUntil, even if the server's clock runs slow. The reply is empty if
// no heartbeat has arrived or the lease ends too soon for a useful hold.
func (re *Registrar) Grant(wanted []WantedPartition, leaseUntil, now timer.Instant) (Reply, []uint32) {
	span := min(re.maxHold, leaseUntil.Sub(now))
	span -= span/driftShare + deliveryMargin
	if !re.isKnown || span < minHold {
		return Reply{}, nil
	}
	holds, granted := re.selectHolds(wanted, now)
	re.recordFirstEpoch(wanted)
	for _, pt := range granted {
		ps := &re.partitions[pt]
		ps.isGranted = true
		// The server's hold starts when it sent the heartbeat, which was before now.
		ps.heldUntil = max(ps.heldUntil, now.Add(span+span/driftShare))
		token, _ := highestToken(holds, re.ranges[pt])
		ps.epoch = max(ps.epoch, token>>restartBits)
	}
	return Reply{Holds: holds, HoldTerm: span}, granted
}

// recordFirstEpoch updates firstEpoch with the epochs of partitions that are granted.
func (re *Registrar) recordFirstEpoch(wanted []WantedPartition) {
	for _, wa := range wanted {
		if re.firstEpoch == 0 || wa.Epoch < re.firstEpoch {
			re.firstEpoch = wa.Epoch
		}
	}
}

// selectHolds returns holds for the wanted partitions, as many as fit into a reply,
// and the partitions they cover. Partitions that the server already holds go first. If
// one hold for each partition would exceed the reply, adjacent ranges are merged.
func (re *Registrar) selectHolds(wanted []WantedPartition, now timer.Instant) ([]Hold, []uint32) {
	wanted = slices.Clone(wanted)
	slices.SortStableFunc(wanted, func(le, ri WantedPartition) int {
		return grantOrder(re.partitions[le.Partition]) - grantOrder(re.partitions[ri.Partition])
	})
	all, size := make([]Hold, len(wanted)), 0
	for i, wa := range wanted {
		all[i] = re.holdFor(wa, now)
		size += holdBytes(all[i])
	}
	mergesHolds := size > maxReplySize
	var (
		holds   []Hold
		granted []uint32
	)
	size = 0
	for i, wa := range wanted {
		ho := all[i]
		if mergesHolds && ho.Handover == "" && mergeAdjacent(holds, ho) {
			granted = append(granted, wa.Partition)
			continue
		}
		if size += holdBytes(ho); size > maxReplySize {
			break
		}
		holds = append(holds, ho)
		granted = append(granted, wa.Partition)
	}
	return holds, granted
}

// holdBytes bounds the JSON of a hold in a reply, in bytes.
func holdBytes(ho Hold) int {
	size := maxRangeBytes + len(strconv.FormatUint(ho.FencingToken, 10))
	if ho.Handover != "" {
		size += maxHandoverBytes
	}
	return size
}

// grantOrder is the sort key of partitions in a reply.
func grantOrder(ps partitionState) int {
	if ps.isListed {
		return 0
	}
	return 1
}

// holdFor returns the hold for a wanted partition. It keeps the token under which
// the server already holds it. If that hold may have ended, another server may have
// held the partition since, so a new token is needed. The server rejects tokens
// below one it has seen for the range, which may be that of a neighbour that was
// merged with this hold.
func (re *Registrar) holdFor(wa WantedPartition, now timer.Instant) Hold {
	ps := re.partitions[wa.Partition]
	ho := Hold{Range: re.ranges[wa.Partition], FencingToken: re.fencingToken(max(wa.Epoch, ps.epoch)), Handover: ps.receivedHandover}
	if ps.isListed && ps.token != 0 && now.Before(ps.heldUntil) {
		ho.FencingToken = ps.token
	}
	return ho
}

// mergeAdjacent extends the last hold by ho if their ranges are adjacent, and reports
// whether it did. The merged hold has the higher token of the two, which is not above
// that of the current map version.
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
