// Package signaler receives SIGHUP from the first moment of a process.
//
// The default action of SIGHUP ends a process. A command that reloads its settings on
// SIGHUP would be ended by one that arrives while the packages it imports are still
// being initialized, which takes several milliseconds. Go initializes packages in the
// order of their import paths as far as dependencies allow, so this package, which
// imports little, is initialized before the libraries.
//
// # Usage
//
//	func main() {
//		if !reloads(os.Args) {
//			signaler.Release()
//		}
//	}
//
//	reload := signaler.Hangups()
package signaler

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups has room for one signal: several that arrive before a reload need only one.
var hangups = make(chan os.Signal, 1)

func init() { signal.Notify(hangups, syscall.SIGHUP) }

// Hangups returns the channel of the SIGHUPs received since the process started.
// Signals that arrive while one is waiting there are dropped.
func Hangups() <-chan os.Signal { return hangups }

// Release restores the default action of SIGHUP. A SIGHUP received before has no
// effect.
func Release() { signal.Stop(hangups) }
