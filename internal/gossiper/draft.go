package gossiper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// draft is the next state of the entry Members while one message is handled. The
// parts of the state that are shared with readers are copied on first write.
type draft struct {
	state *blackboard.State
	seeds []string
	now   time.Time
	self  blackboard.Self

	gossip  blackboard.Gossip
	members map[string]blackboard.Member
	effects []blackboard.Effect

	membersCopied, rumoursCopied, probeOrderCopied, suspicionsCopied bool

	random *rand.Rand
}

func newDraft(s *blackboard.State, seeds []string) *draft {
	d := &draft{state: s, seeds: seeds, self: s.Self, members: s.Members.ByHost}
	if s.Members.Gossip != nil {
		d.gossip = *s.Members.Gossip
		d.now = d.gossip.LastTick
		return d
	}
	d.gossip.Seed = xxhash.Sum64String(d.self.Host) ^ d.self.Incarnation
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
	g := d.gossip
	s.Members.Gossip = &g
	s.Members.ByHost = d.members
	return s
}

// rand returns a random number generator that is seeded from the state alone.
func (d *draft) rand() *rand.Rand {
	if d.random == nil {
		d.gossip.Draws++
		d.random = rand.New(rand.NewPCG(d.gossip.Seed, d.gossip.Draws))
	}
	return d.random
}

// jitter returns a random duration between 3/4 and 5/4 of the period.
func (d *draft) jitter(period time.Duration) time.Duration {
	return period*3/4 + d.randomBelow(period/2)
}

// randomBelow returns a random duration from zero up to, but not including, the limit.
func (d *draft) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(d.rand().Int64N(int64(limit)))
}

func (d *draft) ownMember() blackboard.Member { return d.members[d.self.Host] }

// setMember stores a record and updates the digests, the count of live members
// and the probe order accordingly.
func (d *draft) setMember(m blackboard.Member) {
	old, known := d.members[m.Host]
	d.copyMembers()
	d.members[m.Host] = m
	d.gossip.BucketDigests[bucketOf(m.Host)] ^= digestOf(old) ^ digestOf(m)
	if m.Host == d.self.Host {
		return
	}
	wasLive := known && !isGone(old.Status)
	isLive := !isGone(m.Status)
	switch {
	case isLive && !wasLive:
		d.gossip.LiveMembers++
		d.insertInProbeOrder(m.Host, known)
	case wasLive && !isLive:
		d.gossip.LiveMembers--
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

// insertInProbeOrder inserts a member at a random position in the rest of the probe round.
func (d *draft) insertInProbeOrder(host string, known bool) {
	if known && slices.Contains(d.gossip.ProbeOrder, host) {
		return
	}
	d.copyProbeOrder()
	at := d.gossip.NextProbeIndex + d.rand().IntN(len(d.gossip.ProbeOrder)-d.gossip.NextProbeIndex+1)
	d.gossip.ProbeOrder = slices.Insert(d.gossip.ProbeOrder, at, host)
}

func (d *draft) copyProbeOrder() {
	if !d.probeOrderCopied {
		d.gossip.ProbeOrder = slices.Clone(d.gossip.ProbeOrder)
		d.probeOrderCopied = true
	}
}

// addRumour queues a member's record at the front of the rumours.
func (d *draft) addRumour(host string) {
	d.copyRumours()
	d.gossip.Rumours = slices.DeleteFunc(d.gossip.Rumours, func(r blackboard.Rumour) bool { return r.Host == host })
	d.gossip.Rumours = slices.Insert(d.gossip.Rumours, 0, blackboard.Rumour{Host: host, Expires: d.now.Add(rumourLifetime)})
	if len(d.gossip.Rumours) > maxRumours {
		d.gossip.Rumours = d.gossip.Rumours[:maxRumours]
	}
}

func (d *draft) copyRumours() {
	if !d.rumoursCopied {
		d.gossip.Rumours = slices.Clone(d.gossip.Rumours)
		d.rumoursCopied = true
	}
}

// randomLive returns up to n different live members for which keep returns true.
// It draws a bounded number of times, so it may return fewer than there are.
func (d *draft) randomLive(n int, keep func(blackboard.Member) bool) []blackboard.Member {
	var found []blackboard.Member
	size := len(d.gossip.ProbeOrder)
	if size == 0 {
		return nil
	}
	for range 3*n + 5 {
		m := d.members[d.gossip.ProbeOrder[d.rand().IntN(size)]]
		seen := slices.ContainsFunc(found, func(f blackboard.Member) bool { return f.Host == m.Host })
		if m.Host == "" || isGone(m.Status) || seen || !keep(m) {
			continue
		}
		if found = append(found, m); len(found) == n {
			break
		}
	}
	return found
}

func anyMember(blackboard.Member) bool { return true }

// scaleByHealth multiplies a timeout by this node's health score plus one: a
// node that is itself unhealthy waits longer before it blames another.
func (d *draft) scaleByHealth(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+d.gossip.HealthScore)
}

func (d *draft) raiseHealthScore() {
	d.gossip.HealthScore = min(d.gossip.HealthScore+1, maxHealthScore)
}

func (d *draft) lowerHealthScore() { d.gossip.HealthScore = max(d.gossip.HealthScore-1, 0) }
