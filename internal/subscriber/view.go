package subscriber

import (
	"maps"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
)

// viewHold is how long an interrupted view stays in use, so that the loss of one node
// does not make a whole data centre unreachable. A source needs less to find another
// node to observe, and the nodes of a data centre to find another observer.
const viewHold = 1 * time.Second

// changeView applies a change that a source reports of its view.
func changeView(s blackboard.State, msg blackboard.ViewChanged) (blackboard.State, []blackboard.Effect) {
	if msg.DataCentre == s.Self.DataCentre || msg.Source != s.Self.Host && !isNeighbour(&s, msg.Source) {
		return s, nil
	}
	before := s.Members.Views[msg.ViewKey]
	nodes := map[string]blackboard.PeerState{}
	if !msg.Whole {
		maps.Copy(nodes, before.Nodes)
	}
	changed := make(map[string]bool, len(msg.Nodes)+len(msg.Gone))
	for _, host := range msg.Gone {
		delete(nodes, host)
		changed[host] = true
	}
	for _, n := range msg.Nodes {
		nodes[n.Record.Host] = n
		changed[n.Record.Host] = true
	}
	s = replaceView(s, msg.ViewKey, &blackboard.View{Nodes: nodes})
	if msg.Whole || !before.ExpiresAt.IsZero() {
		changed = hostsOf(&s, msg.DataCentre, before)
	}
	return deriveMembers(s, msg.DataCentre, changed, msg.Now)
}

func isNeighbour(s *blackboard.State, host string) bool {
	m, known := s.Members.ByHost[host]
	return known && m.DataCentre == s.Self.DataCentre
}

// interruptView lets a view expire, or all views of a source when msg names no data centre.
func interruptView(s blackboard.State, msg blackboard.ViewInterrupted) blackboard.State {
	if msg.DataCentre == "" {
		return interruptViews(s, msg.Source, msg.Now)
	}
	v, known := s.Members.Views[msg.ViewKey]
	switch {
	case !known:
		return s
	case msg.Ended:
		v.ExpiresAt = msg.Now
	case v.ExpiresAt.IsZero():
		v.ExpiresAt = msg.Now.Add(viewHold)
	}
	return replaceView(s, msg.ViewKey, &v)
}

func interruptViews(s blackboard.State, source string, now time.Time) blackboard.State {
	for key := range s.Members.Views {
		if key.Source == source {
			s = interruptView(s, blackboard.ViewInterrupted{ViewKey: key, Now: now})
		}
	}
	return s
}

// replaceView sets a view, or removes it when v is nil.
func replaceView(s blackboard.State, key blackboard.ViewKey, v *blackboard.View) blackboard.State {
	views := make(map[blackboard.ViewKey]blackboard.View, len(s.Members.Views)+1)
	maps.Copy(views, s.Members.Views)
	if v == nil {
		delete(views, key)
	} else {
		views[key] = *v
	}
	s.Members.Views = views
	if key.Source == s.Self.Host {
		s.Members.ViewChanges++
	}
	return s
}

// expireViews drops the views that were interrupted for too long.
func expireViews(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	for key, v := range s.Members.Views {
		if v.ExpiresAt.IsZero() || now.Before(v.ExpiresAt) {
			continue
		}
		var derived []blackboard.Effect
		s = replaceView(s, key, nil)
		s, derived = deriveMembers(s, key.DataCentre, hostsOf(&s, key.DataCentre, v), now)
		effects = append(effects, derived...)
	}
	return s, effects
}

// hostsOf returns the hosts of a data centre that are members or that a view holds.
func hostsOf(s *blackboard.State, dataCentre string, also blackboard.View) map[string]bool {
	hosts := map[string]bool{}
	for host, m := range s.Members.ByHost {
		if m.DataCentre == dataCentre {
			hosts[host] = true
		}
	}
	for host := range also.Nodes {
		hosts[host] = true
	}
	for key, v := range s.Members.Views {
		if key.DataCentre != dataCentre {
			continue
		}
		for host := range v.Nodes {
			hosts[host] = true
		}
	}
	return hosts
}

// viewsOf returns the views of a data centre that are up to date, or the interrupted
// ones when there are no others.
func viewsOf(s *blackboard.State, dataCentre string) []blackboard.View {
	var current, interrupted []blackboard.View
	for key, v := range s.Members.Views {
		switch {
		case key.DataCentre != dataCentre:
		case v.ExpiresAt.IsZero():
			current = append(current, v)
		default:
			interrupted = append(interrupted, v)
		}
	}
	if len(current) > 0 {
		return current
	}
	return interrupted
}

// newest returns the newest state of a host among views. A node that any view reports
// is alive: a view loses a node also when only its source cannot reach it.
func newest(views []blackboard.View, host string) (blackboard.PeerState, bool) {
	var best blackboard.PeerState
	found := false
	for _, v := range views {
		if n, ok := v.Nodes[host]; ok && (!found || n.Supersedes(best)) {
			best, found = n, true
		}
	}
	return best, found
}

// deriveMembers sets the members of another data centre from the views of it.
func deriveMembers(s blackboard.State, dataCentre string, hosts map[string]bool, now time.Time) (blackboard.State, []blackboard.Effect) {
	views := viewsOf(&s, dataCentre)
	lost := blackboard.MemberDead
	if len(views) == 0 {
		lost = blackboard.MemberSuspect
	}
	var effects []blackboard.Effect
	members := s.Members.ByHost
	cloned, moved := false, false
	for host := range hosts {
		before, known := members[host]
		next, ok := deriveMember(before, known, views, host, lost)
		if !ok || sameState(next, before) || host == s.Self.Host {
			continue
		}
		next.ChangedAt = now
		if !cloned {
			members, cloned = cloneMembers(members), true
		}
		members[host] = next
		moved = moved || before.Address != next.Address
		effects = append(effects, reportOf(next))
	}
	if moved {
		s.Members.Records = recordsOf(members)
	}
	if cloned {
		s = replaceMembers(s, members)
	}
	return s, effects
}

// deriveMember returns a member as the views have it; false when it is not known.
func deriveMember(before blackboard.Member, known bool, views []blackboard.View, host string, lost blackboard.MemberStatus) (blackboard.Member, bool) {
	n, isLive := newest(views, host)
	if !isLive {
		if before.Status == blackboard.MemberAlive || before.Status == blackboard.MemberSuspect {
			before.Status = lost
		}
		return before, known
	}
	isOlder := n.Incarnation == before.Incarnation && n.Order < before.Order
	if isOlder && before.Status == blackboard.MemberAlive && before.Address == n.Record.Address {
		return before, known
	}
	return blackboard.Member{
		Host: host, Address: n.Record.Address, DataCentre: n.Record.DataCentre, Region: n.Record.Region, LinkMbit: n.Record.LinkMbit,
		Status: blackboard.MemberAlive, Incarnation: n.Incarnation, Order: n.Order, Target: n.Target, ChangedAt: before.ChangedAt,
	}, true
}

func reportOf(m blackboard.Member) report {
	if m.Status == blackboard.MemberAlive {
		return report{event: logger.NodeChanged, host: m.Host, reason: string(m.Target.Phase)}
	}
	return report{event: logger.NodeGone, host: m.Host, reason: string(m.Status)}
}
