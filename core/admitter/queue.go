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
	// virtual is the tag of the latest request that left the queue.
	virtual float64
	// lastTags holds the tag of each flow's newest request.
	lastTags map[flow]float64
	length   int
}

// flow identifies the requests that share a place in the order.
type flow struct {
	workspace string
	route     string
}

func flowOf(rq Request) flow { return flow{workspace: rq.Workspace, route: rq.Route} }

// tagOf returns the tag that a request of the given cost would get. Cost is the
// expected time on the server, in any unit.
func (qu *fairQueue) tagOf(rq Request, cost float64) float64 {
	return max(qu.virtual, qu.lastTags[flowOf(rq)]) + cost
}

func (qu *fairQueue) push(wa queued) {
	if qu.lastTags == nil {
		qu.lastTags = map[flow]float64{}
	}
	wa.tag = qu.tagOf(wa.request, wa.cost)
	qu.lastTags[flowOf(wa.request)] = wa.tag
	qu.items = slices.Insert(qu.items, qu.position(wa.tag), wa)
	qu.length++
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

// costAhead returns the cost and the number of the requests with a tag up to the given
// one.
func (qu *fairQueue) costAhead(tag float64) (float64, int) {
	count := qu.position(tag)
	sum := 0.0
	for _, wa := range qu.items[:count] {
		sum += wa.cost
	}
	return sum, count
}

// total returns the cost and the number of all requests.
func (qu *fairQueue) total() (float64, int) {
	sum := 0.0
	for _, wa := range qu.items {
		sum += wa.cost
	}
	return sum, qu.length
}

func (qu *fairQueue) pop() (queued, bool) {
	if qu.length == 0 {
		return queued{}, false
	}
	next := qu.items[0]
	qu.virtual = next.tag
	qu.removeAt(0)
	return next, true
}

func (qu *fairQueue) removeAt(i int) {
	removed := qu.items[i]
	qu.items = slices.Delete(qu.items, i, i+1)
	qu.length--
	if qu.length == 0 {
		qu.virtual = 0
		clear(qu.lastTags)
		return
	}
	// A request that never ran must not hold back the next one of its flow.
	if of := flowOf(removed.request); qu.lastTags[of] == removed.tag {
		delete(qu.lastTags, of)
		for _, wa := range qu.items {
			if flowOf(wa.request) == of {
				qu.lastTags[of] = wa.tag
			}
		}
		qu.lastTags[of] = max(qu.lastTags[of], min(removed.tag, qu.virtual))
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

func (qu *fairQueue) remove(ticket Ticket) bool {
	i := slices.IndexFunc(qu.items, func(wa queued) bool { return wa.ticket == ticket })
	if i < 0 {
		return false
	}
	qu.removeAt(i)
	return true
}
