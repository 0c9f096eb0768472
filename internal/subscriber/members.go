package subscriber

import (
	"maps"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
)

// addNodes adds the nodes that were found and subscribes to those whose address
// is new. A node that was lost for long is retried at once when it reports its own
// address. A node lost more recently is being retried anyway: if each report
// started a new stream, nodes that start together would restart each other's
// streams endlessly.
//
// The state of a node of another data centre comes from views only, and so does the
// address of a live one: its neighbours have verified it.
func addNodes(s blackboard.State, msg blackboard.NodesFound) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if msg.Complete {
		s.Members.Listed = s.Members.Listed || len(msg.Nodes) > 0
		s, effects = removeUnlisted(s, msg)
	}
	var members map[string]blackboard.Member
	for _, n := range msg.Nodes {
		old, known := s.Members.ByHost[n.Host]
		if n.Host == s.Self.Host || n.Address == s.Self.Address {
			continue
		}
		remote := n.DataCentre != s.Self.DataCentre
		if known && (old.Address == n.Address || remote && old.Status == blackboard.MemberAlive) {
			if !remote && msg.SelfReported && isLongLost(old, msg.Now) {
				effects = append(effects, subscribe{host: n.Host, address: n.Address})
			}
			continue
		}
		if s.Members.MismatchedAddresses[n.Host] == n.Address && !msg.SelfReported {
			continue
		}
		if members == nil {
			members = cloneMembers(s.Members.ByHost)
		}
		members[n.Host] = blackboard.Member{
			Host: n.Host, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region, LinkMbit: n.LinkMbit,
			Status: blackboard.MemberDead, ChangedAt: msg.Now,
		}
		if !remote {
			effects = append(effects, subscribe{host: n.Host, address: n.Address})
		}
	}
	if members != nil {
		s.Members.Records = recordsOf(members)
		s = replaceMembers(s, members)
	}
	return s, effects
}

func isLongLost(m blackboard.Member, now time.Time) bool {
	return m.Status == blackboard.MemberDead && now.Sub(m.ChangedAt) >= longLost
}

func replaceMembers(s blackboard.State, members map[string]blackboard.Member) blackboard.State {
	s.Members.ByHost = members
	s.Members.Changes++
	return s
}

// removeUnlisted removes the nodes that the platform no longer lists, unless they
// are alive: a live one may have started during a platform outage.
func removeUnlisted(s blackboard.State, msg blackboard.NodesFound) (blackboard.State, []blackboard.Effect) {
	var unlisted []string
	for host, m := range s.Members.ByHost {
		isListed := slices.ContainsFunc(msg.Nodes, func(n blackboard.NodeRecord) bool { return n.Host == host })
		if !isListed && m.Status != blackboard.MemberAlive {
			unlisted = append(unlisted, host)
		}
	}
	return removeNodes(s, msg.Now, unlisted...)
}

func cloneMembers(members map[string]blackboard.Member) map[string]blackboard.Member {
	if members == nil {
		return map[string]blackboard.Member{}
	}
	return maps.Clone(members)
}

func recordsOf(members map[string]blackboard.Member) []blackboard.NodeRecord {
	list := make([]blackboard.NodeRecord, 0, len(members))
	for _, host := range slices.Sorted(maps.Keys(members)) {
		m := members[host]
		list = append(list, blackboard.NodeRecord{
			Host: m.Host, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, LinkMbit: m.LinkMbit,
		})
	}
	return list
}

// removeNodes removes those of the hosts that are members, and lets their views expire.
func removeNodes(s blackboard.State, now time.Time, hosts ...string) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	var members map[string]blackboard.Member
	for _, host := range hosts {
		if _, known := s.Members.ByHost[host]; !known {
			continue
		}
		if members == nil {
			members = cloneMembers(s.Members.ByHost)
		}
		delete(members, host)
		s = interruptViews(s, host, now)
		effects = append(effects, unsubscribe{host: host})
	}
	if members != nil {
		s.Members.Records = recordsOf(members)
		s = replaceMembers(s, members)
	}
	return s, effects
}

// updateNode applies a node's report of its own state.
func updateNode(s blackboard.State, msg blackboard.NodeUpdated) (blackboard.State, []blackboard.Effect) {
	m, known := s.Members.ByHost[msg.Host]
	if !known || m.DataCentre != s.Self.DataCentre {
		return s, nil
	}
	next := m
	next.Status, next.Incarnation, next.Order, next.Target = blackboard.MemberAlive, msg.Incarnation, msg.Order, msg.Target
	next.PlatformLost = msg.PlatformLost
	if msg.Draining {
		next.Target.Phase = blackboard.TargetDraining
	}
	if sameState(next, m) {
		return s, nil
	}
	next.ChangedAt = msg.Now
	s = replaceMember(s, next)
	return s, []blackboard.Effect{report{
		event: logger.NodeChanged, host: msg.Host, reason: string(next.Target.Phase), version: msg.Version,
	}}
}

// sameState reports whether two records of a member differ at most in their order, which
// also grows with changes that other nodes do not keep.
func sameState(a, b blackboard.Member) bool {
	a.Order = b.Order
	return a == b
}

func replaceMember(s blackboard.State, m blackboard.Member) blackboard.State {
	members := cloneMembers(s.Members.ByHost)
	members[m.Host] = m
	return replaceMembers(s, members)
}

// loseNode marks a node as suspect or dead, so that it receives no requests. The
// node stays a member, since it may return at its address, unless another node
// answered there.
func loseNode(s blackboard.State, msg blackboard.NodeLost) (blackboard.State, []blackboard.Effect) {
	m, known := s.Members.ByHost[msg.Host]
	if !known || m.Address != msg.Address {
		return s, nil
	}
	if msg.HostMismatch {
		mismatched := maps.Clone(s.Members.MismatchedAddresses)
		if mismatched == nil || len(mismatched) >= maxMismatched {
			mismatched = map[string]string{}
		}
		mismatched[msg.Host] = msg.Address
		s.Members.MismatchedAddresses = mismatched
		return removeNodes(s, msg.Now, msg.Host)
	}
	s = interruptViews(s, msg.Host, msg.Now)
	status := blackboard.MemberDead
	if msg.TimedOut {
		status = blackboard.MemberSuspect
	}
	if m.Status == status || m.Status == blackboard.MemberDead {
		return s, nil
	}
	m.Status, m.ChangedAt = status, msg.Now
	s = replaceMember(s, m)
	return s, []blackboard.Effect{report{event: logger.NodeGone, host: msg.Host, reason: string(status)}}
}
