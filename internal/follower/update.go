package follower

import (
	"bytes"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// recentVersions is how many versions a node can make deltas from.
	recentVersions = 4
	// defaultPullAfter leaves the tree time to bring a version by itself.
	defaultPullAfter = 2 * time.Second
)

// offer sends the newest version to a child that has an older one.
func (st *step) offer(c blackboard.Child) {
	next := st.newest()
	if next == nil || c.Version >= next.Version {
		return
	}
	st.add(SendUpdate{From: st.s.Self, Address: c.Address, Base: st.recent(c.Version, nil), Next: next})
	c.Version = next.Version
	st.setChild(c)
}

// recent returns a version that deltas can be made from, or nil.
func (st *step) recent(version uint64, prefix []byte) *snapshotter.Snapshot {
	for _, s := range st.s.Config.Recent {
		if s.Version == version && (prefix == nil || bytes.Equal(prefix, digestPrefix(s))) {
			return s
		}
	}
	return nil
}

func (st *step) pull(frame *wirepb.FollowFrame, p *wirepb.Pull) {
	next := st.newest()
	if next == nil || next.Version <= p.GetVersion() {
		return
	}
	update := SendUpdate{From: st.s.Self, Address: frame.GetAddress(), Next: next}
	if !p.GetWhole() {
		update.Base = st.recent(p.GetVersion(), p.GetDigestPrefix())
	}
	st.add(update)
}

func (st *step) sendPull(address string, whole bool) {
	have := st.newest()
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Pull{Pull: &wirepb.Pull{
		Version: number(have), DigestPrefix: digestPrefix(have), Whole: whole,
	}}})
}

func (st *step) delta(frame *wirepb.FollowFrame, d *wirepb.DeltaUpdate) {
	if d.GetVersion() <= number(st.newest()) {
		return
	}
	st.add(ApplyDelta{
		Address: frame.GetAddress(), Version: d.GetVersion(), Data: d.GetDelta(), Bases: st.s.Config.Recent,
	})
}

func (st *step) wholeReceived(m WholeReceived) {
	if m.Version <= number(st.newest()) {
		return
	}
	st.add(DecodeWhole{Whole: m})
}

// loaded stages a checked snapshot and passes it on.
func (st *step) loaded(next *snapshotter.Snapshot) {
	c := &st.s.Config
	if next.Version <= number(st.newest()) {
		return
	}
	c.Recent = append(slices.Clone(c.Recent), next)
	if len(c.Recent) > recentVersions {
		c.Recent = c.Recent[len(c.Recent)-recentVersions:]
	}
	c.Floor = max(c.Floor, next.Version)
	if c.PeerVersion.Version <= next.Version {
		c.PeerVersion = blackboard.PeerVersion{}
	}
	c.Stage = blackboard.Stage{Next: next, AskAt: st.now, WarnAt: st.now.Add(warnAfter)}
	for _, child := range c.Tree.Children {
		st.offer(child)
	}
	st.tickStage()
}

func (st *step) loadFailed(m LoadFailed) {
	switch m.Source {
	case SourceDelta:
		st.add(Note{logger.ConfigFetchedWhole, logger.Fields{Version: m.Version, Peer: m.Address, Err: m.Err}})
		st.sendPull(m.Address, true)
	case SourceWhole:
		st.add(Note{logger.ConfigRefused, logger.Fields{Version: m.Version, Peer: m.Address, Err: m.Err}})
	case SourcePlatform:
		st.add(Note{logger.ConfigRefused, logger.Fields{Version: m.Version, Err: m.Err}})
		st.sourceFailed()
	}
}

// heard notes a greater version that a peer has.
func (st *step) heard(version uint64, address string) {
	h := &st.s.Config.PeerVersion
	if version <= number(st.newest()) || version <= h.Version {
		return
	}
	h.Version = version
	h.Address = address
}

// tickHeard pulls a greater version that has not arrived by itself.
func (st *step) tickHeard() {
	h := &st.s.Config.PeerVersion
	if h.Version == 0 {
		return
	}
	if h.PullAt.IsZero() {
		h.PullAt = st.now.Add(st.f.pullAfter)
	}
	if st.now.Before(h.PullAt) {
		return
	}
	if h.Version > number(st.newest()) {
		st.sendPull(h.Address, false)
	}
	*h = blackboard.PeerVersion{}
}
