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
	// firstFloorAskDelay is the time from the start of a node until it first asks
	// for floors. It is longer than witnessAckValidity: a version that an earlier
	// process on this host acknowledged has by then been recorded by every other
	// witness, or was never applied on the strength of that acknowledgement.
	firstFloorAskDelay   = 3 * time.Second
	firstHeadAskDelay    = 300 * time.Millisecond
	headAskInterval      = 1 * time.Second
	firstOwnReadDelay    = 8 * time.Second
	maxOwnReadJitter     = 4 * time.Second
	ownReadInterval      = 1 * time.Second
	floorAskInterval     = 500 * time.Millisecond
	floorAskRetryDelay   = 3 * time.Second
	maxFloorAsksPerRound = 25
	recoveryWarnInterval = 15 * time.Second
	maxHeadAskHops       = 8
	// ownReadersPerInterval is the average number of restarted nodes of a data
	// centre that read the head themselves in each ownReadInterval.
	ownReadersPerInterval = 2
)

func (st *step) startRecovery() {
	r := &st.s.Config.Recovery
	if !r.StartedAt.IsZero() {
		return
	}
	host := st.s.Self.Host
	*r = blackboard.Recovery{
		StartedAt:   st.now,
		Question:    ranker.PseudoRandom(host, st.now, st.s.Self.Incarnation),
		AskHeadAt:   st.now.Add(firstHeadAskDelay + ranker.Jitter(host, st.now, 6, headAskInterval)),
		ReadAt:      st.now.Add(firstOwnReadDelay + ranker.Jitter(host, st.now, 7, maxOwnReadJitter)),
		AskFloorsAt: st.now.Add(firstFloorAskDelay + ranker.Jitter(host, st.now, 8, floorAskInterval)),
		WarnAt:      st.now.Add(recoveryWarnInterval),
	}
}

func (st *step) tickRecovery() {
	c := &st.s.Config
	if !c.Recovering {
		return
	}
	r := &c.Recovery
	if !st.now.Before(r.AskHeadAt) {
		r.AskHeadAt = st.now.Add(headAskInterval + ranker.Jitter(st.s.Self.Host, st.now, 9, headAskInterval))
		st.sendHeadAsk()
	}
	if !st.now.Before(r.ReadAt) {
		r.ReadAt = st.now.Add(ownReadInterval)
		st.maybeReadHead()
	}
	if !st.now.Before(r.AskFloorsAt) {
		r.AskFloorsAt = st.now.Add(floorAskInterval)
		st.askFloors()
	}
	if !st.now.Before(r.WarnAt) {
		r.WarnAt = st.now.Add(recoveryWarnInterval)
		st.addEffect(WriteLog{logger.RecoveryBlocked, logger.Fields{Count: len(r.Answers)}})
	}
}

// endRecovery ends the recovery. The caller knows that this host has run no
// version greater than floor.
func (st *step) endRecovery(floor uint64, reason string) {
	c := &st.s.Config
	if !c.Recovering {
		return
	}
	c.Floor = max(c.Floor, floor)
	c.MinVersion = c.Floor
	c.Recovering = false
	c.Recovery.Asked = nil
	c.Recovery.Answers = nil
	st.addEffect(WriteLog{logger.RecoveryEnded, logger.Fields{Version: c.Floor, Reason: reason}})
	st.tickStage()
}

// sendHeadAsk asks a relay for a fresh read of the head, or the parent, or else
// a random member.
func (st *step) sendHeadAsk() {
	address := st.s.Config.Parent
	if relays := st.otherRelays(); len(relays) > 0 {
		address = relays[0].Address
	}
	if address == "" {
		address = st.randomMemberAddress()
	}
	if address == "" {
		return
	}
	st.sendHeadAskTo(address, &wirepb.HeadAsk{Question: st.s.Config.Recovery.Question, Address: st.s.Self.Address})
}

func (st *step) randomMemberAddress() string {
	members := slices.DeleteFunc(ranker.Rank(st.s.Members.ByHost), func(m blackboard.Member) bool {
		return m.Host == st.s.Self.Host
	})
	if len(members) == 0 {
		return ""
	}
	return members[ranker.PseudoRandom(st.s.Self.Host, st.now, 10)%uint64(len(members))].Address
}

func (st *step) sendHeadAskTo(address string, ask *wirepb.HeadAsk) {
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_HeadAsk{HeadAsk: ask}})
}

// handleHeadAsk queues the request if this node is a relay, and else forwards
// it to the parent, up to maxHeadAskHops times.
func (st *step) handleHeadAsk(a *wirepb.HeadAsk) {
	src := &st.s.Config.Source
	if st.s.Lease.Slot >= 0 {
		q := blackboard.HeadQuestion{Address: a.GetAddress(), Question: a.GetQuestion(), Received: st.now}
		if len(src.PendingQuestions) < maxPendingQuestions && !slices.ContainsFunc(src.PendingQuestions, q.IsRepeatOf) {
			src.PendingQuestions = append(slices.Clone(src.PendingQuestions), q)
		}
		return
	}
	if st.s.Config.Parent != "" && a.GetHops() < maxHeadAskHops {
		ask := &wirepb.HeadAsk{Question: a.GetQuestion(), Address: a.GetAddress(), Hops: a.GetHops() + 1}
		st.sendHeadAskTo(st.s.Config.Parent, ask)
	}
}

func (st *step) handleHeadAnswer(a *wirepb.HeadAnswer) {
	if a.GetQuestion() == st.s.Config.Recovery.Question {
		st.endRecovery(a.GetVersion(), "fresh read by a relay")
	}
}

// maybeReadHead reads the head with a probability that bounds the number of
// reads by the whole data centre.
func (st *step) maybeReadHead() {
	members := max(1, len(st.s.Members.ByHost))
	if st.s.Lease.Slot < 0 && ranker.PseudoRandom(st.s.Self.Host, st.now, 11)%uint64(members) >= ownReadersPerInterval {
		return
	}
	st.readHead()
}

// askFloors asks some of the members that have not answered for their floors.
func (st *step) askFloors() {
	r := &st.s.Config.Recovery
	asked := map[string]time.Time{}
	maps.Copy(asked, r.Asked)
	remaining := maxFloorAsksPerRound
	for _, host := range slices.Sorted(maps.Keys(st.s.Members.ByHost)) {
		m := st.s.Members.ByHost[host]
		_, answered := r.Answers[host]
		if remaining == 0 || host == st.s.Self.Host || answered || st.now.Before(asked[host].Add(floorAskRetryDelay)) {
			continue
		}
		remaining--
		asked[host] = st.now
		st.send(m.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_FloorAsk{
			FloorAsk: &wirepb.FloorAsk{Question: r.Question},
		}})
	}
	r.Asked = asked
}

func (st *step) handleFloorAsk(frame *wirepb.FollowFrame, a *wirepb.FloorAsk) {
	st.send(frame.GetAddress(), &wirepb.FollowFrame{Body: &wirepb.FollowFrame_FloorAnswer{FloorAnswer: &wirepb.FloorAnswer{
		Question: a.GetQuestion(), Floor: st.s.Config.Floor, Recovering: st.s.Config.Recovering,
		Members: uint32(len(st.s.Members.ByHost)),
	}}})
}

func (st *step) handleFloorAnswer(frame *wirepb.FollowFrame, a *wirepb.FloorAnswer) {
	c := &st.s.Config
	r := &c.Recovery
	if !c.Recovering || a.GetQuestion() != r.Question {
		return
	}
	r.MaxReportedMembers = max(r.MaxReportedMembers, int(a.GetMembers()))
	if a.GetRecovering() {
		return
	}
	answers := maps.Clone(r.Answers)
	if answers == nil {
		answers = map[string]uint64{}
	}
	answers[frame.GetHost()] = a.GetFloor()
	r.Answers = answers
	if floor, ok := floorFromAnswers(&st.s); ok {
		st.endRecovery(floor, "floors of the members")
	}
}

// floorFromAnswers returns the greatest floor and whether the answers suffice
// to rely on it. A host that did not answer, or that is recovering itself, may
// be a witness of a greater version, so the missing hosts must be too few to
// include every witness of a version. By requiredWitnesses a version has at
// least two witnesses if more than two other hosts are known, and they are on
// two racks if more than two other racks are known.
func floorFromAnswers(s *blackboard.State) (uint64, bool) {
	r := &s.Config.Recovery
	others, missing := 0, 0
	racks := map[string]bool{}
	missingRacks := map[string]bool{}
	floor := uint64(0)
	for host, m := range s.Members.ByHost {
		if host == s.Self.Host {
			continue
		}
		others++
		racks[m.Rack] = true
		answer, ok := r.Answers[host]
		floor = max(floor, answer)
		if !ok {
			missing++
			missingRacks[m.Rack] = true
		}
	}
	delete(racks, s.Self.Rack)
	switch {
	case r.MaxReportedMembers > len(s.Members.ByHost):
		return 0, false
	case others < witnessHosts:
		return 0, false
	case missing == 0:
		return floor, true
	case others > witnessHosts && missing < witnessHosts:
		return floor, true
	default:
		return floor, len(racks) > witnessRacks && len(missingRacks) < witnessRacks
	}
}
