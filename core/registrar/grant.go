package registrar

import (
	"slices"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

const (
	// maxReply bounds a reply's rows in bytes: a server takes 4 KiB in all.
	maxReply = 3800
	// rowSize and handoverSize are a row's share of a reply at the most, in
	// bytes of JSON.
	rowSize      = 26
	handoverSize = 20
	// startBits is the part of a fencing token that tells starts of the server
	// apart under one map version.
	startBits = 10
	maxStarts = 1<<startBits - 1
)

// fence returns the token for a partition obtained at a map version. It is above
// those of all earlier versions, and of earlier starts of the server.
func (re *Registrar) fence(epoch uint64) uint64 { return epoch<<startBits | re.starts }

// Grant returns the reply to the latest heartbeat: all that the server is to
// hold. The holds end before the lease does.
func (re *Registrar) Grant(wanted []WantedPartition, leaseUntil, now timer.Instant) (Reply, []uint32) {
	span := min(re.maxHold, leaseUntil.Sub(now))
	span -= span/driftShare + deliveryMargin
	if !re.isKnown || span < minHold {
		return Reply{}, nil
	}
	holds, granted := re.rows(wanted, now)
	for _, pt := range granted {
		cu := &re.keys[pt]
		// The server counts from when it sent the heartbeat, before now.
		cu.until = max(cu.until, now.Add(span+span/driftShare))
		fence, _ := find(holds, re.ranges[pt])
		cu.epoch = max(cu.epoch, fence>>startBits)
	}
	return Reply{Holds: holds, HoldTerm: span}, granted
}

// rows lists the wanted partitions as far as a reply has room, those that the
// server holds already first.
func (re *Registrar) rows(wanted []WantedPartition, now timer.Instant) ([]Hold, []uint32) {
	wanted = slices.Clone(wanted)
	slices.SortStableFunc(wanted, func(le, ri WantedPartition) int {
		return rank(re.keys[le.Partition]) - rank(re.keys[ri.Partition])
	})
	isTight := len(wanted)*rowSize > maxReply
	var (
		holds   []Hold
		granted []uint32
	)
	size := 0
	for _, wa := range wanted {
		ho := re.row(wa, now)
		if isTight && ho.Handover == "" && extend(holds, ho) {
			granted = append(granted, wa.Partition)
			continue
		}
		size += rowSize
		if ho.Handover != "" {
			size += handoverSize
		}
		if size > maxReply {
			break
		}
		holds = append(holds, ho)
		granted = append(granted, wa.Partition)
	}
	return holds, granted
}

func rank(cu custody) int {
	if cu.isListed {
		return 0
	}
	return 1
}

// row keeps the token under which the server holds the partition already,
// unless that hold may have ended: then others may have held it since. The server
// takes no token below one that it has seen, also of a row joined to this one.
func (re *Registrar) row(wa WantedPartition, now timer.Instant) Hold {
	cu := re.keys[wa.Partition]
	ho := Hold{Range: re.ranges[wa.Partition], FencingToken: re.fence(max(wa.Epoch, cu.epoch)), Handover: cu.received}
	if cu.isListed && cu.fence != 0 && now.Before(cu.until) {
		ho.FencingToken = cu.fence
	}
	return ho
}

// extend joins a row to the last one if they adjoin. Their token is the higher
// one, which is not above that of the present map.
func extend(holds []Hold, ho Hold) bool {
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
