package admitter

import (
	"slices"
)

// fairQueue serves workspaces round-robin, and each one's requests in order.
type fairQueue struct {
	order  []string
	queues map[string][]queued
	length int
}

func (qu *fairQueue) push(wa queued) {
	if qu.queues == nil {
		qu.queues = map[string][]queued{}
	}
	ws := wa.request.Workspace
	if len(qu.queues[ws]) == 0 {
		qu.order = append(qu.order, ws)
	}
	qu.queues[ws] = append(qu.queues[ws], wa)
	qu.length++
}

func (qu *fairQueue) pop() (queued, bool) {
	if len(qu.order) == 0 {
		return queued{}, false
	}
	ws := qu.order[0]
	qu.order = qu.order[1:]
	next := qu.queues[ws][0]
	qu.queues[ws] = qu.queues[ws][1:]
	qu.length--
	if len(qu.queues[ws]) > 0 {
		qu.order = append(qu.order, ws)
		return next, true
	}
	delete(qu.queues, ws)
	return next, true
}

func (qu *fairQueue) lengthOf(ws string) int { return len(qu.queues[ws]) }

func (qu *fairQueue) longest() int {
	longest := 0
	for _, ws := range qu.order {
		longest = max(longest, len(qu.queues[ws]))
	}
	return longest
}

// dropLongest removes the newest request of the workspace with the most requests.
func (qu *fairQueue) dropLongest() (queued, bool) {
	longest := qu.longest()
	for _, ws := range qu.order {
		if len(qu.queues[ws]) == longest {
			dropped := qu.queues[ws][longest-1]
			qu.remove(dropped.ticket)
			return dropped, true
		}
	}
	return queued{}, false
}

func (qu *fairQueue) remove(ticket Ticket) bool {
	for ws, list := range qu.queues {
		i := slices.IndexFunc(list, func(wa queued) bool { return wa.ticket == ticket })
		if i < 0 {
			continue
		}
		qu.queues[ws] = slices.Delete(list, i, i+1)
		qu.length--
		if len(qu.queues[ws]) == 0 {
			delete(qu.queues, ws)
			qu.order = slices.DeleteFunc(qu.order, func(name string) bool { return name == ws })
		}
		return true
	}
	return false
}
