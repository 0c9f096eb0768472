package follower

import (
	"maps"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

const (
	// minWatchInterval is the minimum time between two watches, so that versions in
	// quick succession are distributed as one.
	minWatchInterval = 1 * time.Second
	headReadInterval = 500 * time.Millisecond
	statusInterval   = 5 * time.Second
	statusValidity   = 20 * time.Second
	// statusSlot is the slot whose holder writes the status object. The epochs of
	// its lease order the writers.
	statusSlot         = 0
	minPlatformBackoff = 1 * time.Second
	maxPlatformBackoff = 10 * time.Second
	// orphanDelay is how long a node is without a parent before it reads the head
	// itself.
	orphanDelay = 8 * time.Second
	// loadDeferral, multiplied by the slot, is how long a relay leaves a load of
	// more than maxUndeferredShards shards to the relay of the first slot.
	loadDeferral        = 2 * time.Second
	maxUndeferredShards = 4
	// maxPendingQuestions bounds the requests that a relay queues. Nodes repeat
	// requests that are not answered.
	maxPendingQuestions = 4096
)

// isRelay reports whether this node is a relay, which watches the platform.
func (st *step) isRelay() bool { return st.s.Lease.Slot >= 0 }

func (st *step) tickSource() {
	src := &st.s.Config.Source
	if !st.isRelay() {
		src.PendingQuestions = nil
		st.tickOrphan()
		return
	}
	if !src.Watching && !st.now.Before(src.WatchAt) {
		src.Watching = true
		st.addEffect(WatchHead{After: src.Revision})
	}
	if len(src.PendingQuestions) > 0 || st.s.Config.Recovering {
		st.readHead()
	}
	if !st.now.Before(src.StatusAt) && st.s.Lease.Slot == statusSlot {
		src.StatusAt = st.now.Add(statusInterval)
		st.addEffect(WriteStatus{Status: st.dataCentreStatus()})
	}
}

// tickOrphan reads the head if this node has had no parent for orphanDelay: it
// may be cut off from the relays but not from the platform. To bound the calls
// to the platform, only the first nodes in the member order, among those that
// this node sees, do so.
func (st *step) tickOrphan() {
	src := &st.s.Config.Source
	if st.s.Config.Tree.Joined || src.OrphanAt.IsZero() {
		src.Orphaned = false
		src.OrphanAt = st.now.Add(orphanDelay)
		return
	}
	if st.now.Before(src.OrphanAt) {
		return
	}
	factor := ranker.IntervalFactor(st.s.Members.ByHost)
	hasWaited := src.Orphaned || factor == 1
	src.Orphaned = true
	src.OrphanAt = st.now.Add(orphanDelay*factor + ranker.Jitter(st.s.Self.Host, st.now, 14, orphanDelay*(factor-1)))
	if hasWaited && ranker.Position(st.s.Members.ByHost, st.s.Self.Host) < 2*st.f.RelaySlots {
		st.readHead()
	}
}

// dataCentreStatus counts the nodes of the data centre by the version that they
// run.
func (st *step) dataCentreStatus() ticketer.DataCentreStatus {
	status := ticketer.DataCentreStatus{
		DataCentre: st.s.Self.DataCentre, Epoch: st.s.Lease.Epoch,
		CountedAt: st.now, ExpiresAt: st.now.Add(statusValidity),
	}
	for _, m := range st.s.Members.ByHost {
		if m.Status != blackboard.MemberLeft {
			status.Nodes++
		}
	}
	counts := countVersions(&st.s)
	for _, v := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		if v > 0 {
			status.Versions = append(status.Versions, ticketer.VersionCount{Version: v, Nodes: counts[v]})
		}
	}
	return status
}

// readHead starts a read of the head unless one is in progress or the last one
// was less than headReadInterval ago.
func (st *step) readHead() {
	src := &st.s.Config.Source
	if src.ReadingHead || st.now.Before(src.ReadHeadAt) {
		return
	}
	src.ReadingHead = true
	st.addEffect(ReadHead{})
}

func (st *step) handleHeadWatched(m HeadWatched) {
	src := &st.s.Config.Source
	src.Watching = false
	if m.Err != nil {
		st.backOffPlatform()
		return
	}
	src.Failures = 0
	src.WatchAt = m.Now.Add(minWatchInterval)
	if st.shouldDeferLoad(m.Head) {
		src.DeferredVersion = m.Head.Version
		src.WatchAt = m.Now.Add(time.Duration(st.s.Lease.Slot) * loadDeferral)
		return
	}
	src.Revision = max(src.Revision, m.Head.Revision)
	st.startLoad(m.Head)
}

// shouldDeferLoad reports whether to leave a load of many shards, or any load
// during the recovery, to the relay of the first slot, which passes the version
// on. A version that does not arrive that way is loaded when it is next seen.
func (st *step) shouldDeferLoad(head Head) bool {
	if head.Version <= st.s.Config.Source.DeferredVersion || st.s.Lease.Slot <= 0 {
		return false
	}
	return st.s.Config.Recovering || countDifferingShards(head, st.newestSnapshot()) > maxUndeferredShards
}

func countDifferingShards(head Head, have *snapshotter.Snapshot) int {
	if have == nil {
		return len(head.Shards)
	}
	n := 0
	haveDigests := snapshotter.ShardDigests(have)
	for i, d := range head.Shards {
		if i >= len(haveDigests) || haveDigests[i] != d {
			n++
		}
	}
	return n
}

func (st *step) startLoad(head Head) {
	src := &st.s.Config.Source
	if head.Version > versionOf(st.newestSnapshot()) && head.Version > src.LoadingVersion {
		src.LoadingVersion = head.Version
		st.addEffect(LoadHead{Head: head, Have: st.newestSnapshot()})
	}
}

// backOffPlatform delays the next watch. That watch starts without a known
// revision, so that a version whose load failed is seen again.
func (st *step) backOffPlatform() {
	src := &st.s.Config.Source
	if src.Failures == 0 {
		st.addEffect(WriteLog{Event: logger.PlatformSilent})
	}
	src.Failures++
	src.LoadingVersion = 0
	src.Revision = 0
	src.WatchAt = st.now.Add(ranker.Backoff(st.s.Self.Host, st.now, src.Failures, minPlatformBackoff, maxPlatformBackoff))
}

func (st *step) handleHeadRead(m HeadRead) {
	c := &st.s.Config
	src := &c.Source
	src.ReadingHead = false
	src.ReadHeadAt = m.Now.Add(headReadInterval + ranker.Jitter(st.s.Self.Host, m.Now, 12, headReadInterval))
	if m.Err != nil {
		src.Failures++
		src.ReadHeadAt = m.Now.Add(ranker.Backoff(st.s.Self.Host, m.Now, src.Failures, minPlatformBackoff, maxPlatformBackoff))
		return
	}
	src.Failures = 0
	var pending []blackboard.HeadQuestion
	for _, q := range src.PendingQuestions {
		if m.StartedAt.Before(q.Received) {
			pending = append(pending, q)
			continue
		}
		st.send(q.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_HeadAnswer{
			HeadAnswer: &wirepb.HeadAnswer{Question: q.Question, Version: m.Head.Version},
		}})
	}
	src.PendingQuestions = pending
	if !m.StartedAt.Before(c.Recovery.StartedAt) {
		st.endRecovery(m.Head.Version, "own read")
	}
	if st.s.Lease.Slot == 0 || !st.isRelay() && !c.Tree.Joined {
		st.startLoad(m.Head)
	}
}
