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
	// recoveryWait is how long after its start a node first asks for floors. It
	// is longer than witnessValid: a version that an earlier process on this
	// host acknowledged has by then been recorded by every other witness, or
	// was never put in force on the strength of that acknowledgement.
	recoveryWait    = 3 * time.Second
	askHeadFirst    = 300 * time.Millisecond
	askHeadEvery    = 1 * time.Second
	ownReadFirst    = 8 * time.Second
	ownReadSpread   = 4 * time.Second
	ownReadEvery    = 1 * time.Second
	askFloorsEvery  = 500 * time.Millisecond
	askFloorAgain   = 3 * time.Second
	floorsAtOnce    = 25
	warnRecovery    = 15 * time.Second
	longestHeadHops = 8
	// ownReaders is how many restarted nodes of a data centre read the head by
	// themselves, on average, in each ownReadEvery.
	ownReaders = 2
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
		AskHeadAt:   st.now.Add(askHeadFirst + ranker.Jitter(host, st.now, 6, askHeadEvery)),
		ReadAt:      st.now.Add(ownReadFirst + ranker.Jitter(host, st.now, 7, ownReadSpread)),
		AskFloorsAt: st.now.Add(recoveryWait + ranker.Jitter(host, st.now, 8, askFloorsEvery)),
		WarnAt:      st.now.Add(warnRecovery),
	}
}

func (st *step) tickRecovery() {
	c := &st.s.Config
	if !c.Recovering {
		return
	}
	r := &c.Recovery
	if !st.now.Before(r.AskHeadAt) {
		r.AskHeadAt = st.now.Add(askHeadEvery + ranker.Jitter(st.s.Self.Host, st.now, 9, askHeadEvery))
		st.sendHeadAsk()
	}
	if !st.now.Before(r.ReadAt) {
		r.ReadAt = st.now.Add(ownReadEvery)
		st.considerOwnRead()
	}
	if !st.now.Before(r.AskFloorsAt) {
		r.AskFloorsAt = st.now.Add(askFloorsEvery)
		st.askFloors()
	}
	if !st.now.Before(r.WarnAt) {
		r.WarnAt = st.now.Add(warnRecovery)
		st.add(Note{logger.RecoveryBlocked, logger.Fields{Count: len(r.Answers)}})
	}
}

// recovered ends the recovery: no version that this host has run is greater than floor.
func (st *step) recovered(floor uint64, reason string) {
	c := &st.s.Config
	if !c.Recovering {
		return
	}
	c.Floor = max(c.Floor, floor)
	c.MinVersion = c.Floor
	c.Recovering = false
	c.Recovery.Asked = nil
	c.Recovery.Answers = nil
	st.add(Note{logger.RecoveryEnded, logger.Fields{Version: c.Floor, Reason: reason}})
	st.tickStage()
}

// sendHeadAsk asks the parent, a known relay, or any other member.
func (st *step) sendHeadAsk() {
	address := st.s.Config.Parent
	if relays := st.relays(); len(relays) > 0 {
		address = relays[0].Address
	}
	if address == "" {
		address = st.anyMember()
	}
	if address == "" {
		return
	}
	st.forwardHeadAsk(address, &wirepb.HeadAsk{Question: st.s.Config.Recovery.Question, Address: st.s.Self.Address})
}

func (st *step) anyMember() string {
	members := slices.DeleteFunc(ranker.Rank(st.s.Members.ByHost), func(m blackboard.Member) bool {
		return m.Host == st.s.Self.Host
	})
	if len(members) == 0 {
		return ""
	}
	return members[ranker.PseudoRandom(st.s.Self.Host, st.now, 10)%uint64(len(members))].Address
}

func (st *step) forwardHeadAsk(address string, ask *wirepb.HeadAsk) {
	st.send(address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_HeadAsk{HeadAsk: ask}})
}

// headAsk queues the question on a relay, and passes it on elsewhere.
func (st *step) headAsk(a *wirepb.HeadAsk) {
	src := &st.s.Config.Source
	if st.s.Lease.Slot >= 0 {
		q := blackboard.HeadQuestion{Address: a.GetAddress(), Question: a.GetQuestion(), Received: st.now}
		if len(src.PendingQuestions) < questionsWaiting && !slices.ContainsFunc(src.PendingQuestions, q.IsRepeatOf) {
			src.PendingQuestions = append(slices.Clone(src.PendingQuestions), q)
		}
		return
	}
	if st.s.Config.Parent != "" && a.GetHops() < longestHeadHops {
		ask := &wirepb.HeadAsk{Question: a.GetQuestion(), Address: a.GetAddress(), Hops: a.GetHops() + 1}
		st.forwardHeadAsk(st.s.Config.Parent, ask)
	}
}

func (st *step) headAnswer(a *wirepb.HeadAnswer) {
	if a.GetQuestion() == st.s.Config.Recovery.Question {
		st.recovered(a.GetVersion(), "fresh read by a relay")
	}
}

// considerOwnRead reads the head with a probability that keeps the reads of the whole data centre bounded.
func (st *step) considerOwnRead() {
	members := max(1, len(st.s.Members.ByHost))
	if st.s.Lease.Slot < 0 && ranker.PseudoRandom(st.s.Self.Host, st.now, 11)%uint64(members) >= ownReaders {
		return
	}
	st.readHead()
}

// askFloors asks some members that have not answered.
func (st *step) askFloors() {
	r := &st.s.Config.Recovery
	asked := map[string]time.Time{}
	maps.Copy(asked, r.Asked)
	left := floorsAtOnce
	for _, host := range slices.Sorted(maps.Keys(st.s.Members.ByHost)) {
		m := st.s.Members.ByHost[host]
		_, answered := r.Answers[host]
		if left == 0 || host == st.s.Self.Host || answered || st.now.Before(asked[host].Add(askFloorAgain)) {
			continue
		}
		left--
		asked[host] = st.now
		st.send(m.Address, &wirepb.FollowFrame{Body: &wirepb.FollowFrame_FloorAsk{
			FloorAsk: &wirepb.FloorAsk{Question: r.Question},
		}})
	}
	r.Asked = asked
}

func (st *step) floorAsk(frame *wirepb.FollowFrame, a *wirepb.FloorAsk) {
	st.send(frame.GetAddress(), &wirepb.FollowFrame{Body: &wirepb.FollowFrame_FloorAnswer{FloorAnswer: &wirepb.FloorAnswer{
		Question: a.GetQuestion(), Floor: st.s.Config.Floor, Recovering: st.s.Config.Recovering,
		Members: uint32(len(st.s.Members.ByHost)),
	}}})
}

func (st *step) floorAnswer(frame *wirepb.FollowFrame, a *wirepb.FloorAnswer) {
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
	if floor, ok := floorEvidence(&st.s); ok {
		st.recovered(floor, "floors of the members")
	}
}

// floorEvidence returns the greatest floor once the answers suffice: a host
// that did not answer, or that is recovering itself, may hide a witness, so
// the missing hosts must be too few to hide every witness of a version. By
// witnessNeed a version has two witnesses where more than two others are known,
// and they are on two racks where more than two other racks are known.
func floorEvidence(s *blackboard.State) (uint64, bool) {
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
