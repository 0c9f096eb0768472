package gossiper

import (
	"slices"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// StartSync is the effect of exchanging tables with a peer.
type StartSync struct {
	Address string
	Request *wirepb.SyncRequest
	// Members is this node's table at the start of the exchange. It is read only.
	Members map[string]blackboard.Member
}

// startSync starts an exchange. A node's first exchange is with a random member,
// so that hosts that start together do not all use the same seeds.
func (d *draft) startSync(peer blackboard.Member) {
	if !d.gossip.Synced {
		if found := d.randomLive(1, anyMember); len(found) > 0 {
			peer = found[0]
		}
	}
	d.gossip.SyncDeadline = d.now.Add(syncTimeout)
	d.effects = append(d.effects, StartSync{
		Address: peer.Address,
		Request: &wirepb.SyncRequest{DataCentre: d.self.DataCentre, Buckets: slices.Clone(d.gossip.BucketDigests[:])},
		Members: d.members,
	})
}

// AnswerSync returns this node's records of the buckets whose digests differ.
func AnswerSync(s *blackboard.State, request *wirepb.SyncRequest) (*wirepb.SyncReply, error) {
	if request.GetDataCentre() != s.Self.DataCentre {
		return nil, &WrongDataCentreError{DataCentre: request.GetDataCentre()}
	}
	if len(request.GetBuckets()) != blackboard.DigestBuckets || s.Members.Gossip == nil {
		return nil, &MalformedError{Field: "buckets"}
	}
	reply := &wirepb.SyncReply{}
	var differs [blackboard.DigestBuckets]bool
	for i, own := range s.Members.Gossip.BucketDigests {
		if own != request.GetBuckets()[i] {
			differs[i] = true
			reply.Differing = append(reply.Differing, uint32(i))
		}
	}
	reply.Members = recordsOf(s.Members.ByHost, &differs)
	return reply, nil
}

// RecordsToPush returns the records of the differing buckets that the peer lacks or holds in an older version.
func RecordsToPush(members map[string]blackboard.Member, reply *wirepb.SyncReply) *wirepb.SyncPush {
	var differs [blackboard.DigestBuckets]bool
	for _, i := range reply.GetDiffering() {
		if i < blackboard.DigestBuckets {
			differs[i] = true
		}
	}
	theirs := map[string]*wirepb.MemberRecord{}
	for _, r := range reply.GetMembers() {
		theirs[r.GetHost()] = r
	}
	push := &wirepb.SyncPush{}
	for _, r := range recordsOf(members, &differs) {
		if isNewer(r, theirs[r.GetHost()]) {
			push.Members = append(push.Members, r)
		}
	}
	return push
}

func isNewer(own, theirs *wirepb.MemberRecord) bool {
	switch {
	case theirs == nil:
		return true
	case own.GetIncarnation() != theirs.GetIncarnation():
		return own.GetIncarnation() > theirs.GetIncarnation()
	default:
		return own.GetState() > theirs.GetState() || own.GetRevision() > theirs.GetRevision()
	}
}

// recordsOf returns the full records of the members in the given buckets, sorted by host.
func recordsOf(members map[string]blackboard.Member, buckets *[blackboard.DigestBuckets]bool) []*wirepb.MemberRecord {
	var records []*wirepb.MemberRecord
	for host, m := range members {
		if buckets[bucketOf(host)] {
			records = append(records, fullRecord(m))
		}
	}
	slices.SortFunc(records, func(a, b *wirepb.MemberRecord) int {
		switch {
		case a.GetHost() < b.GetHost():
			return -1
		case a.GetHost() > b.GetHost():
			return 1
		}
		return 0
	})
	return records
}
