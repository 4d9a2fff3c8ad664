package admitter

import (
	"slices"
)

// fairQueue is a self-clocked fair queue. Each flow, the requests of one workspace on
// one route, gets the same share of the server's time, so that short requests are not
// held up by long ones. (Golestani, "A self-clocked fair queueing scheme for broadband
// applications", INFOCOM 1994.)
type fairQueue struct {
	// items are in order of their tags.
	items []queued
	// virtual is the tag of the latest request that left the queue for its turn, 0 if
	// the queue is empty.
	virtual float64
}

// flow identifies the requests that share a place in the order.
type flow struct {
	workspace string
	route     string
}

func flowOf(rq Request) flow { return flow{workspace: rq.Workspace, route: rq.Route} }

// tagOf returns the tag that a request of the given cost would get, behind the queued
// requests of its flow. Cost is the expected time on the server, in any unit.
func (qu *fairQueue) tagOf(rq Request, cost float64) float64 {
	before, of := qu.virtual, flowOf(rq)
	if rq.isReturn {
		return before // before all new ones, behind earlier returns
	}
	for i := len(qu.items) - 1; i >= 0; i-- {
		if flowOf(qu.items[i].request) == of {
			before = qu.items[i].tag // not below virtual, which left before it
			break
		}
	}
	return before + cost
}

func (qu *fairQueue) push(wa queued) {
	wa.tag = qu.tagOf(wa.request, wa.cost)
	qu.items = slices.Insert(qu.items, qu.position(wa.tag), wa)
}

// position returns the index at which a request with the tag is inserted, behind those
// with the same tag.
func (qu *fairQueue) position(tag float64) int {
	i, _ := slices.BinarySearchFunc(qu.items, tag, func(wa queued, tag float64) int {
		if wa.tag <= tag {
			return -1
		}
		return 1
	})
	return i
}

// costOf returns the cost of the first requests, as many as count says.
func (qu *fairQueue) costOf(count int) float64 {
	sum := 0.0
	for _, wa := range qu.items[:count] {
		sum += wa.cost
	}
	return sum
}

func (qu *fairQueue) pop() (queued, bool) {
	if len(qu.items) == 0 {
		return queued{}, false
	}
	next := qu.items[0]
	qu.virtual = next.tag
	qu.removeAt(0)
	return next, true
}

func (qu *fairQueue) removeAt(i int) {
	qu.items = slices.Delete(qu.items, i, i+1)
	if len(qu.items) == 0 {
		qu.virtual = 0
	}
}

func (qu *fairQueue) lengthOf(ws string) int {
	count := 0
	for _, wa := range qu.items {
		if wa.request.Workspace == ws {
			count++
		}
	}
	return count
}

// longestWorkspace returns the workspace with the most requests and their number.
func (qu *fairQueue) longestWorkspace() (string, int) {
	counts := map[string]int{}
	name, longest := "", 0
	for _, wa := range qu.items {
		counts[wa.request.Workspace]++
		if counts[wa.request.Workspace] > longest {
			name, longest = wa.request.Workspace, counts[wa.request.Workspace]
		}
	}
	return name, longest
}

// dropLongest removes the newest request of the workspace with the most requests.
func (qu *fairQueue) dropLongest() (queued, bool) {
	ws, longest := qu.longestWorkspace()
	if longest == 0 {
		return queued{}, false
	}
	newest := -1
	for i, wa := range qu.items {
		if wa.request.Workspace == ws && (newest < 0 || wa.ticket > qu.items[newest].ticket) {
			newest = i
		}
	}
	dropped := qu.items[newest]
	qu.removeAt(newest)
	return dropped, true
}

// dropNewest removes the newest request that is no return.
func (qu *fairQueue) dropNewest() (queued, bool) {
	newest := -1
	for i, wa := range qu.items {
		if !wa.request.isReturn && (newest < 0 || wa.ticket > qu.items[newest].ticket) {
			newest = i
		}
	}
	if newest < 0 {
		return queued{}, false
	}
	dropped := qu.items[newest]
	qu.removeAt(newest)
	return dropped, true
}

func (qu *fairQueue) remove(ticket Ticket) bool {
	i := slices.IndexFunc(qu.items, func(wa queued) bool { return wa.ticket == ticket })
	if i < 0 {
		return false
	}
	qu.removeAt(i)
	return true
}
