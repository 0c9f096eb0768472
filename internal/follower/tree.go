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
	beatEvery      = 2 * time.Second
	silentAfter    = 5 * time.Second
	joinTimeout    = 2 * time.Second
	rejoinFirst    = 200 * time.Millisecond
	rejoinMost     = 3 * time.Second
	hintsPerAnswer = 3
	// longestPath bounds the depth that a heartbeat can tell of.
	longestPath = 32
	// inForceVersions bounds how many versions a report tells apart.
	inForceVersions = 6
)

// childLimit leaves room for the other relays and candidates, and for children whose own parent is gone.
func (f *Follower) childLimit() int { return f.FanOut + max(f.FanOut/2, 2*f.RelaySlots) }

func (st *step) tickParent() {
	t := &st.s.Config.Tree
	if t.ParentHost != "" || st.s.Config.Parent != "" {
		st.tickJoined(t)
		return
	}
	if t.JoinAt.IsZero() {
		t.JoinAt = st.now.Add(ranker.Jitter(st.s.Self.Host, st.now, 2, rejoinFirst))
	}
	if st.now.Before(t.JoinAt) || st.f.treeless || t.Stopping {
		return
	}
	parent := st.chooseParent()
	if parent == "" {
		t.JoinAt = st.now.Add(beatEvery/2 + ranker.Jitter(st.s.Self.Host, st.now, 3, beatEvery/2))
		return
	}
	st.s.Config.Parent = parent
	t.Joined = false
	t.SilentAt = st.now.Add(joinTimeout)
	t.ReportAt = st.now.Add(beatEvery)
	st.sendReport()
}

func (st *step) tickJoined(t *blackboard.Tree) {
	if !st.now.Before(t.SilentAt) {
		st.add(DropPeer{Address: st.s.Config.Parent})
		if t.Joined {
			st.add(Note{logger.ParentSilent, logger.Fields{Peer: st.s.Config.Parent}})
		}
		st.leaveParent()
		return
	}
	if st.s.Lease.Slot >= 0 && st.isFirstRelay() {
		st.sendLeave()
		st.leaveParent()
		return
	}
	if !st.now.Before(t.ReportAt) {
		t.ReportAt = st.now.Add(beatEvery)
		st.sendReport()
	}
}

// leaveParent forgets the parent and sets when to look for another.
func (st *step) leaveParent() {
	t := &st.s.Config.Tree
	t.Attempt++
	t.ParentHost = ""
	t.Joined = false
	t.Path = nil
	st.s.Config.Parent = ""
	t.JoinAt = st.now.Add(ranker.Backoff(st.s.Self.Host, st.now, t.Attempt, rejoinFirst, rejoinMost))
}

func (st *step) sendLeave() {
	st.send(st.s.Config.Parent, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Leave{Leave: &wirepb.Leave{}}})
}

// stop sends the children elsewhere before the node ends.
func (st *step) stop() {
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

// relays returns the relays whose leases have not lapsed, this node left out.
func (st *step) relays() []blackboard.Relay {
	var out []blackboard.Relay
	for _, r := range st.s.Lease.Relays {
		if r.Host != st.s.Self.Host && st.now.Before(r.Expires) {
			out = append(out, r)
		}
	}
	return out
}

// isFirstRelay tells whether this node holds the lowest slot that is held.
func (st *step) isFirstRelay() bool {
	for _, r := range st.relays() {
		if r.Slot < st.s.Lease.Slot {
			return false
		}
	}
	return true
}

// chooseParent returns the address to follow, or nothing for a root. A
// follower's parent stands before it in the order, so that nodes with the same
// member list form no cycle.
func (st *step) chooseParent() string {
	relays := st.relays()
	if st.s.Lease.Slot >= 0 {
		if st.isFirstRelay() || len(relays) == 0 {
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
	roots := 2 * st.f.RelaySlots
	if index < roots && len(relays) > 0 {
		return relays[(max(index, 0)+t.Attempt)%len(relays)].Address
	}
	if index <= 0 {
		return ""
	}
	if index >= roots && t.Attempt == 0 {
		return members[(index-roots)/st.f.FanOut].Address
	}
	return members[ranker.PseudoRandom(st.s.Self.Host, st.now, 4)%uint64(index)].Address
}

func (st *step) report(frame *wirepb.FollowFrame, r *wirepb.Report) {
	t := &st.s.Config.Tree
	child, known := t.Children[frame.GetHost()]
	inPath := slices.Contains(t.Path, ranker.Hash(frame.GetHost()))
	if !known && (inPath || t.Stopping || len(t.Children) >= st.f.childLimit()) {
		st.refuse(frame.GetAddress(), inPath)
		return
	}
	if !known {
		child = blackboard.Child{Host: frame.GetHost(), Version: r.GetVersion()}
	}
	child.Address = frame.GetAddress()
	child.Version = max(child.Version, r.GetVersion())
	child.SilentAt = st.now.Add(silentAfter)
	child.InForce = map[uint64]int{}
	for _, c := range r.GetInForce()[:min(len(r.GetInForce()), inForceVersions)] {
		child.InForce[c.GetVersion()] = int(c.GetNodes())
	}
	st.setChild(child)
	if !known {
		st.sendHeartbeat(child.Address)
	}
	st.offer(child)
	st.heard(r.GetVersion(), frame.GetAddress())
}

// refuse names children of this node that may have room, unless the asker is an ancestor.
func (st *step) refuse(address string, ancestor bool) {
	var hints []string
	for _, host := range slices.Sorted(maps.Keys(st.s.Config.Tree.Children)) {
		if len(hints) < hintsPerAnswer && !ancestor {
			hints = append(hints, st.s.Config.Tree.Children[host].Address)
		}
	}
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Refusal{Refusal: &wirepb.FollowRefusal{Hints: hints}}})
}

func (st *step) refusal(frame *wirepb.FollowFrame, r *wirepb.FollowRefusal) {
	if frame.GetAddress() != st.s.Config.Parent {
		return
	}
	hints := r.GetHints()[:min(len(r.GetHints()), hintsPerAnswer)]
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
	t.HeartbeatAt = st.now.Add(beatEvery)
	for _, c := range t.Children {
		st.sendHeartbeat(c.Address)
	}
}

func (st *step) sendHeartbeat(address string) {
	newest := st.newest()
	path := append([]uint32{ranker.Hash(st.s.Self.Host)}, st.s.Config.Tree.Path...)
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Heartbeat{Heartbeat: &wirepb.Heartbeat{
		Version: number(newest), DigestPrefix: digestPrefix(newest), Path: path[:min(len(path), longestPath)],
	}}})
}

func (st *step) heartbeat(frame *wirepb.FollowFrame, h *wirepb.Heartbeat) {
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
		st.add(Note{logger.ParentChanged, logger.Fields{Peer: frame.GetAddress(), Host: frame.GetHost()}})
	}
	t.Joined = true
	t.ParentHost = frame.GetHost()
	t.SilentAt = st.now.Add(silentAfter)
	t.Attempt = 0
	t.Hints = nil
	t.Path = h.GetPath()[:min(len(h.GetPath()), longestPath)]
	st.heard(h.GetVersion(), frame.GetAddress())
}

func (st *step) sendReport() {
	newest := st.newest()
	report := &wirepb.Report{Version: number(newest), DigestPrefix: digestPrefix(newest)}
	counts := InForce(&st.s)
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		report.InForce = append(report.InForce, &wirepb.VersionCount{Version: v, Nodes: uint32(counts[v])})
	}
	st.send(st.s.Config.Parent, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Report{Report: report}})
}

// InForce counts the nodes at and below this one by the version they run. Old
// versions beyond a bound are counted together as the oldest that is told apart.
func InForce(s *blackboard.State) map[uint64]int {
	all := map[uint64]int{number(s.Config.Running): 1}
	for _, c := range s.Config.Tree.Children {
		for v, n := range c.InForce {
			all[v] += n
		}
	}
	versions := slices.Sorted(maps.Keys(all))
	for len(versions) > inForceVersions {
		all[versions[1]] += all[versions[0]]
		delete(all, versions[0])
		versions = versions[1:]
	}
	return all
}

func (st *step) send(address string, body *wirepb.FollowFrame) {
	frame := newFrame(st.s.Self)
	frame.Body = body.GetBody()
	st.add(Send{Address: address, Frame: frame})
}
