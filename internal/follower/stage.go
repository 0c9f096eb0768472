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
	// witnessHosts and witnessRacks are how many other hosts, and on how many
	// other racks, must have recorded a version before it is put in force.
	witnessHosts = 2
	witnessRacks = 2
	// witnessValid is how long an acknowledgement counts from when it was asked
	// for. It is shorter than recoveryWait, so that a witness which restarts
	// asks for floors only when the acknowledgement counts no longer.
	witnessValid = 2 * time.Second
	askAgain     = 300 * time.Millisecond
	warnAfter    = 10 * time.Second
	refreshEvery = 30 * time.Second
)

// need is how many witnesses a version has to have.
type need struct{ hosts, racks int }

// witnessNeed returns the need among the known members. One dead host and one
// dead rack lower it, more do not: they may be cut off rather than dead, and
// run on without knowing of the version.
func witnessNeed(s *blackboard.State) need {
	known, alive := need{}, need{}
	knownRacks, aliveRacks := map[string]bool{}, map[string]bool{}
	for _, m := range s.Members.ByHost {
		if m.Host == s.Self.Host || m.Status == blackboard.MemberLeft {
			continue
		}
		known.hosts++
		knownRacks[m.Rack] = true
		if present(m) {
			alive.hosts++
			aliveRacks[m.Rack] = true
		}
	}
	delete(knownRacks, s.Self.Rack)
	delete(aliveRacks, s.Self.Rack)
	known.racks, alive.racks = len(knownRacks), len(aliveRacks)
	return need{
		hosts: min(witnessHosts, max(alive.hosts, known.hosts-1)),
		racks: min(witnessRacks, max(alive.racks, known.racks-1)),
	}
}

func present(m blackboard.Member) bool {
	return m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
}

// witnessed tells whether enough acknowledgements still count.
func (st *step) witnessed() bool {
	n := witnessNeed(&st.s)
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
	if st.apply() {
		return
	}
	st.askWitnesses()
	if !st.now.Before(c.Stage.WarnAt) {
		c.Stage.WarnAt = st.now.Add(warnAfter)
		st.add(Note{logger.ConfigUnwitnessed, logger.Fields{Version: c.Stage.Next.Version}})
	}
}

// refreshWitnesses has the running version recorded again from time to time,
// because witnesses restart and members are found that were not known before.
func (st *step) refreshWitnesses() {
	c := &st.s.Config
	if c.Running == nil || st.now.Before(c.Stage.RefreshAt) && len(st.s.Members.ByHost) == c.Stage.KnownMembers {
		return
	}
	if !st.witnessed() {
		st.askWitnesses()
		return
	}
	c.Stage = blackboard.Stage{
		RefreshAt:    st.now.Add(refreshEvery + ranker.Jitter(st.s.Self.Host, st.now, 13, refreshEvery)),
		KnownMembers: len(st.s.Members.ByHost),
	}
}

// apply puts the staged version in force if it may be. This is the only place
// that replaces Running.
func (st *step) apply() bool {
	c := &st.s.Config
	next := c.Stage.Next
	if c.Recovering || next.Version < c.MinVersion || next.Version <= number(c.Running) || !st.witnessed() {
		return false
	}
	c.Running = next
	c.Stage = blackboard.Stage{RefreshAt: st.now.Add(refreshEvery), KnownMembers: len(st.s.Members.ByHost)}
	st.add(Note{logger.ConfigApplied, logger.Fields{Version: next.Version}})
	return true
}

// askWitnesses asks a few hosts that have no question pending.
func (st *step) askWitnesses() {
	c := &st.s.Config
	if st.now.Before(c.Stage.AskAt) {
		return
	}
	c.Stage.AskAt = st.now.Add(askAgain)
	asked := map[string]time.Time{}
	for host, at := range c.Stage.Asked {
		if st.now.Before(at.Add(witnessValid)) {
			asked[host] = at
		}
	}
	for _, m := range st.witnessCandidates(asked) {
		asked[m.Host] = st.now
		st.send(m.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_WitnessAsk{WitnessAsk: &wirepb.WitnessAsk{
			Version: number(st.newest()), Sent: st.now.UnixNano(),
		}}})
	}
	c.Stage.Asked = asked
}

// witnessCandidates returns the next hosts to ask: each on another rack as far
// as there are such, and those that have a connection to this node first.
func (st *step) witnessCandidates(asked map[string]time.Time) []blackboard.Member {
	tree := &st.s.Config.Tree
	members := ranker.Rank(st.s.Members.ByHost)
	index := ranker.Index(members, st.s.Self.Host)
	members = slices.Concat(members[index+1:], members[:index+1])
	slices.SortStableFunc(members, func(a, b blackboard.Member) int {
		return st.distance(tree, a) - st.distance(tree, b)
	})
	var out []blackboard.Member
	for _, distinct := range []bool{true, false} {
		for _, m := range members {
			_, pending := asked[m.Host]
			taken := slices.ContainsFunc(out, func(o blackboard.Member) bool {
				return o.Host == m.Host || distinct && o.Rack == m.Rack
			})
			if m.Host == st.s.Self.Host || pending || taken {
				continue
			}
			if len(out) < witnessHosts {
				out = append(out, m)
			}
		}
	}
	return out
}

// distance puts hosts on other racks before those on this one, and within each the neighbours in the tree first.
func (st *step) distance(t *blackboard.Tree, m blackboard.Member) int {
	d := 0
	if m.Rack == st.s.Self.Rack {
		d += 2
	}
	if _, child := t.Children[m.Host]; !child && m.Host != t.ParentHost {
		d++
	}
	return d
}

func (st *step) witnessAsk(frame *wirepb.FollowFrame, a *wirepb.WitnessAsk) {
	c := &st.s.Config
	c.Floor = max(c.Floor, a.GetVersion())
	st.heard(a.GetVersion(), frame.GetAddress())
	st.send(frame.GetAddress(), &wirepb.FollowFrame{Body: &wirepb.FollowFrame_WitnessAck{WitnessAck: &wirepb.WitnessAck{
		Version: c.Floor, Sent: a.GetSent(),
	}}})
}

func (st *step) witnessAck(frame *wirepb.FollowFrame, a *wirepb.WitnessAck) {
	stage := &st.s.Config.Stage
	sent, asked := stage.Asked[frame.GetHost()]
	if !asked || sent.UnixNano() != a.GetSent() || a.GetVersion() < number(st.newest()) {
		return
	}
	witnesses := maps.Clone(stage.Witnesses)
	if witnesses == nil {
		witnesses = map[string]blackboard.Witness{}
	}
	witnesses[frame.GetHost()] = blackboard.Witness{Rack: frame.GetRack(), ExpiresAt: sent.Add(witnessValid)}
	stage.Witnesses = witnesses
	if stage.Next != nil {
		st.apply()
	}
}
