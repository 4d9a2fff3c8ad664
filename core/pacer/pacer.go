// Package pacer decides from a backend server's own responses how much work it gets.
//
// Comparer compares the latency of the server's runs with that of the other servers of
// its service. Share turns that into the server's share of keys, in steps that are rare
// and large enough to be worth moving keys. Pacer limits the starts on a cold server.
//
// The load that it addresses: servers of one service that differ in speed by a factor of
// two and more, and each of which is three times slower for some hundred milliseconds
// every second or two. With equal shares, the slowest server refuses requests while others
// idle. A server that has just started or turned cold takes few requests a second, and
// crashes with many more.
//
// All types are state machines without a clock or goroutines, and callers must serialize
// access to them.
//
// # Usage
//
//	cm := pacer.NewComparer()
//	cm.ObserveRun(route, latency, now)
//	cm.ObservePeer(route, incarnation, typical, now)
//	standing, ok := cm.Standing(servers, slots, now)
//	sh := pacer.NewShare()
//	eighths := sh.Update(standing, now)
//
//	pa := pacer.NewPacer(pacer.Bound{PerS: 6.6, Overshoot: 1.5, Slack: 5}, now)
//	if pa.Allows(now) { pa.Start(now) }
//	pa.Finish(latency, usual)
package pacer
