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
	// gatherUpdates is the least time between two watches, so that a burst of
	// versions is passed on as one.
	gatherUpdates = 1 * time.Second
	readHeadEvery = 500 * time.Millisecond
	statusEvery   = 5 * time.Second
	statusLapses  = 20 * time.Second
	// statusSlot is the slot whose holder writes the status: its epochs order the writers.
	statusSlot       = 0
	sourceRetryFirst = 1 * time.Second
	sourceRetryMost  = 10 * time.Second
	// orphanAfter is how long a node is without a parent before it reads the head itself.
	orphanAfter = 8 * time.Second
	// deferLoad, times the slot, is how long a relay leaves a large load to the
	// relay of the first slot. A load is large above shardsAtOnce.
	deferLoad    = 2 * time.Second
	shardsAtOnce = 4
	// questionsWaiting bounds the questions that a relay keeps; askers repeat theirs.
	questionsWaiting = 4096
)

// isSource tells whether this node watches the platform.
func (st *step) isSource() bool { return st.s.Lease.Slot >= 0 }

func (st *step) tickSource() {
	src := &st.s.Config.Source
	if !st.isSource() {
		src.PendingQuestions = nil
		st.tickOrphan()
		return
	}
	if !src.Watching && !st.now.Before(src.WatchAt) {
		src.Watching = true
		st.add(WatchHead{After: src.Revision})
	}
	if len(src.PendingQuestions) > 0 || st.s.Config.Recovering {
		st.readHead()
	}
	if !st.now.Before(src.StatusAt) && st.s.Lease.Slot == statusSlot {
		src.StatusAt = st.now.Add(statusEvery)
		st.add(WriteStatus{Status: st.status()})
	}
}

// tickOrphan reads the head where no relay can be reached: the node may be cut
// off from the relays but not from the platform. Only the first nodes in the
// order do so, as it stands on their side of the cut.
func (st *step) tickOrphan() {
	src := &st.s.Config.Source
	if st.s.Config.Tree.Joined || src.OrphanAt.IsZero() {
		src.Orphaned = false
		src.OrphanAt = st.now.Add(orphanAfter)
		return
	}
	if st.now.Before(src.OrphanAt) {
		return
	}
	spread := ranker.IntervalFactor(st.s.Members.ByHost)
	waited := src.Orphaned || spread == 1
	src.Orphaned = true
	src.OrphanAt = st.now.Add(orphanAfter*spread + ranker.Jitter(st.s.Self.Host, st.now, 14, orphanAfter*(spread-1)))
	if waited && ranker.Position(st.s.Members.ByHost, st.s.Self.Host) < 2*st.f.RelaySlots {
		st.readHead()
	}
}

// status counts the nodes of the data centre by the version in force on them.
func (st *step) status() ticketer.DataCentreStatus {
	status := ticketer.DataCentreStatus{
		DataCentre: st.s.Self.DataCentre, Epoch: st.s.Lease.Epoch,
		Counted: st.now, Lapses: st.now.Add(statusLapses),
	}
	for _, m := range st.s.Members.ByHost {
		if m.Status != blackboard.MemberLeft {
			status.Nodes++
		}
	}
	counts := InForce(&st.s)
	for _, v := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		if v > 0 {
			status.Versions = append(status.Versions, ticketer.VersionCount{Version: v, Nodes: counts[v]})
		}
	}
	return status
}

// readHead starts a read unless one is under way or was done a moment ago.
func (st *step) readHead() {
	src := &st.s.Config.Source
	if src.ReadingHead || st.now.Before(src.ReadHeadAt) {
		return
	}
	src.ReadingHead = true
	st.add(ReadHead{})
}

func (st *step) headSeen(m HeadSeen) {
	src := &st.s.Config.Source
	src.Watching = false
	if m.Err != nil {
		st.sourceFailed()
		return
	}
	src.Failures = 0
	src.WatchAt = m.Now.Add(gatherUpdates)
	if st.defersLoad(m.Head) {
		src.DeferredVersion = m.Head.Version
		src.WatchAt = m.Now.Add(time.Duration(st.s.Lease.Slot) * deferLoad)
		return
	}
	src.Revision = max(src.Revision, m.Head.Revision)
	st.load(m.Head)
}

// defersLoad tells whether to leave a load of many shards to the relay of the
// first slot, which passes the version on. A version that did not come that
// way is loaded when it is seen again.
func (st *step) defersLoad(head Head) bool {
	if head.Version <= st.s.Config.Source.DeferredVersion || st.s.Lease.Slot <= 0 {
		return false
	}
	return st.s.Config.Recovering || differingShards(head, st.newest()) > shardsAtOnce
}

func differingShards(head Head, have *snapshotter.Snapshot) int {
	if have == nil {
		return len(head.Shards)
	}
	n := 0
	owned := snapshotter.Digests(have)
	for i, d := range head.Shards {
		if i >= len(owned) || owned[i] != d {
			n++
		}
	}
	return n
}

func (st *step) load(head Head) {
	src := &st.s.Config.Source
	if head.Version > number(st.newest()) && head.Version > src.LoadingVersion {
		src.LoadingVersion = head.Version
		st.add(LoadHead{Head: head, Have: st.newest()})
	}
}

// sourceFailed delays the next watch, which begins without a known revision so
// that a version whose load failed is seen again.
func (st *step) sourceFailed() {
	src := &st.s.Config.Source
	if src.Failures == 0 {
		st.add(Note{Event: logger.PlatformSilent})
	}
	src.Failures++
	src.LoadingVersion = 0
	src.Revision = 0
	src.WatchAt = st.now.Add(ranker.Backoff(st.s.Self.Host, st.now, src.Failures, sourceRetryFirst, sourceRetryMost))
}

func (st *step) headRead(m HeadRead) {
	c := &st.s.Config
	src := &c.Source
	src.ReadingHead = false
	src.ReadHeadAt = m.Now.Add(readHeadEvery + ranker.Jitter(st.s.Self.Host, m.Now, 12, readHeadEvery))
	if m.Err != nil {
		src.Failures++
		src.ReadHeadAt = m.Now.Add(ranker.Backoff(st.s.Self.Host, m.Now, src.Failures, sourceRetryFirst, sourceRetryMost))
		return
	}
	src.Failures = 0
	var waiting []blackboard.HeadQuestion
	for _, q := range src.PendingQuestions {
		if m.Began.Before(q.Received) {
			waiting = append(waiting, q)
			continue
		}
		st.send(q.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_HeadAnswer{
			HeadAnswer: &wirepb.HeadAnswer{Question: q.Question, Version: m.Head.Version},
		}})
	}
	src.PendingQuestions = waiting
	if !m.Began.Before(c.Recovery.StartedAt) {
		st.recovered(m.Head.Version, "own read")
	}
	if st.s.Lease.Slot == 0 || !st.isSource() && !c.Tree.Joined {
		st.load(m.Head)
	}
}
