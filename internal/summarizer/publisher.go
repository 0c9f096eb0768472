package summarizer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// publish brings the own data centre's summary up to date while this node is the publisher.
func (d *draft) publish() {
	own := &d.x.Own
	if !d.isPublisher() {
		d.x.MaxSeenEpoch = max(d.x.MaxSeenEpoch, own.Epoch)
		*own = blackboard.DataCentreSummary{}
		return
	}
	superseded := d.x.MaxSeenEpoch > own.Epoch && !d.now.Before(d.x.NextEpochRaise)
	if own.Epoch == 0 || superseded {
		d.x.NextEpochRaise = d.now.Add(min(raiseCap, raisePeriod<<d.x.EpochRaises))
		d.x.EpochRaises = min(d.x.EpochRaises+1, maxRaises)
		*own = blackboard.DataCentreSummary{
			DataCentre: d.state.Self.DataCentre,
			Region:     d.state.Self.Region,
			Epoch:      max(uint64(d.now.UnixMicro()), d.x.MaxSeenEpoch+1),
		}
	}
	own.Received = d.now
	next, changed := update(own.Services, Count(d.state.Members.ByHost), own.Sequence+1)
	if !changed && d.now.Before(d.x.NextHeartbeat) {
		return
	}
	d.x.NextHeartbeat = d.now.Add(heartbeatPeriod)
	own.Sequence++
	if changed {
		own.Services = next
		own.Digest = Digest(next)
	}
}

// relays returns the relays of the own data centre. While the platform is down
// no lease is renewed; then those last known go on.
func (d *draft) relays() []blackboard.Relay {
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
	return slices.ContainsFunc(d.relays(), func(r blackboard.Relay) bool { return r.Host == d.state.Self.Host })
}

// publisher returns the live relay with the greatest epoch of the own data centre; the zero value when there is none.
func (d *draft) publisher() blackboard.Member {
	var best blackboard.Relay
	for _, r := range d.relays() {
		m := d.state.Members.ByHost[r.Host]
		live := m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
		if live && (best.Host == "" || r.Epoch > best.Epoch || r.Epoch == best.Epoch && r.Slot > best.Slot) {
			best = r
		}
	}
	return d.state.Members.ByHost[best.Host]
}

func (d *draft) isPublisher() bool { return d.publisher().Host == d.state.Self.Host }

// Count sums up the ready targets of a member table, in order of service.
func Count(members map[string]blackboard.Member) []blackboard.ServiceSummary {
	hosts := map[string][]blackboard.Member{}
	for _, m := range members {
		live := m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
		if live && m.Target.Phase == blackboard.TargetReady {
			hosts[m.Target.Service] = append(hosts[m.Target.Service], m)
		}
	}
	counts := make([]blackboard.ServiceSummary, 0, len(hosts))
	for service, of := range hosts {
		count := blackboard.ServiceSummary{Service: service, Targets: len(of)}
		for _, m := range of {
			count.Slots += m.Target.Slots
		}
		count.Hosts = sample(service, of)
		counts = append(counts, count)
	}
	slices.SortFunc(counts, byService)
	return counts
}

func byService(a, b blackboard.ServiceSummary) int { return strings.Compare(a.Service, b.Service) }

// sample chooses hosts by a hash of service and host, so that the choice is
// spread over the hosts and changes only with those it names.
func sample(service string, of []blackboard.Member) []blackboard.RemoteHost {
	slices.SortFunc(of, func(a, b blackboard.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(service+"/"+a.Host), xxhash.Sum64String(service+"/"+b.Host)),
			strings.Compare(a.Host, b.Host),
		)
	})
	chosen := make([]blackboard.RemoteHost, 0, sampleHosts)
	for _, m := range of[:min(sampleHosts, len(of))] {
		chosen = append(chosen, blackboard.RemoteHost{Host: m.Host, Address: m.Address})
	}
	return chosen
}

// update returns the services after a new count, both in order of service. What
// changed too little to matter stays as it was told. A service without targets
// stays with a count of 0.
func update(told, counted []blackboard.ServiceSummary, sequence uint64) ([]blackboard.ServiceSummary, bool) {
	next := make([]blackboard.ServiceSummary, 0, max(len(told), len(counted)))
	changed := false
	for len(told) > 0 || len(counted) > 0 {
		var old, now blackboard.ServiceSummary
		switch {
		case len(counted) == 0 || len(told) > 0 && told[0].Service < counted[0].Service:
			old = told[0]
			now = blackboard.ServiceSummary{Service: old.Service}
			told = told[1:]
		case len(told) == 0 || counted[0].Service < told[0].Service:
			now = counted[0]
			counted = counted[1:]
		default:
			old, now = told[0], counted[0]
			told, counted = told[1:], counted[1:]
		}
		if old.Service != "" && !matters(old, now) {
			next = append(next, old)
			continue
		}
		now.ChangedSequence = sequence
		next = append(next, now)
		changed = true
	}
	return next, changed
}

// matters tells whether a change is worth telling other data centres.
func matters(old, now blackboard.ServiceSummary) bool {
	if (old.Targets == 0) != (now.Targets == 0) || !slices.Equal(old.Hosts, now.Hosts) {
		return true
	}
	difference := max(old.Slots-now.Slots, now.Slots-old.Slots)
	return difference > 0 && difference*countTolerance >= old.Slots
}
