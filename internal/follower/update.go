package follower

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// maxRecentVersions is the number of versions from which a node can make
	// deltas.
	maxRecentVersions = 4
	// defaultPullDelay gives the tree time to deliver a version before it is
	// pulled.
	defaultPullDelay = 2 * time.Second
)

// sendNewest sends the newest version to a child that has an older one.
func (st *step) sendNewest(c blackboard.Child) {
	next := st.newestSnapshot()
	if next == nil || c.Version >= next.Version {
		return
	}
	st.addEffect(SendUpdate{From: st.s.Self, Address: c.Address, Base: st.findRecent(c.Version, nil), Next: next})
	c.Version = next.Version
	st.setChild(c)
}

// findRecent returns a recent snapshot by its version, and by its digest prefix
// if that is not nil. It returns nil if there is none.
func (st *step) findRecent(version uint64, prefix []byte) *snapshotter.Snapshot {
	for _, s := range st.s.Config.Recent {
		if s.Version == version && (prefix == nil || bytes.Equal(prefix, digestPrefix(s))) {
			return s
		}
	}
	return nil
}

func (st *step) handlePull(frame *wirepb.FollowFrame, p *wirepb.Pull) {
	next := st.newestSnapshot()
	if next == nil || next.Version <= p.GetVersion() {
		return
	}
	update := SendUpdate{From: st.s.Self, Address: frame.GetAddress(), Next: next}
	if !p.GetWhole() {
		update.Base = st.findRecent(p.GetVersion(), p.GetDigestPrefix())
	}
	st.addEffect(update)
}

func (st *step) sendPull(address string, whole bool) {
	have := st.newestSnapshot()
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Pull{Pull: &wirepb.Pull{
		Version: versionOf(have), DigestPrefix: digestPrefix(have), Whole: whole,
	}}})
}

func (st *step) handleDelta(frame *wirepb.FollowFrame, d *wirepb.DeltaUpdate) {
	if d.GetVersion() <= versionOf(st.newestSnapshot()) {
		return
	}
	st.addEffect(ApplyDelta{
		Address: frame.GetAddress(), Version: d.GetVersion(), Data: d.GetDelta(), Bases: st.s.Config.Recent,
	})
}

func (st *step) handleSnapshot(m SnapshotReceived) {
	if m.Version <= versionOf(st.newestSnapshot()) {
		return
	}
	st.addEffect(DecodeSnapshot{Received: m})
}

// handleLoaded stages a checked snapshot and sends it to the children.
func (st *step) handleLoaded(next *snapshotter.Snapshot) {
	c := &st.s.Config
	if next.Version <= versionOf(st.newestSnapshot()) {
		return
	}
	c.Recent = append(slices.Clone(c.Recent), next)
	if len(c.Recent) > maxRecentVersions {
		c.Recent = c.Recent[len(c.Recent)-maxRecentVersions:]
	}
	c.Floor = max(c.Floor, next.Version)
	if c.PeerVersion.Version <= next.Version {
		c.PeerVersion = blackboard.PeerVersion{}
	}
	c.Stage = blackboard.Stage{Next: next, AskAt: st.now, WarnAt: st.now.Add(stageWarnInterval)}
	for _, child := range c.Tree.Children {
		st.sendNewest(child)
	}
	st.tickStage()
}

func (st *step) handleLoadFailed(m LoadFailed) {
	switch m.Source {
	case SourceDelta:
		st.addEffect(WriteLog{logger.ConfigFetchedWhole, logger.Fields{Version: m.Version, Peer: m.Address, Err: m.Err}})
		st.sendPull(m.Address, true)
	case SourceSnapshot:
		st.addEffect(WriteLog{logger.ConfigRefused, logger.Fields{Version: m.Version, Peer: m.Address, Err: m.Err}})
		st.noteRefused(m)
	case SourcePlatform:
		st.addEffect(WriteLog{logger.ConfigRefused, logger.Fields{Version: m.Version, Err: m.Err}})
		st.noteRefused(m)
		st.backOffPlatform()
	}
}

// noteRefused records a version that is refused, unless its parts could not be fetched.
func (st *step) noteRefused(m LoadFailed) {
	var malformed *snapshotter.MalformedError
	var refused *snapshotter.RefusedError
	var mismatch *snapshotter.DigestMismatchError
	if errors.As(m.Err, &malformed) || errors.As(m.Err, &refused) || errors.As(m.Err, &mismatch) {
		st.s.Config.NoteRefused(blackboard.RefusedVersion{Version: m.Version, Source: m.Address, Reason: m.Err.Error(), SinceAt: m.Now})
	}
}

// noteVersion records that a peer has a version greater than any known so far.
func (st *step) noteVersion(version uint64, address string) {
	h := &st.s.Config.PeerVersion
	if version <= versionOf(st.newestSnapshot()) || version <= h.Version {
		return
	}
	h.Version = version
	h.Address = address
}

// tickPull pulls a greater version that a peer has if it has not arrived within
// pullDelay.
func (st *step) tickPull() {
	h := &st.s.Config.PeerVersion
	if h.Version == 0 {
		return
	}
	if h.PullAt.IsZero() {
		h.PullAt = st.now.Add(st.f.pullDelay)
	}
	if st.now.Before(h.PullAt) {
		return
	}
	if h.Version > versionOf(st.newestSnapshot()) {
		st.sendPull(h.Address, false)
	}
	*h = blackboard.PeerVersion{}
}
