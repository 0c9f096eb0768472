package follower

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// gatherUpdates is the least time between two watches, so that a burst of
	// versions is passed on as one.
	gatherUpdates    = 1 * time.Second
	readHeadEvery    = 500 * time.Millisecond
	statusEvery      = 5 * time.Second
	sourceRetryFirst = 1 * time.Second
	sourceRetryMost  = 10 * time.Second
	// questionsWaiting bounds the questions that a relay keeps; askers repeat theirs.
	questionsWaiting = 4096
)

// isSource tells whether this node watches the platform.
func (st *step) isSource() bool {
	return st.s.Lease.Slot >= 0 || st.f.baseline == baselineWatch
}

func (st *step) tickSource() {
	src := &st.s.Config.Source
	if !st.isSource() {
		src.Waiting = nil
		return
	}
	if !src.Watching && !st.now.Before(src.WatchAt) {
		src.Watching = true
		st.add(WatchHead{After: src.Revision})
	}
	if len(src.Waiting) > 0 || st.s.Config.Recovering {
		st.readHead()
	}
	if !st.now.Before(src.StatusAt) && st.isFirstRelay() && st.s.Lease.Slot >= 0 {
		src.StatusAt = st.now.Add(statusEvery)
		st.add(WriteStatus{InForce: InForce(&st.s)})
	}
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
	src.Revision = max(src.Revision, m.Head.Revision)
	st.load(m.Head)
}

func (st *step) load(head Head) {
	if head.Version > number(st.newest()) {
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
	for _, q := range src.Waiting {
		if m.Began.Before(q.Received) {
			waiting = append(waiting, q)
			continue
		}
		st.send(q.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_HeadAnswer{
			HeadAnswer: &wirepb.HeadAnswer{Question: q.Question, Version: m.Head.Version},
		}})
	}
	src.Waiting = waiting
	if !m.Began.Before(c.Recovery.Began) {
		st.recovered(m.Head.Version, "own read")
	}
	if st.isSource() || c.Parent == "" {
		st.load(m.Head)
	}
}
