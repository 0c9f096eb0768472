package subscriber

import (
	"maps"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// noteDepartures keeps the statements that are newer than the known ones of their hosts.
func noteDepartures(s blackboard.State, reported ...blackboard.HostDeparture) blackboard.State {
	departures, cloned := s.Members.Departures, false
	for _, d := range reported {
		if d.Host == "" || !changesDeparture(d, departures[d.Host]) {
			continue
		}
		if !cloned {
			departures, cloned = cloneDepartures(departures), true
		}
		departures[d.Host] = d
	}
	if !cloned {
		return s
	}
	return replaceDepartures(s, departures)
}

// changesDeparture reports whether a statement is newer than the known one, or the same
// one by the node of the host itself.
func changesDeparture(d, known blackboard.HostDeparture) bool {
	if d.TargetDeparture == known.TargetDeparture {
		return d.Stated && !known.Stated
	}
	return d.Supersedes(known.TargetDeparture)
}

// ownDeparture returns the statement of the target of this host.
func ownDeparture(s *blackboard.State) blackboard.HostDeparture {
	return blackboard.HostDeparture{
		Host: s.Self.Host, DataCentre: s.Self.DataCentre, TargetDeparture: s.Target.Departure, Stated: s.Target.Departure.ID != "",
	}
}

// doubtDeparture notes that the next process of a node may not know what its target stated.
func doubtDeparture(s blackboard.State, host string) blackboard.State {
	d, known := s.Members.Departures[host]
	if !known || !d.Stated {
		return s
	}
	departures := cloneDepartures(s.Members.Departures)
	d.Stated = false
	departures[host] = d
	return replaceDepartures(s, departures)
}

// forgetDepartures drops the statements of other hosts for which isGone is true.
func forgetDepartures(s blackboard.State, isGone func(host string) bool) blackboard.State {
	departures := cloneDepartures(s.Members.Departures)
	maps.DeleteFunc(departures, func(host string, _ blackboard.HostDeparture) bool {
		return host != s.Self.Host && isGone(host)
	})
	if len(departures) == len(s.Members.Departures) {
		return s
	}
	return replaceDepartures(s, departures)
}

// forgetUnlisted drops the statements of hosts that the platform does not list and that
// are no members.
func forgetUnlisted(s blackboard.State, listed []blackboard.NodeRecord) blackboard.State {
	isListed := make(map[string]bool, len(listed))
	for _, n := range listed {
		isListed[n.Host] = true
	}
	return forgetDepartures(s, func(host string) bool {
		_, isMember := s.Members.ByHost[host]
		return !isMember && !isListed[host]
	})
}

func cloneDepartures(departures map[string]blackboard.HostDeparture) map[string]blackboard.HostDeparture {
	if departures == nil {
		return map[string]blackboard.HostDeparture{}
	}
	return maps.Clone(departures)
}

func replaceDepartures(s blackboard.State, departures map[string]blackboard.HostDeparture) blackboard.State {
	s.Members.Departures = departures
	s.Members.DepartureChanges++
	return s
}

// departuresFor returns what a subscription to a node tells it: the statement of its
// target, or those of its whole data centre if that is another one. Its process may have
// started after the targets made them.
func (sub *Subscriber) departuresFor(host, dataCentre string) []*wirepb.HostDeparture {
	known := sub.cfg.State().Members.Departures
	if dataCentre == sub.cfg.Self.DataCentre {
		if d, ok := known[host]; ok {
			return []*wirepb.HostDeparture{encodeDeparture(d)}
		}
		return nil
	}
	var out []*wirepb.HostDeparture
	for _, d := range known {
		if d.DataCentre == dataCentre {
			out = append(out, encodeDeparture(d))
		}
	}
	return out
}

// nextDepartures returns what the subscriber has not been sent of the statements that it
// receives: an observer those of this data centre, a node of this data centre that of
// this host, and that of its own host unless its process has made it known itself.
func (f *feed) nextDepartures(current publishedState) []*wirepb.HostDeparture {
	if f.wantsDataCentre {
		var out []*wirepb.HostDeparture
		for _, d := range current.departures {
			if d.DataCentre == f.sub.cfg.Self.DataCentre {
				out = f.appendDeparture(out, d)
			}
		}
		return out
	}
	out := f.appendDeparture(nil, current.departures[f.sub.cfg.Self.Host])
	if d := current.departures[f.subscriber]; !d.Stated {
		out = f.appendDeparture(out, d)
	}
	return out
}

func (f *feed) appendDeparture(out []*wirepb.HostDeparture, d blackboard.HostDeparture) []*wirepb.HostDeparture {
	if d.ID == "" || f.sentDepartures[d.Host] == d.TargetDeparture {
		return out
	}
	f.sentDepartures[d.Host] = d.TargetDeparture
	return append(out, encodeDeparture(d))
}

func encodeDeparture(d blackboard.HostDeparture) *wirepb.HostDeparture {
	return &wirepb.HostDeparture{
		Host: d.Host, DataCentre: d.DataCentre, Id: d.ID, Started: d.Started, Sequence: d.Sequence, Leaving: d.Leaving,
	}
}

// postDepartures posts the statements that a node has sent. sender is empty when the
// node does not speak for its own target.
func (sub *Subscriber) postDepartures(list []*wirepb.HostDeparture, sender string, post blackboard.Post) {
	if len(list) == 0 {
		return
	}
	msg := blackboard.DeparturesReported{Now: sub.cfg.Now()}
	for _, d := range list {
		msg.Departures = append(msg.Departures, blackboard.HostDeparture{
			Host: d.GetHost(), DataCentre: d.GetDataCentre(), Stated: sender != "" && d.GetHost() == sender,
			TargetDeparture: blackboard.TargetDeparture{
				ID: d.GetId(), Started: d.GetStarted(), Sequence: d.GetSequence(), Leaving: d.GetLeaving(),
			},
		})
	}
	post(msg)
}
