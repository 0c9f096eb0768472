// Package poller follows something in the platform for as long as a process
// runs: it asks again after each answer, waits ever longer after failures, and
// tells when the platform is lost and when it is back.
package poller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/storer"
)

const (
	// firstPause follows the first failure; it doubles up to longestPause.
	firstPause = 100 * time.Millisecond
	// longestPause bounds how late a change is read after the platform is back. Half
	// of two seconds, within which entries are back after an outage.
	longestPause = 1 * time.Second
	// gatherFor is how long further changes are gathered after one has come, so
	// that changes in quick succession cost few calls.
	gatherFor = 200 * time.Millisecond
)

// Poller follows one kind of objects.
type Poller struct {
	Kind string
	// Client must offer Scan and Follow.
	Client storer.Client
	// Wait is how long one call may wait for a change. A platform that has
	// dropped its history may leave a call waiting: the next one is told.
	MaxWait time.Duration
	// Turn decides when to ask; the zero value asks always.
	WatchPolicy WatchPolicy
	// Changed is told of the objects of a scan, with whole set, and of what changed after it.
	OnChange func(c storer.Changes, whole bool)
	// Seen is told of the first failure after a success, with lost set, and of the
	// first success after a failure; nil means nobody.
	OnReachabilityChange func(lost bool)
	Log                  *logger.Logger
	// Sleep waits; it returns false when ctx has ended. Tests replace it.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// Run follows until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	if p.Sleep == nil {
		p.Sleep = Sleep
	}
	f := follower{poller: p}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// Sleep waits for the time, or returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Pause returns how long to wait after so many failures in a row, at least 1.
func Backoff(failures int) time.Duration {
	pause := min(firstPause<<min(failures-1, 10), longestPause)
	return pause/2 + rand.N(pause/2)
}

// follower is the place that a Poller has reached.
type follower struct {
	poller   *Poller
	revision uint64
	// scanned tells that revision is one to follow from.
	scanned bool
	// watching tells that calls wait for a change; otherwise they ask what has changed so far.
	watching bool
	// settled tells that this node has had time to learn who the others are.
	settled  bool
	failures int
}

func (f *follower) step(ctx context.Context) {
	if f.scanned && f.failures == 0 {
		f.turn(f.poller.WatchPolicy.await(ctx, f.poller.Sleep))
	}
	changes, err := f.ask(ctx)
	if ctx.Err() != nil {
		return
	}
	var compacted *storer.CompactedError
	switch {
	case errors.As(err, &compacted):
		f.scanned = false
		return
	case err != nil:
		f.failed(ctx, err)
		return
	}
	if f.failures > 0 {
		f.poller.Log.Write(logger.PlatformRegained, logger.Fields{Reason: f.poller.Kind, Count: f.failures})
		f.seen(false)
	}
	f.failures = 0
	whole := !f.scanned
	f.scanned, f.revision = true, changes.Revision
	if whole || len(changes.Objects)+len(changes.Removed) > 0 {
		f.poller.OnChange(changes, whole)
		f.poller.Sleep(ctx, gatherFor)
	}
	if !f.settled {
		f.settled = true
		f.poller.WatchPolicy.settle(ctx, f.poller.Sleep)
	}
}

func (f *follower) ask(ctx context.Context) (storer.Changes, error) {
	if !f.scanned {
		return f.poller.Client.Scan(ctx, f.poller.Kind)
	}
	return f.poller.Client.Follow(ctx, f.poller.Kind, f.revision, f.wait())
}

func (f *follower) turn(watching bool) {
	if f.poller.WatchPolicy.State != nil && watching != f.watching {
		reason := "not watched here"
		if watching {
			reason = "watched here"
		}
		f.poller.Log.Write(logger.PlatformWatch, logger.Fields{Reason: f.poller.Kind + " " + reason})
	}
	f.watching = watching
}

func (f *follower) wait() time.Duration {
	if !f.watching {
		return 0
	}
	return f.poller.MaxWait
}

func (f *follower) failed(ctx context.Context, err error) {
	f.failures++
	if f.failures == 1 {
		f.poller.Log.Write(logger.PlatformLost, logger.Fields{Reason: f.poller.Kind, Err: err})
		f.seen(true)
	}
	f.poller.Sleep(ctx, Backoff(f.failures))
}

func (f *follower) seen(lost bool) {
	if f.poller.OnReachabilityChange != nil {
		f.poller.OnReachabilityChange(lost)
	}
}
