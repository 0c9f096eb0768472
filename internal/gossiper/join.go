package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// FindPeers is the effect of asking the platform for this data centre's relays.
type FindPeers struct{}

// join contacts addresses outside the live members: often while there are no
// live members, now and then otherwise.
func (d *draft) join() {
	if d.now.Before(d.g.NextJoin) {
		return
	}
	if d.g.LiveMembers == 0 {
		d.g.NextJoin = d.now.Add(d.jitter(joinPeriod))
		d.contactAny(joinFanout)
		d.find()
		return
	}
	d.g.PeerSearches = 0
	d.g.NextJoin = d.now.Add(d.jitter(rejoinPeriod))
	d.contactAny(1)
}

// contactAny contacts up to n random addresses of seeds, relays and dead members that are not live.
func (d *draft) contactAny(n int) {
	outside := d.outside()
	d.rand().Shuffle(len(outside), func(i, j int) { outside[i], outside[j] = outside[j], outside[i] })
	for _, address := range outside[:min(n, len(outside))] {
		d.contact(address)
	}
}

// outside lists the addresses at which a node of this data centre may be that is not a live member.
func (d *draft) outside() []string {
	live := map[string]bool{d.self.Address: true}
	var candidates []string
	for _, m := range d.members {
		if !gone(m.Status) {
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

// find searches for peers through the platform, ever more rarely.
func (d *draft) find() {
	if d.now.Before(d.g.NextPeerSearch) {
		return
	}
	backoff := min(findBackoffCap, findDelay<<min(d.g.PeerSearches, 8))
	d.g.PeerSearches++
	d.g.NextPeerSearch = d.now.Add(backoff/2 + d.upTo(backoff/2))
	d.effects = append(d.effects, FindPeers{})
}

// peersFound contacts some of the relays that the platform named.
func (d *draft) peersFound(m blackboard.PeersFound) {
	d.now = m.Now
	found := slices.Clone(m.Addresses)
	d.rand().Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	for _, address := range found[:min(joinFanout, len(found))] {
		if address != d.self.Address && validAddress(address) {
			d.contact(address)
		}
	}
}

// settleSync gives up an exchange that has no answer.
func (d *draft) settleSync() {
	if !d.g.SyncDeadline.IsZero() && !d.now.Before(d.g.SyncDeadline) {
		d.syncFailed(d.now)
	}
}

func (d *draft) syncFailed(now time.Time) {
	d.now = now
	d.g.SyncDeadline = time.Time{}
	d.g.NextSync = now.Add(d.jitter(syncRetryPeriod))
}
