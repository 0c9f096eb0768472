package gossiper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// draft is the next state of the entry while one message is handled. The parts
// of the state that readers share are copied before their first change.
type draft struct {
	state *blackboard.State
	seeds []string
	now   time.Time
	self  blackboard.Self

	g       blackboard.Gossip
	members map[string]blackboard.Member
	effects []blackboard.Effect

	membersCopied, rumoursCopied, orderCopied, suspicionsCopied bool

	random *rand.Rand
}

func newDraft(s *blackboard.State, seeds []string) *draft {
	d := &draft{state: s, seeds: seeds, self: s.Self, members: s.Members.ByHost}
	if s.Members.Gossip != nil {
		d.g = *s.Members.Gossip
		d.now = d.g.LastTick
		return d
	}
	d.g.Seed = xxhash.Sum64String(d.self.Host) ^ d.self.Incarnation
	d.setMember(blackboard.Member{
		Host:        d.self.Host,
		Address:     d.self.Address,
		DataCentre:  d.self.DataCentre,
		Rack:        d.self.Rack,
		Incarnation: d.self.Incarnation,
		Status:      blackboard.MemberAlive,
		Target:      ownTarget(s),
	})
	return d
}

func (d *draft) commit(s blackboard.State) blackboard.State {
	g := d.g
	s.Members.Gossip = &g
	s.Members.ByHost = d.members
	return s
}

// rand returns random numbers that the state alone determines.
func (d *draft) rand() *rand.Rand {
	if d.random == nil {
		d.g.Draws++
		d.random = rand.New(rand.NewPCG(d.g.Seed, d.g.Draws))
	}
	return d.random
}

// jitter returns a time of three to five quarters of the given one.
func (d *draft) jitter(period time.Duration) time.Duration {
	return period*3/4 + d.upTo(period/2)
}

// upTo returns a random time below the given one.
func (d *draft) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.rand().Int64N(int64(limit)))
}

func (d *draft) own() blackboard.Member { return d.members[d.self.Host] }

// setMember replaces a record and keeps the digests, the count and the probing order in step.
func (d *draft) setMember(m blackboard.Member) {
	old, known := d.members[m.Host]
	d.copyMembers()
	d.members[m.Host] = m
	d.g.BucketDigests[bucketOf(m.Host)] ^= digestOf(old) ^ digestOf(m)
	if m.Host == d.self.Host {
		return
	}
	wasLive := known && !gone(old.Status)
	isLive := !gone(m.Status)
	switch {
	case isLive && !wasLive:
		d.g.LiveMembers++
		d.insertInOrder(m.Host, known)
	case wasLive && !isLive:
		d.g.LiveMembers--
	}
}

func (d *draft) removeMember(host string) {
	d.copyMembers()
	delete(d.members, host)
}

func (d *draft) copyMembers() {
	if d.membersCopied {
		return
	}
	d.membersCopied = true
	if d.members = maps.Clone(d.members); d.members == nil {
		d.members = map[string]blackboard.Member{}
	}
}

// insertInOrder gives a member a random place in the rest of the probing round.
func (d *draft) insertInOrder(host string, known bool) {
	if known && slices.Contains(d.g.ProbeOrder, host) {
		return
	}
	d.copyOrder()
	at := d.g.NextProbeIndex + d.rand().IntN(len(d.g.ProbeOrder)-d.g.NextProbeIndex+1)
	d.g.ProbeOrder = slices.Insert(d.g.ProbeOrder, at, host)
}

func (d *draft) copyOrder() {
	if !d.orderCopied {
		d.g.ProbeOrder = slices.Clone(d.g.ProbeOrder)
		d.orderCopied = true
	}
}

// addRumour puts a member's record at the front of what is passed on.
func (d *draft) addRumour(host string) {
	d.copyRumours()
	d.g.Rumours = slices.DeleteFunc(d.g.Rumours, func(r blackboard.Rumour) bool { return r.Host == host })
	d.g.Rumours = slices.Insert(d.g.Rumours, 0, blackboard.Rumour{Host: host, Expires: d.now.Add(rumourLifetime)})
	if len(d.g.Rumours) > maxRumours {
		d.g.Rumours = d.g.Rumours[:maxRumours]
	}
}

func (d *draft) copyRumours() {
	if !d.rumoursCopied {
		d.g.Rumours = slices.Clone(d.g.Rumours)
		d.rumoursCopied = true
	}
}

// randomLive returns up to n different live members for which keep is true.
func (d *draft) randomLive(n int, keep func(blackboard.Member) bool) []blackboard.Member {
	var found []blackboard.Member
	size := len(d.g.ProbeOrder)
	if size == 0 {
		return nil
	}
	for range 3*n + 5 {
		m := d.members[d.g.ProbeOrder[d.rand().IntN(size)]]
		seen := slices.ContainsFunc(found, func(f blackboard.Member) bool { return f.Host == m.Host })
		if m.Host == "" || gone(m.Status) || seen || !keep(m) {
			continue
		}
		if found = append(found, m); len(found) == n {
			break
		}
	}
	return found
}

func anyMember(blackboard.Member) bool { return true }

// stretch lengthens a time by this node's own ill health.
func (d *draft) stretch(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+d.g.HealthScore)
}

func (d *draft) raiseScore() { d.g.HealthScore = min(d.g.HealthScore+1, maxScore) }

func (d *draft) lowerScore() { d.g.HealthScore = max(d.g.HealthScore-1, 0) }
