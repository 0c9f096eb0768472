package follower

import (
	"maps"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/wirepb"
)

const (
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = 5 * time.Second
	joinTimeout       = 2 * time.Second
	minRejoinBackoff  = 200 * time.Millisecond
	maxRejoinBackoff  = 3 * time.Second
	maxHints          = 3
	// maxPathHashes bounds the number of ancestors in a heartbeat.
	maxPathHashes = 32
	// maxReportedVersions bounds the number of versions that a report
	// distinguishes.
	maxReportedVersions = 6
)

// maxChildren returns the maximum number of children. Beyond the fan-out it
// leaves room for other relays and candidates, and for children whose own
// parent is gone.
func (f *Follower) maxChildren() int { return f.FanOut + max(f.FanOut/2, 2*f.RelaySlots) }

func (st *step) tickParent() {
	t := &st.s.Config.Tree
	if t.ParentHost != "" || st.s.Config.Parent != "" {
		st.checkParent(t)
		return
	}
	if t.JoinAt.IsZero() {
		t.JoinAt = st.now.Add(ranker.Jitter(st.s.Self.Host, st.now, 2, minRejoinBackoff))
	}
	if st.now.Before(t.JoinAt) || st.f.disableTree || t.Stopping {
		return
	}
	parent := st.chooseParent()
	if parent == "" {
		t.JoinAt = st.now.Add(heartbeatInterval/2 + ranker.Jitter(st.s.Self.Host, st.now, 3, heartbeatInterval/2))
		return
	}
	st.s.Config.Parent = parent
	t.Joined = false
	t.SilentAt = st.now.Add(joinTimeout)
	t.ReportAt = st.now.Add(heartbeatInterval)
	st.sendReport()
}

func (st *step) checkParent(t *blackboard.Tree) {
	if !st.now.Before(t.SilentAt) {
		st.addEffect(DropPeer{Address: st.s.Config.Parent})
		if t.Joined {
			st.addEffect(WriteLog{logger.ParentSilent, logger.Fields{Peer: st.s.Config.Parent}})
		}
		st.leaveParent()
		return
	}
	if st.s.Lease.Slot >= 0 && st.holdsLowestSlot() {
		st.sendLeave()
		st.leaveParent()
		return
	}
	if !st.now.Before(t.ReportAt) {
		t.ReportAt = st.now.Add(heartbeatInterval)
		st.sendReport()
	}
}

// leaveParent clears the parent and sets the time at which to look for another.
func (st *step) leaveParent() {
	t := &st.s.Config.Tree
	t.Attempt++
	t.ParentHost = ""
	t.Joined = false
	t.Path = nil
	st.s.Config.Parent = ""
	t.JoinAt = st.now.Add(ranker.Backoff(st.s.Self.Host, st.now, t.Attempt, minRejoinBackoff, maxRejoinBackoff))
}

func (st *step) sendLeave() {
	st.send(st.s.Config.Parent, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Leave{Leave: &wirepb.Leave{}}})
}

// handleStop tells the children to look for another parent and leaves the
// parent, before the node ends.
func (st *step) handleStop() {
	for host, c := range st.s.Config.Tree.Children {
		st.refuse(c.Address, true)
		st.dropChild(host)
	}
	if st.s.Config.Parent != "" {
		st.sendLeave()
		st.leaveParent()
	}
	st.s.Config.Tree.Stopping = true
}

// otherRelays returns the relays whose leases have not expired, without this
// node.
func (st *step) otherRelays() []blackboard.Relay {
	var out []blackboard.Relay
	for _, r := range st.s.Lease.Relays {
		if r.Host != st.s.Self.Host && st.now.Before(r.Expires) {
			out = append(out, r)
		}
	}
	return out
}

// holdsLowestSlot reports whether no other relay holds a lower slot than this
// node.
func (st *step) holdsLowestSlot() bool {
	for _, r := range st.otherRelays() {
		if r.Slot < st.s.Lease.Slot {
			return false
		}
	}
	return true
}

// chooseParent returns the address of the parent to join, or an empty string
// for a root. A parent that is neither a relay nor named in a refusal comes
// before its child in the member order, so that nodes with the same member list
// form no cycle.
func (st *step) chooseParent() string {
	relays := st.otherRelays()
	if st.s.Lease.Slot >= 0 {
		if st.holdsLowestSlot() || len(relays) == 0 {
			return ""
		}
		return relays[0].Address
	}
	t := &st.s.Config.Tree
	if len(t.Hints) > 0 {
		hint := t.Hints[0]
		t.Hints = t.Hints[1:]
		return hint
	}
	members := ranker.Rank(st.s.Members.ByHost)
	index := ranker.Index(members, st.s.Self.Host)
	rootCount := 2 * st.f.RelaySlots
	if index < rootCount && len(relays) > 0 {
		return relays[(max(index, 0)+t.Attempt)%len(relays)].Address
	}
	if index <= 0 {
		return ""
	}
	if index >= rootCount && t.Attempt == 0 {
		return members[(index-rootCount)/st.f.FanOut].Address
	}
	return members[ranker.PseudoRandom(st.s.Self.Host, st.now, 4)%uint64(index)].Address
}

func (st *step) handleReport(frame *wirepb.FollowFrame, r *wirepb.Report) {
	t := &st.s.Config.Tree
	child, known := t.Children[frame.GetHost()]
	isAncestor := slices.Contains(t.Path, ranker.Hash(frame.GetHost()))
	if !known && (isAncestor || t.Stopping || len(t.Children) >= st.f.maxChildren()) {
		st.refuse(frame.GetAddress(), isAncestor)
		return
	}
	if !known {
		child = blackboard.Child{Host: frame.GetHost(), Version: r.GetVersion()}
	}
	child.Address = frame.GetAddress()
	child.Version = max(child.Version, r.GetVersion())
	child.SilentAt = st.now.Add(silenceTimeout)
	child.InForce = map[uint64]int{}
	for _, c := range r.GetInForce()[:min(len(r.GetInForce()), maxReportedVersions)] {
		child.InForce[c.GetVersion()] = int(c.GetNodes())
	}
	st.setChild(child)
	if !known {
		st.sendHeartbeat(child.Address)
	}
	st.sendNewest(child)
	st.noteVersion(r.GetVersion(), frame.GetAddress())
}

// refuse sends a refusal. It names children of this node as parents to try
// instead, unless omitHints is set.
func (st *step) refuse(address string, omitHints bool) {
	var hints []string
	for _, host := range slices.Sorted(maps.Keys(st.s.Config.Tree.Children)) {
		if len(hints) < maxHints && !omitHints {
			hints = append(hints, st.s.Config.Tree.Children[host].Address)
		}
	}
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Refusal{Refusal: &wirepb.FollowRefusal{Hints: hints}}})
}

func (st *step) handleRefusal(frame *wirepb.FollowFrame, r *wirepb.FollowRefusal) {
	if frame.GetAddress() != st.s.Config.Parent {
		return
	}
	hints := r.GetHints()[:min(len(r.GetHints()), maxHints)]
	st.leaveParent()
	if len(hints) > 0 {
		start := int(ranker.PseudoRandom(st.s.Self.Host, st.now, 5) % uint64(len(hints)))
		st.s.Config.Tree.Hints = []string{hints[start]}
	}
}

func (st *step) setChild(c blackboard.Child) {
	children := maps.Clone(st.s.Config.Tree.Children)
	if children == nil {
		children = map[string]blackboard.Child{}
	}
	children[c.Host] = c
	st.s.Config.Tree.Children = children
}

func (st *step) dropChild(host string) {
	if _, ok := st.s.Config.Tree.Children[host]; !ok {
		return
	}
	children := maps.Clone(st.s.Config.Tree.Children)
	delete(children, host)
	st.s.Config.Tree.Children = children
}

func (st *step) tickChildren() {
	t := &st.s.Config.Tree
	for host, c := range t.Children {
		if !st.now.Before(c.SilentAt) {
			st.dropChild(host)
		}
	}
	if st.now.Before(t.HeartbeatAt) {
		return
	}
	t.HeartbeatAt = st.now.Add(heartbeatInterval)
	for _, c := range t.Children {
		st.sendHeartbeat(c.Address)
	}
}

func (st *step) sendHeartbeat(address string) {
	newest := st.newestSnapshot()
	path := append([]uint32{ranker.Hash(st.s.Self.Host)}, st.s.Config.Tree.Path...)
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Heartbeat{Heartbeat: &wirepb.Heartbeat{
		Version: versionOf(newest), DigestPrefix: digestPrefix(newest), Path: path[:min(len(path), maxPathHashes)],
	}}})
}

func (st *step) handleHeartbeat(frame *wirepb.FollowFrame, h *wirepb.Heartbeat) {
	if frame.GetAddress() != st.s.Config.Parent {
		return
	}
	t := &st.s.Config.Tree
	if slices.Contains(h.GetPath(), ranker.Hash(st.s.Self.Host)) {
		st.sendLeave()
		st.leaveParent()
		return
	}
	if !t.Joined {
		st.addEffect(WriteLog{logger.ParentChanged, logger.Fields{Peer: frame.GetAddress(), Host: frame.GetHost()}})
	}
	t.Joined = true
	t.ParentHost = frame.GetHost()
	t.SilentAt = st.now.Add(silenceTimeout)
	t.Attempt = 0
	t.Hints = nil
	t.Path = h.GetPath()[:min(len(h.GetPath()), maxPathHashes)]
	st.noteVersion(h.GetVersion(), frame.GetAddress())
}

func (st *step) sendReport() {
	newest := st.newestSnapshot()
	report := &wirepb.Report{Version: versionOf(newest), DigestPrefix: digestPrefix(newest)}
	counts := countVersions(&st.s)
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		report.InForce = append(report.InForce, &wirepb.VersionCount{Version: v, Nodes: uint32(counts[v])})
	}
	st.send(st.s.Config.Parent, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Report{Report: report}})
}

// countVersions counts the nodes at and below this one by the version that they
// run. If there are more than maxReportedVersions versions, the oldest ones are
// counted as the oldest version that is kept.
func countVersions(s *blackboard.State) map[uint64]int {
	all := map[uint64]int{versionOf(s.Config.Running): 1}
	for _, c := range s.Config.Tree.Children {
		for v, n := range c.InForce {
			all[v] += n
		}
	}
	versions := slices.Sorted(maps.Keys(all))
	for len(versions) > maxReportedVersions {
		all[versions[1]] += all[versions[0]]
		delete(all, versions[0])
		versions = versions[1:]
	}
	return all
}

func (st *step) send(address string, body *wirepb.FollowFrame) {
	frame := newFrame(st.s.Self)
	frame.Body = body.GetBody()
	st.addEffect(SendFrame{Address: address, Frame: frame})
}
