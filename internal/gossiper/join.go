package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// FindPeers is the effect of asking the platform for this data centre's relays.
type FindPeers struct{}

// join pings addresses that belong to no live member: every joinPeriod while
// there are no live members, every rejoinPeriod otherwise.
func (d *draft) join() {
	if d.now.Before(d.gossip.NextJoin) {
		return
	}
	if d.gossip.LiveMembers == 0 {
		d.gossip.NextJoin = d.now.Add(d.jitter(joinPeriod))
		d.pingJoinCandidates(joinFanout)
		d.findPeers()
		return
	}
	d.gossip.PeerSearches = 0
	d.gossip.NextJoin = d.now.Add(d.jitter(rejoinPeriod))
	d.pingJoinCandidates(1)
}

// pingJoinCandidates pings up to n random join candidates.
func (d *draft) pingJoinCandidates(n int) {
	candidates := d.joinCandidates()
	d.rand().Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(n, len(candidates))] {
		d.pingAddress(address)
	}
}

// joinCandidates returns the addresses of seeds, relays and dead members that belong to no live member.
func (d *draft) joinCandidates() []string {
	live := map[string]bool{d.self.Address: true}
	var candidates []string
	for _, m := range d.members {
		if !isGone(m.Status) {
			live[m.Address] = true
		} else if m.Status == blackboard.MemberDead {
			candidates = append(candidates, m.Address)
		}
	}
	candidates = append(candidates, d.seeds...)
	for _, r := range d.state.Lease.Relays {
		candidates = append(candidates, r.Address)
	}
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return live[address] })
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

// findPeers searches for peers through the platform, with exponential backoff and jitter.
func (d *draft) findPeers() {
	if d.now.Before(d.gossip.NextPeerSearch) {
		return
	}
	backoff := min(maxFindBackoff, findBackoffBase<<min(d.gossip.PeerSearches, 8))
	d.gossip.PeerSearches++
	d.gossip.NextPeerSearch = d.now.Add(backoff/2 + d.randomBelow(backoff/2))
	d.effects = append(d.effects, FindPeers{})
}

// handlePeersFound pings some of the relays that the platform returned.
func (d *draft) handlePeersFound(m blackboard.PeersFound) {
	d.now = m.Now
	found := slices.Clone(m.Addresses)
	d.rand().Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	for _, address := range found[:min(joinFanout, len(found))] {
		if address != d.self.Address && validAddress(address) {
			d.pingAddress(address)
		}
	}
}

// checkSyncTimeout gives up an exchange that has timed out.
func (d *draft) checkSyncTimeout() {
	if !d.gossip.SyncDeadline.IsZero() && !d.now.Before(d.gossip.SyncDeadline) {
		d.syncFailed(d.now)
	}
}

func (d *draft) syncFailed(now time.Time) {
	d.now = now
	d.gossip.SyncDeadline = time.Time{}
	d.gossip.NextSync = now.Add(d.jitter(syncRetryPeriod))
}
