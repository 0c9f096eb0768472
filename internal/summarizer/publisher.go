package summarizer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// publish updates the summary of this node's data centre while this node is the publisher.
func (d *draft) publish() {
	own := &d.exchange.Own
	if !d.isPublisher() {
		d.exchange.MaxSeenEpoch = max(d.exchange.MaxSeenEpoch, own.Epoch)
		*own = blackboard.DataCentreSummary{}
		return
	}
	isSuperseded := d.exchange.MaxSeenEpoch > own.Epoch && !d.now.Before(d.exchange.NextEpochRaise)
	if own.Epoch == 0 || isSuperseded {
		d.exchange.NextEpochRaise = d.now.Add(min(maxEpochBackoff, epochBackoffBase<<d.exchange.EpochRaises))
		d.exchange.EpochRaises = min(d.exchange.EpochRaises+1, maxEpochBackoffDoublings)
		*own = blackboard.DataCentreSummary{
			DataCentre: d.state.Self.DataCentre,
			Region:     d.state.Self.Region,
			Epoch:      max(uint64(d.now.UnixMicro()), d.exchange.MaxSeenEpoch+1),
		}
	}
	own.Received = d.now
	next, changed := updateServices(own.Services, CountTargets(d.state.Members.ByHost), own.Sequence+1)
	if !changed && d.now.Before(d.exchange.NextHeartbeat) {
		return
	}
	d.exchange.NextHeartbeat = d.now.Add(heartbeatPeriod)
	own.Sequence++
	if changed {
		own.Services = next
		own.Digest = Digest(next)
	}
}

// currentRelays returns the relays of this node's data centre. While the
// platform is down no lease is renewed; once all have expired, the relays last
// known continue.
func (d *draft) currentRelays() []blackboard.Relay {
	lease := &d.state.Lease
	self := blackboard.Relay{
		Slot: lease.Slot, Epoch: lease.Epoch, Host: d.state.Self.Host,
		Address: d.state.Self.Address, Expires: lease.Expires,
	}
	var current []blackboard.Relay
	if lease.Slot >= 0 && d.now.Before(lease.Expires) {
		current = append(current, self)
	}
	for _, r := range lease.Relays {
		if r.Host != self.Host && d.now.Before(r.Expires) {
			current = append(current, r)
		}
	}
	if len(current) == 0 {
		return lease.Relays
	}
	return current
}

func (d *draft) isRelay() bool {
	return slices.ContainsFunc(d.currentRelays(), func(r blackboard.Relay) bool { return r.Host == d.state.Self.Host })
}

// publisher returns the live relay with the greatest epoch in this node's data
// centre; the zero value if there is none.
func (d *draft) publisher() blackboard.Member {
	var best blackboard.Relay
	for _, r := range d.currentRelays() {
		m := d.state.Members.ByHost[r.Host]
		isLive := m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
		if isLive && (best.Host == "" || r.Epoch > best.Epoch || r.Epoch == best.Epoch && r.Slot > best.Slot) {
			best = r
		}
	}
	return d.state.Members.ByHost[best.Host]
}

func (d *draft) isPublisher() bool { return d.publisher().Host == d.state.Self.Host }

// CountTargets counts the ready targets in a member table by service, sorted by service.
func CountTargets(members map[string]blackboard.Member) []blackboard.ServiceSummary {
	hosts := map[string][]blackboard.Member{}
	for _, m := range members {
		isLive := m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
		if isLive && m.Target.Phase == blackboard.TargetReady {
			hosts[m.Target.Service] = append(hosts[m.Target.Service], m)
		}
	}
	counts := make([]blackboard.ServiceSummary, 0, len(hosts))
	for service, candidates := range hosts {
		count := blackboard.ServiceSummary{Service: service, Targets: len(candidates)}
		for _, m := range candidates {
			count.Slots += m.Target.Slots
		}
		count.Hosts = chooseHosts(service, candidates)
		counts = append(counts, count)
	}
	slices.SortFunc(counts, compareByService)
	return counts
}

func compareByService(a, b blackboard.ServiceSummary) int {
	return strings.Compare(a.Service, b.Service)
}

// chooseHosts chooses up to maxHostsNamed hosts by a hash of service and host, so that
// the choice is spread over the hosts of all services, and changes only when a
// chosen host goes or a new host precedes it.
func chooseHosts(service string, candidates []blackboard.Member) []blackboard.RemoteHost {
	slices.SortFunc(candidates, func(a, b blackboard.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(service+"/"+a.Host), xxhash.Sum64String(service+"/"+b.Host)),
			strings.Compare(a.Host, b.Host),
		)
	})
	chosen := make([]blackboard.RemoteHost, 0, maxHostsNamed)
	for _, m := range candidates[:min(maxHostsNamed, len(candidates))] {
		chosen = append(chosen, blackboard.RemoteHost{Host: m.Host, Address: m.Address})
	}
	return chosen
}

// updateServices updates the published services from a new count; all lists are
// sorted by service. Services with an insignificant change stay as published. A
// service without targets stays with a count of 0. It reports whether anything
// changed.
func updateServices(published, counts []blackboard.ServiceSummary, sequence uint64) ([]blackboard.ServiceSummary, bool) {
	next := make([]blackboard.ServiceSummary, 0, max(len(published), len(counts)))
	changed := false
	for len(published) > 0 || len(counts) > 0 {
		var old, now blackboard.ServiceSummary
		switch {
		case len(counts) == 0 || len(published) > 0 && published[0].Service < counts[0].Service:
			old = published[0]
			now = blackboard.ServiceSummary{Service: old.Service}
			published = published[1:]
		case len(published) == 0 || counts[0].Service < published[0].Service:
			now = counts[0]
			counts = counts[1:]
		default:
			old, now = published[0], counts[0]
			published, counts = published[1:], counts[1:]
		}
		if old.Service != "" && !isSignificant(old, now) {
			next = append(next, old)
			continue
		}
		now.ChangedSequence = sequence
		next = append(next, now)
		changed = true
	}
	return next, changed
}

// isSignificant reports whether a change is large enough to be published to other data centres.
func isSignificant(old, now blackboard.ServiceSummary) bool {
	if (old.Targets == 0) != (now.Targets == 0) || !slices.Equal(old.Hosts, now.Hosts) {
		return true
	}
	difference := max(old.Slots-now.Slots, now.Slots-old.Slots)
	return difference > 0 && difference*slotChangeDivisor >= old.Slots
}
