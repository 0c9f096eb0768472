package summarizer

import (
	"maps"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// take takes in one delta of a followed node.
func (d *draft) take(delta *wirepb.SummaryDelta) {
	if delta.GetDataCentre() == d.state.Self.DataCentre {
		return
	}
	old := d.remote[delta.GetDataCentre()]
	if delta.GetEpoch() < old.Epoch || delta.GetEpoch() == old.Epoch && delta.GetSequence() <= old.Sequence {
		return
	}
	if delta.GetBase() > 0 && delta.GetEpoch() != old.Epoch {
		d.refollow(delta.GetDataCentre())
		return
	}
	next, fits := Apply(old, delta)
	if !fits {
		old.Epoch, old.Sequence = 0, 0
		d.setRemote(old)
		d.refollow(delta.GetDataCentre())
		return
	}
	d.succeeded(delta.GetDataCentre())
	if delta.GetBase() > 0 && len(delta.GetServices()) == 0 {
		d.heartbeat(delta)
		return
	}
	next.Received = d.learned(delta)
	d.setRemote(next)
}

// learned returns when the news left its data centre, by this node's clock.
func (d *draft) learned(delta *wirepb.SummaryDelta) time.Time {
	return d.now.Add(-min(KeepSilent, time.Duration(delta.GetAge())*time.Millisecond))
}

func (d *draft) setRemote(s blackboard.DataCentreSummary) {
	d.remote = maps.Clone(d.remote)
	if d.remote == nil {
		d.remote = map[string]blackboard.DataCentreSummary{}
	}
	d.remote[s.DataCentre] = s
}

// heartbeat notes that a summary stands as it was; flush tells the readers of Remote.
func (d *draft) heartbeat(delta *wirepb.SummaryDelta) {
	beats := maps.Clone(d.x.Heartbeats)
	if beats == nil {
		beats = map[string]blackboard.SummaryHeartbeat{}
	}
	beats[delta.GetDataCentre()] = blackboard.SummaryHeartbeat{
		Epoch: delta.GetEpoch(), Sequence: delta.GetSequence(), Received: d.learned(delta),
	}
	d.x.Heartbeats = beats
}

// flush takes heartbeats into Remote, and drops data centres that were silent for KeepSilent.
func (d *draft) flush() {
	beats := d.x.Heartbeats
	d.x.Heartbeats = nil
	expired := func(_ string, s blackboard.DataCentreSummary) bool { return d.now.Sub(s.Received) > KeepSilent }
	silent := false
	for dc, s := range d.remote {
		silent = silent || expired(dc, s)
	}
	if len(beats) == 0 && !silent {
		return
	}
	d.remote = maps.Clone(d.remote)
	for dc, beat := range beats {
		s := d.remote[dc]
		if s.Epoch == beat.Epoch && s.Sequence < beat.Sequence {
			s.Sequence, s.Received = beat.Sequence, beat.Received
			d.remote[dc] = s
		}
	}
	maps.DeleteFunc(d.remote, expired)
}

// relaysFound remembers the relays of the other data centres. A failed search changes nothing.
func (d *draft) relaysFound(m blackboard.RelaysFound) {
	d.now = m.Now
	if m.Relays == nil {
		return
	}
	relays := maps.Clone(m.Relays)
	delete(relays, d.state.Self.DataCentre)
	// A data centre without relays at the moment keeps those last known.
	for dc, known := range d.x.Relays {
		if len(relays[dc]) == 0 {
			relays[dc] = known
		}
	}
	d.x.Relays = relays
}

// follow starts and ends streams so that they fit what the node should follow.
func (d *draft) follow() {
	wanted := d.wanted()
	follows := maps.Clone(d.x.Follows)
	if follows == nil {
		follows = map[string]blackboard.FollowedNode{}
	}
	for _, key := range slices.Sorted(maps.Keys(follows)) {
		if len(wanted[key]) == 0 {
			delete(follows, key)
			d.effects = append(d.effects, Unfollow{Key: key})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		f := follows[key]
		f.Key = key
		if len(wanted[key]) == 0 || d.keeps(f, wanted[key]) {
			continue
		}
		f.Address = d.choose(wanted[key], f)
		f.Open = true
		f.ReselectAt = time.Time{}
		if key == blackboard.FollowAll && d.state.Config.Parent == "" {
			f.ReselectAt = d.now.Add(d.jitter(choosePeriod))
		}
		follows[key] = f
		d.effects = append(d.effects, d.start(f))
	}
	d.x.Follows = follows
}

// wanted returns the addresses to choose from, by key. The publisher alone
// follows other data centres; its fellow relays follow it.
func (d *draft) wanted() map[string][]string {
	if d.isRelay() {
		if d.isPublisher() {
			return d.x.Relays
		}
		if publisher := d.publisher(); publisher.Address != "" {
			return map[string][]string{blackboard.FollowAll: {publisher.Address}}
		}
		return nil
	}
	if parent := d.state.Config.Parent; parent != "" {
		return map[string][]string{blackboard.FollowAll: {parent}}
	}
	follows := d.x.Follows[blackboard.FollowAll]
	if follows.Open && d.now.Before(follows.ReselectAt) {
		return map[string][]string{blackboard.FollowAll: {follows.Address}}
	}
	var peers []string
	for host, m := range d.state.Members.ByHost {
		if host != d.state.Self.Host && m.Status == blackboard.MemberAlive {
			peers = append(peers, m.Address)
		}
	}
	slices.Sort(peers)
	return map[string][]string{blackboard.FollowAll: peers}
}

// keeps tells whether a following stands, or must not be tried again yet.
func (d *draft) keeps(f blackboard.FollowedNode, wanted []string) bool {
	if f.Open {
		due := !f.ReselectAt.IsZero() && !d.now.Before(f.ReselectAt)
		return !due && slices.Contains(wanted, f.Address)
	}
	return d.now.Before(f.RetryAt)
}

// choose picks a node at random, not the one that just failed if there is another.
func (d *draft) choose(addresses []string, f blackboard.FollowedNode) string {
	rest := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == f.Address })
	if len(rest) == 0 {
		return addresses[0]
	}
	return rest[d.rand().IntN(len(rest))]
}

func (d *draft) start(f blackboard.FollowedNode) Follow {
	follow := Follow{Key: f.Key, Address: f.Address, Self: d.state.Self, Marks: Marks{}}
	if f.Key != blackboard.FollowAll {
		follow.Only = f.Key
	}
	for dc, s := range d.remote {
		follow.Marks[dc] = Mark{s.Epoch, s.Sequence}
	}
	return follow
}

// refollow starts the stream anew that brought a delta which does not fit.
func (d *draft) refollow(dataCentre string) {
	follows := maps.Clone(d.x.Follows)
	for _, key := range []string{dataCentre, blackboard.FollowAll} {
		if f, found := follows[key]; found && f.Open {
			follows[key] = f
			d.effects = append(d.effects, d.start(f))
		}
	}
	d.x.Follows = follows
}

// succeeded forgets the failures of the stream that brought a delta.
func (d *draft) succeeded(dataCentre string) {
	for _, key := range []string{dataCentre, blackboard.FollowAll} {
		if f, found := d.x.Follows[key]; found && f.Failures > 0 {
			f.Failures = 0
			d.x.Follows = maps.Clone(d.x.Follows)
			d.x.Follows[key] = f
		}
	}
}

// ended notes when to try again after a stream ended.
func (d *draft) ended(m blackboard.SummaryStreamEnded) {
	d.now = m.Now
	f, found := d.x.Follows[m.Key]
	if !found || f.Address != m.Address || !f.Open {
		return
	}
	f.Open = false
	backoff := min(retryCap, retryStart<<min(f.Failures, 8))
	f.Failures++
	f.RetryAt = d.now.Add(d.jitter(backoff))
	d.x.Follows = maps.Clone(d.x.Follows)
	d.x.Follows[m.Key] = f
	if f.Key != blackboard.FollowAll && f.Failures >= failuresBeforeSearch {
		d.searchSoon(f.Failures - failuresBeforeSearch)
	}
}

// searchSoon brings the next search for relays forward, since those known may
// be gone. The more streams have failed, the later it comes.
func (d *draft) searchSoon(failures int) {
	wait := min(relaysPeriod, searchStart<<min(failures, 8))
	soon := d.now.Add(d.jitter(wait))
	if soon.Before(d.x.NextRelayRead) {
		d.x.NextRelayRead = soon
	}
}
