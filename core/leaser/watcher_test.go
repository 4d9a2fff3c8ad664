package leaser

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

func TestDismiss(t *testing.T) {
	is := is.New(t)
	wa, err := NewWatcher(WatcherIncarnation(1), WatcherTerm(timer.Second))
	is.NoErr(err)
	wa.Renew(Renewal{Holder: 7}, 0)
	wa.Dismiss(7)
	is.True(!wa.Revoke(7, timer.Instant(500*timer.Millisecond)).Revoked) // the promise stays: the dismissal may be late
	is.Equal(len(wa.ExpiredHolders(timer.Instant(2*timer.Second))), 0)   // nobody to take over
	wa.Renew(Renewal{Holder: 7}, timer.Instant(3*timer.Second))          // named again
	is.Equal(wa.ExpiredHolders(timer.Instant(5*timer.Second)), []uint64{7})
	wa.Renew(Renewal{Holder: 8}, 0)
	wa.Revoke(8, timer.Instant(2*timer.Second))
	wa.Dismiss(8)
	is.True(wa.Renew(Renewal{Holder: 8}, timer.Instant(3*timer.Second)).Revoked) // a revocation stays for good
}

func TestVoteForFormer(t *testing.T) {
	is := is.New(t)
	wa, err := NewWatcher(WatcherIncarnation(2), WatcherTerm(timer.Second), WatcherStart(timer.Instant(5*timer.Second)))
	is.NoErr(err)
	early := wa.RevokeForPredecessor(7, timer.Instant(5500*timer.Millisecond))
	is.True(!early.Revoked)
	is.Equal(early.RetryAt, timer.Instant(6*timer.Second))
	is.True(wa.RevokeForPredecessor(7, early.RetryAt).Revoked)
}
