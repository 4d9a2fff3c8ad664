package router

import (
	"runtime/debug"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/reserver"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/wire/parser"
)

const (
	// Of the instance's memory, heldPercent is for what lives, heapPercent bounds the heap
	// with its garbage, and the rest is for the program's text and the collector's lag.
	heldPercent = 60
	heapPercent = 70
	// baseBytes is what an instance without clients holds on its heap and stacks.
	baseBytes = 16 << 20
	// minHeldShare is the divisor of the memory that clients may hold in any case.
	minHeldShare = 8
	// fileDescriptors are kept for files, listeners, heartbeats and the store.
	fileDescriptors = 200
	// Of the other descriptors callers' connections get a half, and those from peers and
	// those to peers and the backend server a quarter each.
	callerShare = 2
	peerShare   = 4
)

// newAccountant returns the account of what clients hold, and limits the heap, or returns nil
// if the settings have no limits.
func newAccountant(ro *Router) *accountant.Accountant {
	limits := ro.se.Limits
	if limits.Memory <= 0 && limits.Descriptors <= 0 {
		return nil
	}
	ac := accountant.New(newMonotonicClock(), capacity(limits), ro.connectionLimits, ro.lo)
	if limits.Memory > 0 {
		debug.SetMemoryLimit(limits.Memory * heapPercent / 100)
		ac.Measure(newMeasurer(limits.Memory))
	}
	return ac
}

// monotonicClock is read several times for each request. Unlike the boot clock it needs no
// system call; it stands still while the VM is suspended, when clients make no progress either.
type monotonicClock struct {
	start time.Time
}

func newMonotonicClock() monotonicClock { return monotonicClock{start: time.Now()} }

// Now implements timer.Clock.
func (mc monotonicClock) Now() timer.Instant {
	return timer.Instant(0).Add(timer.FromDuration(time.Since(mc.start)))
}

func newMeasurer(memory int64) *reserver.Measurer {
	return reserver.NewMeasurer(memory*heldPercent/100, baseBytes, memory/minHeldShare)
}

// capacity returns what clients may hold.
func capacity(limits parser.ResourceLimits) reserver.Capacity {
	ca := reserver.Capacity{}
	if limits.Memory > 0 {
		ca.Bytes = newMeasurer(limits.Memory).Bytes()
	}
	if limits.Descriptors > 0 {
		left := max(limits.Descriptors-fileDescriptors, limits.Descriptors/minHeldShare)
		ca.Connections, ca.PeerConnections = max(1, left/callerShare), max(1, left/peerShare)
	}
	return ca
}

// connectionLimits returns the limits of heads and idle connections in force.
func (ro *Router) connectionLimits(kind reserver.Kind) accountant.Limits {
	li := accountant.Limits{
		HeadBytes: maxHeaderBytes, HeadTimeout: timer.FromDuration(headerTimeout), IdleTimeout: timer.FromDuration(idleTimeout),
	}
	if kind == reserver.Peer {
		li.HeadBytes = maxPeerHeader
		return li
	}
	in := ro.current.Load()
	if in == nil {
		return li
	}
	return withConfigured(li, in.pu.View().Config.Callers)
}

// withConfigured replaces limits by those that are configured.
func withConfigured(li accountant.Limits, callers cataloguer.CallerLimits) accountant.Limits {
	if callers.MaxHead > 0 {
		li.HeadBytes = callers.MaxHead
	}
	if callers.HeadTimeout > 0 {
		li.HeadTimeout = callers.HeadTimeout
	}
	if callers.IdleTimeout > 0 {
		li.IdleTimeout = callers.IdleTimeout
	}
	return li
}

func (ro *Router) registerAccountGauges() {
	ro.meter.Gauge("held_bytes", "Memory charged to clients' connections, in bytes.", func() float64 {
		bytes, _ := ro.ac.Held()
		return float64(bytes)
	})
	ro.meter.Gauge("held_connections", "Connections of callers and other instances.", func() float64 {
		_, connections := ro.ac.Held()
		return float64(connections)
	})
	ro.meter.Gauge("dropped_connections", "Connections closed so far for memory, descriptors or lack of progress.", func() float64 {
		dropped, _ := ro.ac.Counts()
		return float64(dropped)
	})
	ro.meter.Gauge("refused_holds", "Connections and bytes refused so far for lack of memory or descriptors.", func() float64 {
		_, refused := ro.ac.Counts()
		return float64(refused)
	})
}
