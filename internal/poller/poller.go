// Package poller follows the objects of one kind in the platform for as long as
// a process runs. It polls again after each answer, backs off after failures,
// and reports when the platform becomes unreachable and reachable again. It reads
// all objects again when the platform no longer has the history since the last
// poll, or was restored from a copy and now has another history.
package poller

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/storer"
)

const (
	// backoffBase is the wait after the first failure; it doubles up to maxBackoff.
	backoffBase = 100 * time.Millisecond
	// maxBackoff bounds how late a change is read after the platform is back. It is
	// half of the two seconds within which entries must be back after an outage.
	maxBackoff = 1 * time.Second
	// defaultBatchDelay is the wait after a change before the next poll, so that
	// changes in quick succession are fetched with few calls.
	defaultBatchDelay = 200 * time.Millisecond
)

// Poller follows the objects of one kind.
type Poller struct {
	Kind string
	// Client must provide Scan and Follow.
	Client storer.Client
	// MaxWait bounds how long one call waits for a change. A call may miss that the
	// platform has compacted its history and wait in vain; the next call returns
	// the error.
	MaxWait time.Duration
	// BatchDelay is the wait after a change before the next poll. It defaults to 200 ms.
	BatchDelay time.Duration
	// WatchPolicy decides when to poll; with the zero value the node always watches.
	WatchPolicy WatchPolicy
	// OnChange is called with the objects of a full scan, with isFullScan set, and
	// with each change after it.
	OnChange func(c storer.Changes, isFullScan bool)
	// OnScan, if not nil, is called with the era of the platform after each full scan,
	// before OnChange.
	OnScan func(era uint64)
	// OnAnswer, if not nil, is called after each answer, once OnChange has returned, with
	// the position up to which all changes have been reported.
	OnAnswer func(revision, era uint64)
	// OnReachabilityChange, if not nil, is called on the first failure after a
	// success, with lost set, and on the first success after a failure.
	OnReachabilityChange func(lost bool)
	Log                  *logger.Logger
	// Sleep waits and returns false if ctx ended first. It defaults to the function
	// Sleep; tests replace it.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// Run follows the objects until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	if p.Sleep == nil {
		p.Sleep = Sleep
	}
	f := follower{poller: p}
	for ctx.Err() == nil {
		f.pollOnce(ctx)
	}
}

// Sleep waits for d. It returns false if ctx ends first.
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

// Backoff returns how long to wait after a number of consecutive failures, which must be at least 1.
func Backoff(failures int) time.Duration {
	backoff := min(backoffBase<<min(failures-1, 10), maxBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// follower is the state of a running Poller.
type follower struct {
	poller   *Poller
	revision uint64
	// hasScanned is true while revision is valid to follow from.
	hasScanned bool
	// scans counts the full scans.
	scans int
	// era that revision belongs to; 0 before the first scan.
	era uint64
	// isWatching is true if calls wait for a change; otherwise they return the
	// changes so far at once.
	isWatching bool
	// hasSettled is true once this node has had time to discover the other nodes.
	hasSettled bool
	failures   int
}

func (f *follower) pollOnce(ctx context.Context) {
	switch {
	case !f.hasScanned:
	case f.failures == 0:
		isWatcher, tookOver := f.poller.WatchPolicy.awaitPoll(ctx, f.poller.Sleep)
		f.setWatching(isWatcher)
		if tookOver {
			f.poller.Log.Write(logger.PlatformWatch, logger.Fields{Reason: f.poller.Kind + " read once, since no other node has read it"})
		}
	case f.poller.WatchPolicy.awaitRetry(ctx, f.poller.Sleep):
		f.endFailures()
		return
	}
	changes, err := f.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	var compacted *storer.CompactedError
	switch {
	case errors.As(err, &compacted):
		f.hasScanned = false
		return
	case err != nil:
		f.recordFailure(ctx, err)
		return
	}
	f.endFailures()
	f.logHistory(changes)
	if f.hasScanned && changes.Era != 0 && changes.Era != f.era {
		// The answer starts from a revision of another history and may lack changes.
		f.hasScanned = false
		return
	}
	f.era = changes.Era
	isFullScan := !f.hasScanned
	f.hasScanned, f.revision = true, changes.Revision
	if isFullScan && f.poller.OnScan != nil {
		f.poller.OnScan(changes.Era)
	}
	hasChanges := isFullScan || len(changes.Objects)+len(changes.Removed) > 0
	if hasChanges {
		f.poller.OnChange(changes, isFullScan)
	}
	if f.poller.OnAnswer != nil {
		f.poller.OnAnswer(f.revision, f.era)
	}
	if hasChanges {
		f.poller.Sleep(ctx, cmp.Or(f.poller.BatchDelay, defaultBatchDelay))
	}
	if !f.hasSettled {
		f.hasSettled = true
		f.poller.WatchPolicy.awaitMembers(ctx, f.poller.Sleep)
	}
}

// endFailures reports that the platform is reached again, by this node or another one of
// its data centre.
func (f *follower) endFailures() {
	if f.failures == 0 {
		return
	}
	f.poller.Log.Write(logger.PlatformRegained, logger.Fields{Reason: f.poller.Kind, Count: f.failures})
	f.failures = 0
	f.reportReachability(false)
}

// logHistory logs a full scan after the first, and that it read another history than
// the one before.
func (f *follower) logHistory(c storer.Changes) {
	if f.hasScanned {
		return
	}
	if f.era != 0 && c.Era != f.era {
		f.poller.Log.Write(logger.PlatformRestored, logger.Fields{Reason: f.poller.Kind, Count: int(c.Era)})
	}
	if f.scans > 0 {
		f.poller.Log.Write(logger.PlatformScanned, logger.Fields{Reason: f.poller.Kind, Count: len(c.Objects)})
	}
	f.scans++
}

func (f *follower) fetch(ctx context.Context) (storer.Changes, error) {
	if !f.hasScanned {
		return f.poller.Client.Scan(ctx, f.poller.Kind)
	}
	if r := f.poller.WatchPolicy.reading(); r.Era == f.era {
		f.revision = max(f.revision, r.Revision)
	}
	return f.poller.Client.Follow(ctx, f.poller.Kind, f.revision, f.maxWait())
}

func (f *follower) setWatching(watching bool) {
	if f.poller.WatchPolicy.State != nil && watching != f.isWatching {
		reason := "not watched here"
		if watching {
			reason = "watched here"
		}
		f.poller.Log.Write(logger.PlatformWatch, logger.Fields{Reason: f.poller.Kind + " " + reason})
	}
	f.isWatching = watching
}

func (f *follower) maxWait() time.Duration {
	if !f.isWatching {
		return 0
	}
	return f.poller.MaxWait
}

func (f *follower) recordFailure(ctx context.Context, err error) {
	f.failures++
	if f.failures == 1 {
		f.poller.Log.Write(logger.PlatformLost, logger.Fields{Reason: f.poller.Kind, Err: err})
		f.reportReachability(true)
	}
	f.poller.Sleep(ctx, Backoff(f.failures))
}

func (f *follower) reportReachability(lost bool) {
	if f.poller.OnReachabilityChange != nil {
		f.poller.OnReachabilityChange(lost)
	}
}
