package fetcher

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// noteVersion records that another node runs a greater version. Nodes of the own data
// centre are asked before others. Further nodes that run the same version are remembered,
// because the first one may be gone by the time it is asked.
func noteVersion(s blackboard.State, msg blackboard.NodeUpdated) blackboard.State {
	member, known := s.Members.ByHost[msg.Host]
	peerVersion := s.Config.PeerVersion
	if !known || msg.Version <= versionOf(s.Config.Running) || msg.Version < peerVersion.Version {
		return s
	}
	if limit := msg.Now.Add(askRetryDelay); msg.Version > peerVersion.Version && peerVersion.RetryAt.After(limit) {
		// The longer wait was for a version that was refused.
		peerVersion.RetryAt = limit
	}
	holder := blackboard.VersionHolder{Address: member.Address, SameDataCentre: member.DataCentre == s.Self.DataCentre}
	at := msg.Now.Add(askDelay(&s, holder.SameDataCentre))
	if peerVersion.Version != 0 && peerVersion.PullAt.Before(at) {
		at = peerVersion.PullAt
	}
	if at.Before(peerVersion.RetryAt) {
		at = peerVersion.RetryAt
	}
	if msg.Version > peerVersion.Version {
		s.Config.PeerVersion = blackboard.PeerVersion{
			Version: msg.Version, Holders: []blackboard.VersionHolder{holder}, PullAt: at, RetryAt: peerVersion.RetryAt,
		}
		return s
	}
	s.Config.PeerVersion = addHolder(peerVersion, holder, at)
	return s
}

// addHolder adds a node that has the version, in place of one that did not send it if
// there are maxHolders. The version is pulled at the given time
// unless a node is being asked: then the new one is asked in its turn.
func addHolder(v blackboard.PeerVersion, holder blackboard.VersionHolder, at time.Time) blackboard.PeerVersion {
	isKnown := func(h blackboard.VersionHolder) bool { return h.Address == holder.Address }
	if slices.ContainsFunc(v.Holders, isKnown) || slices.ContainsFunc(v.Asked, isKnown) {
		return v
	}
	holders := slices.Clone(v.Holders)
	if last := len(holders) - 1; len(holders)+len(v.Asked) >= maxHolders {
		if last < 0 || !holders[last].Failed {
			return v
		}
		holders = holders[:last]
	}
	before := 0
	for before < len(holders) && !precedes(holder, holders[before]) {
		before++
	}
	v.Holders = slices.Insert(holders, before, holder)
	if len(v.Asked) == 0 {
		v.PullAt = at
	}
	return v
}

// precedes reports whether a node that has just announced the version is asked before one
// that is known already.
func precedes(added, known blackboard.VersionHolder) bool {
	return known.Failed || added.SameDataCentre && !known.SameDataCentre
}

// nextHolder returns the address of the node to ask now; empty when none is due. A node
// that was asked before and has not answered may still do so.
func nextHolder(v blackboard.PeerVersion, now time.Time) (next blackboard.PeerVersion, address string) {
	if len(v.Holders) == 0 || now.Before(v.PullAt) {
		return v, ""
	}
	holder := v.Holders[0]
	v.Holders = slices.Clone(v.Holders[1:])
	v.Asked = append(slices.Clone(v.Asked), holder)
	v.PullAt = now.Add(askNextDelay)
	return v, holder.Address
}

// handleFetchFailed schedules the next request after one that brought no version. The
// node that was asked may be gone, so it is asked again only after the others.
func handleFetchFailed(v blackboard.PeerVersion, address string, now time.Time, retryDelay time.Duration) blackboard.PeerVersion {
	i := slices.IndexFunc(v.Asked, func(h blackboard.VersionHolder) bool { return h.Address == address })
	if i < 0 {
		return v
	}
	failed := v.Asked[i]
	failed.Failed = true
	v.Asked = slices.Delete(slices.Clone(v.Asked), i, i+1)
	v.Holders = append(slices.Clone(v.Holders), failed)
	v.RetryAt = now.Add(retryDelay)
	v.PullAt = v.RetryAt
	return v
}
