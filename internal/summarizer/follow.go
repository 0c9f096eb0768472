package summarizer

import (
	"maps"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// receiveDelta handles one delta from a followed node.
func (d *draft) receiveDelta(delta *wirepb.SummaryDelta) {
	if delta.GetDataCentre() == d.state.Self.DataCentre {
		return
	}
	old := d.remote[delta.GetDataCentre()]
	if delta.GetEpoch() < old.Epoch || delta.GetEpoch() == old.Epoch && delta.GetSequence() <= old.Sequence {
		return
	}
	if delta.GetBase() > 0 && delta.GetEpoch() != old.Epoch {
		d.restartStreams(delta.GetDataCentre())
		return
	}
	next, digestMatches := Apply(old, delta)
	if !digestMatches {
		old.Epoch, old.Sequence = 0, 0
		d.setRemote(old)
		d.restartStreams(delta.GetDataCentre())
		return
	}
	d.resetFailures(delta.GetDataCentre())
	if delta.GetBase() > 0 && len(delta.GetServices()) == 0 {
		d.recordHeartbeat(delta)
		return
	}
	next.Received = d.publishedAt(delta)
	d.setRemote(next)
}

// publishedAt returns when a delta left its data centre, by this node's clock.
func (d *draft) publishedAt(delta *wirepb.SummaryDelta) time.Time {
	return d.now.Add(-min(SummaryRetention, time.Duration(delta.GetAge())*time.Millisecond))
}

func (d *draft) setRemote(s blackboard.DataCentreSummary) {
	d.remote = maps.Clone(d.remote)
	if d.remote == nil {
		d.remote = map[string]blackboard.DataCentreSummary{}
	}
	d.remote[s.DataCentre] = s
}

// recordHeartbeat records that a summary is unchanged. flushHeartbeats later
// makes that visible to the readers of Remote.
func (d *draft) recordHeartbeat(delta *wirepb.SummaryDelta) {
	heartbeats := maps.Clone(d.exchange.Heartbeats)
	if heartbeats == nil {
		heartbeats = map[string]blackboard.SummaryHeartbeat{}
	}
	heartbeats[delta.GetDataCentre()] = blackboard.SummaryHeartbeat{
		Epoch: delta.GetEpoch(), Sequence: delta.GetSequence(), Received: d.publishedAt(delta),
	}
	d.exchange.Heartbeats = heartbeats
}

// flushHeartbeats applies the recorded heartbeats to Remote, and drops data
// centres that have been silent for longer than SummaryRetention.
func (d *draft) flushHeartbeats() {
	heartbeats := d.exchange.Heartbeats
	d.exchange.Heartbeats = nil
	expired := func(_ string, s blackboard.DataCentreSummary) bool { return d.now.Sub(s.Received) > SummaryRetention }
	anyExpired := false
	for dc, s := range d.remote {
		anyExpired = anyExpired || expired(dc, s)
	}
	if len(heartbeats) == 0 && !anyExpired {
		return
	}
	d.remote = maps.Clone(d.remote)
	for dc, heartbeat := range heartbeats {
		s := d.remote[dc]
		if s.Epoch == heartbeat.Epoch && s.Sequence < heartbeat.Sequence {
			s.Sequence, s.Received = heartbeat.Sequence, heartbeat.Received
			d.remote[dc] = s
		}
	}
	maps.DeleteFunc(d.remote, expired)
}

// handleRelaysFound stores the relays of the other data centres. A failed search changes nothing.
func (d *draft) handleRelaysFound(m blackboard.RelaysFound) {
	d.now = m.Now
	if m.Relays == nil {
		return
	}
	relays := maps.Clone(m.Relays)
	delete(relays, d.state.Self.DataCentre)
	// A data centre that has no relays at present keeps those last known.
	for dc, known := range d.exchange.Relays {
		if len(relays[dc]) == 0 {
			relays[dc] = known
		}
	}
	d.exchange.Relays = relays
}

// updateFollows starts and ends streams to match what this node should follow.
func (d *draft) updateFollows() {
	wanted := d.wantedAddresses()
	follows := maps.Clone(d.exchange.Follows)
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
		if len(wanted[key]) == 0 || d.shouldKeep(f, wanted[key]) {
			continue
		}
		f.Address = d.chooseAddress(wanted[key], f)
		f.Open = true
		f.ReselectAt = time.Time{}
		if key == blackboard.FollowAll && d.state.Config.Parent == "" {
			f.ReselectAt = d.now.Add(d.jitter(reselectPeriod))
		}
		follows[key] = f
		d.effects = append(d.effects, d.newFollow(f))
	}
	d.exchange.Follows = follows
}

// wantedAddresses returns the addresses to choose from, by key. Only the
// publisher follows other data centres; the other relays follow the publisher.
func (d *draft) wantedAddresses() map[string][]string {
	if d.isRelay() {
		if d.isPublisher() {
			return d.exchange.Relays
		}
		if publisher := d.publisher(); publisher.Address != "" {
			return map[string][]string{blackboard.FollowAll: {publisher.Address}}
		}
		return nil
	}
	if parent := d.state.Config.Parent; parent != "" {
		return map[string][]string{blackboard.FollowAll: {parent}}
	}
	follows := d.exchange.Follows[blackboard.FollowAll]
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

// shouldKeep reports whether an open stream should stay as it is, or a closed one must not be retried yet.
func (d *draft) shouldKeep(f blackboard.FollowedNode, wanted []string) bool {
	if f.Open {
		isDue := !f.ReselectAt.IsZero() && !d.now.Before(f.ReselectAt)
		return !isDue && slices.Contains(wanted, f.Address)
	}
	return d.now.Before(f.RetryAt)
}

// chooseAddress returns a random address, other than the one last followed if there is a choice.
func (d *draft) chooseAddress(addresses []string, f blackboard.FollowedNode) string {
	rest := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == f.Address })
	if len(rest) == 0 {
		return addresses[0]
	}
	return rest[d.rand().IntN(len(rest))]
}

// newFollow returns the effect of following a node from this node's current marks.
func (d *draft) newFollow(f blackboard.FollowedNode) Follow {
	follow := Follow{Key: f.Key, Address: f.Address, Self: d.state.Self, Marks: Marks{}}
	if f.Key != blackboard.FollowAll {
		follow.Only = f.Key
	}
	for dc, s := range d.remote {
		follow.Marks[dc] = Mark{s.Epoch, s.Sequence}
	}
	return follow
}

// restartStreams restarts the streams that may have delivered a delta of the
// data centre that does not apply.
func (d *draft) restartStreams(dataCentre string) {
	follows := maps.Clone(d.exchange.Follows)
	for _, key := range []string{dataCentre, blackboard.FollowAll} {
		if f, found := follows[key]; found && f.Open {
			follows[key] = f
			d.effects = append(d.effects, d.newFollow(f))
		}
	}
	d.exchange.Follows = follows
}

// resetFailures resets the failure count of the streams that may have delivered
// a delta of the data centre.
func (d *draft) resetFailures(dataCentre string) {
	for _, key := range []string{dataCentre, blackboard.FollowAll} {
		if f, found := d.exchange.Follows[key]; found && f.Failures > 0 {
			f.Failures = 0
			d.exchange.Follows = maps.Clone(d.exchange.Follows)
			d.exchange.Follows[key] = f
		}
	}
}

// handleStreamEnd schedules the retry of a stream that ended.
func (d *draft) handleStreamEnd(m blackboard.SummaryStreamEnded) {
	d.now = m.Now
	f, found := d.exchange.Follows[m.Key]
	if !found || f.Address != m.Address || !f.Open {
		return
	}
	f.Open = false
	backoff := min(maxRetryBackoff, retryBackoffBase<<min(f.Failures, 8))
	f.Failures++
	f.RetryAt = d.now.Add(d.jitter(backoff))
	d.exchange.Follows = maps.Clone(d.exchange.Follows)
	d.exchange.Follows[m.Key] = f
	if f.Key != blackboard.FollowAll && f.Failures >= failuresBeforeSearch {
		d.scheduleSearch(f.Failures - failuresBeforeSearch)
	}
}

// scheduleSearch brings the next search for relays forward, since those known
// may be gone. The delay doubles with each further failure.
func (d *draft) scheduleSearch(failures int) {
	wait := min(relaysPeriod, searchBackoffBase<<min(failures, 8))
	searchAt := d.now.Add(d.jitter(wait))
	if searchAt.Before(d.exchange.NextRelayRead) {
		d.exchange.NextRelayRead = searchAt
	}
}
