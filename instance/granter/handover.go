package granter

import (
	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// handed is a bucket as the former home handed it over, until its first use.
type handed struct {
	epoch uint64
	state limiter.State
}

// Export returns the buckets of a partition that this instance no longer
// serves. The same answer comes again if the first was lost.
func (gr *Granter) Export(pt uint32) []*peerproto.Bucket {
	vi := gr.pu.View()
	tb := vi.Tables[folder.LimitsService]
	gr.mu.Lock()
	defer gr.mu.Unlock()
	te, wasObtained := gr.tenures[pt]
	if tb == nil || !wasObtained {
		return nil
	}
	now := gr.pu.Now()
	var buckets []*peerproto.Bucket
	for _, ws := range vi.WorkspacesByName {
		if tb.Partition(ws.Name) != pt {
			continue
		}
		if ho := gr.homeOf(ws, te, now); ho != nil {
			buckets = append(buckets, toBucket(ws.Name, pt, te.epoch, ho.Export(now)))
		}
	}
	return buckets
}

// Import takes a partition that is about to be obtained at the epoch, with the
// buckets handed over. IsFirst says that it never had an owner before, and
// losses how many owners were lost within the term of a grant. Nobody has granted
// anything of the other buckets after since.
func (gr *Granter) Import(pt uint32, epoch uint64, buckets []*peerproto.Bucket, isFirst bool, losses int, since timer.Instant) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.tenures[pt] = tenure{epoch: epoch, since: since, isFirst: isFirst, losses: losses}
	for _, bu := range buckets {
		gr.handed[bu.GetWorkspace()] = handed{epoch: epoch, state: toState(bu)}
	}
}

func toBucket(workspace string, pt uint32, epoch uint64, st limiter.State) *peerproto.Bucket {
	bu := &peerproto.Bucket{
		Workspace: workspace, Partition: pt, Epoch: epoch, Level: st.Level,
		Assumed: st.Assumed, AssumedFor: int64(st.AssumedFor),
	}
	for _, lo := range st.Lots {
		bu.Lots = append(bu.Lots, &peerproto.Lot{
			Entry: lo.Entry, Sequence: lo.Sequence, Tokens: lo.Tokens, Remaining: int64(lo.Remaining), Immediate: lo.IsImmediate,
		})
	}
	for entry, sequence := range st.Sequences {
		bu.Sequences = append(bu.Sequences, &peerproto.EntrySequence{Entry: entry, Sequence: sequence})
	}
	return bu
}

func toState(bu *peerproto.Bucket) limiter.State {
	st := limiter.State{
		Level: bu.GetLevel(), Assumed: bu.GetAssumed(), AssumedFor: timer.Span(bu.GetAssumedFor()),
		Sequences: map[uint64]uint64{},
	}
	for _, lo := range bu.GetLots() {
		st.Lots = append(st.Lots, limiter.Lot{
			Entry: lo.GetEntry(), Sequence: lo.GetSequence(), Tokens: lo.GetTokens(), Remaining: timer.Span(lo.GetRemaining()), IsImmediate: lo.GetImmediate(),
		})
	}
	for _, es := range bu.GetSequences() {
		st.Sequences[es.GetEntry()] = es.GetSequence()
	}
	return st
}
