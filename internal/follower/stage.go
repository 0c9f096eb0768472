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
	// witnessHosts and witnessRacks are the numbers of other hosts and other racks
	// on which a version must be recorded before it is applied. requiredWitnesses
	// lowers them if there are too few members.
	witnessHosts = 2
	witnessRacks = 2
	// witnessAckValidity is how long an acknowledgement is valid, counted from when
	// it was asked for. It is shorter than firstFloorAskDelay, so that a witness
	// that restarts asks for floors only after its earlier acknowledgements have
	// expired.
	witnessAckValidity     = 2 * time.Second
	witnessAskInterval     = 300 * time.Millisecond
	stageWarnInterval      = 10 * time.Second
	witnessRefreshInterval = 30 * time.Second
)

// hostCount is a number of hosts and of racks.
type hostCount struct{ hosts, racks int }

// requiredWitnesses returns how many witnesses a version needs among the known
// members. One dead host and one dead rack lower the requirement. Further ones
// do not: they may be cut off rather than dead, and keep running without
// knowing of the version.
func requiredWitnesses(s *blackboard.State) hostCount {
	known, alive := hostCount{}, hostCount{}
	knownRacks, aliveRacks := map[string]bool{}, map[string]bool{}
	for _, m := range s.Members.ByHost {
		if m.Host == s.Self.Host || m.Status == blackboard.MemberLeft {
			continue
		}
		known.hosts++
		knownRacks[m.Rack] = true
		if isAliveOrSuspect(m) {
			alive.hosts++
			aliveRacks[m.Rack] = true
		}
	}
	delete(knownRacks, s.Self.Rack)
	delete(aliveRacks, s.Self.Rack)
	known.racks, alive.racks = len(knownRacks), len(aliveRacks)
	return hostCount{
		hosts: min(witnessHosts, max(alive.hosts, known.hosts-1)),
		racks: min(witnessRacks, max(alive.racks, known.racks-1)),
	}
}

func isAliveOrSuspect(m blackboard.Member) bool {
	return m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
}

// hasEnoughWitnesses reports whether enough acknowledgements are still valid.
func (st *step) hasEnoughWitnesses() bool {
	n := requiredWitnesses(&st.s)
	hosts := 0
	racks := map[string]bool{}
	for _, w := range st.s.Config.Stage.Witnesses {
		if !st.now.Before(w.ExpiresAt) {
			continue
		}
		hosts++
		if w.Rack != st.s.Self.Rack {
			racks[w.Rack] = true
		}
	}
	return hosts >= n.hosts && len(racks) >= n.racks
}

func (st *step) tickStage() {
	c := &st.s.Config
	if c.Stage.Next == nil {
		st.refreshWitnesses()
		return
	}
	if st.tryApply() {
		return
	}
	st.askWitnesses()
	if !st.now.Before(c.Stage.WarnAt) {
		c.Stage.WarnAt = st.now.Add(stageWarnInterval)
		st.addEffect(WriteLog{logger.ConfigUnwitnessed, logger.Fields{Version: c.Stage.Next.Version}})
	}
}

// refreshWitnesses has the running version recorded again at intervals and when
// the number of members changes, because witnesses restart and new members are
// discovered.
func (st *step) refreshWitnesses() {
	c := &st.s.Config
	if c.Running == nil || st.now.Before(c.Stage.RefreshAt) && len(st.s.Members.ByHost) == c.Stage.KnownMembers {
		return
	}
	if !st.hasEnoughWitnesses() {
		st.askWitnesses()
		return
	}
	c.Stage = blackboard.Stage{
		RefreshAt:    st.now.Add(witnessRefreshInterval + ranker.Jitter(st.s.Self.Host, st.now, 13, witnessRefreshInterval)),
		KnownMembers: len(st.s.Members.ByHost),
	}
}

// tryApply applies the staged version if that is allowed, and reports whether
// it did. No other function replaces Running.
func (st *step) tryApply() bool {
	c := &st.s.Config
	next := c.Stage.Next
	if c.Recovering || next.Version < c.MinVersion || next.Version <= versionOf(c.Running) || !st.hasEnoughWitnesses() {
		return false
	}
	c.Running = next
	c.ForgetRefused()
	c.Stage = blackboard.Stage{RefreshAt: st.now.Add(witnessRefreshInterval), KnownMembers: len(st.s.Members.ByHost)}
	st.addEffect(WriteLog{logger.ConfigApplied, logger.Fields{Version: next.Version}})
	return true
}

// askWitnesses asks a few hosts that have no request pending to record the
// newest version.
func (st *step) askWitnesses() {
	c := &st.s.Config
	if st.now.Before(c.Stage.AskAt) {
		return
	}
	c.Stage.AskAt = st.now.Add(witnessAskInterval)
	asked := map[string]time.Time{}
	for host, at := range c.Stage.Asked {
		if st.now.Before(at.Add(witnessAckValidity)) {
			asked[host] = at
		}
	}
	for _, m := range st.witnessCandidates(asked) {
		asked[m.Host] = st.now
		st.send(m.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_WitnessAsk{WitnessAsk: &wirepb.WitnessAsk{
			Version: versionOf(st.newestSnapshot()), Sent: st.now.UnixNano(),
		}}})
	}
	c.Stage.Asked = asked
}

// witnessCandidates returns the next hosts to ask, in the order of
// witnessPriority. It takes one host of each rack first, and several of one
// rack only if that leaves too few.
func (st *step) witnessCandidates(asked map[string]time.Time) []blackboard.Member {
	tree := &st.s.Config.Tree
	members := ranker.Rank(st.s.Members.ByHost)
	index := ranker.Index(members, st.s.Self.Host)
	members = slices.Concat(members[index+1:], members[:index+1])
	slices.SortStableFunc(members, func(a, b blackboard.Member) int {
		return st.witnessPriority(tree, a) - st.witnessPriority(tree, b)
	})
	var out []blackboard.Member
	for _, distinctRacks := range []bool{true, false} {
		for _, m := range members {
			_, isPending := asked[m.Host]
			isChosen := slices.ContainsFunc(out, func(o blackboard.Member) bool {
				return o.Host == m.Host || distinctRacks && o.Rack == m.Rack
			})
			if m.Host == st.s.Self.Host || isPending || isChosen {
				continue
			}
			if len(out) < witnessHosts {
				out = append(out, m)
			}
		}
	}
	return out
}

// witnessPriority returns a sort key by which hosts on other racks come before
// those on this rack, and within each group the neighbours in the tree come
// first.
func (st *step) witnessPriority(t *blackboard.Tree, m blackboard.Member) int {
	d := 0
	if m.Rack == st.s.Self.Rack {
		d += 2
	}
	if _, child := t.Children[m.Host]; !child && m.Host != t.ParentHost {
		d++
	}
	return d
}

func (st *step) handleWitnessAsk(frame *wirepb.FollowFrame, a *wirepb.WitnessAsk) {
	c := &st.s.Config
	c.Floor = max(c.Floor, a.GetVersion())
	st.noteVersion(a.GetVersion(), frame.GetAddress())
	st.send(frame.GetAddress(), &wirepb.FollowFrame{Body: &wirepb.FollowFrame_WitnessAck{WitnessAck: &wirepb.WitnessAck{
		Version: c.Floor, Sent: a.GetSent(),
	}}})
}

func (st *step) handleWitnessAck(frame *wirepb.FollowFrame, a *wirepb.WitnessAck) {
	stage := &st.s.Config.Stage
	sent, asked := stage.Asked[frame.GetHost()]
	if !asked || sent.UnixNano() != a.GetSent() || a.GetVersion() < versionOf(st.newestSnapshot()) {
		return
	}
	witnesses := maps.Clone(stage.Witnesses)
	if witnesses == nil {
		witnesses = map[string]blackboard.Witness{}
	}
	witnesses[frame.GetHost()] = blackboard.Witness{Rack: frame.GetRack(), ExpiresAt: sent.Add(witnessAckValidity)}
	stage.Witnesses = witnesses
	if stage.Next != nil {
		st.tryApply()
	}
}
