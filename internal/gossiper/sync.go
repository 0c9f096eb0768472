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
	// Members is this node's table at the start. Read only.
	Members map[string]blackboard.Member
}

// startSync begins an exchange. The first of a node goes to a random member, so
// that hosts which start together do not all turn to the same seeds.
func (d *draft) startSync(peer blackboard.Member) {
	if !d.g.Synced {
		if found := d.randomLive(1, anyMember); len(found) > 0 {
			peer = found[0]
		}
	}
	d.g.SyncDeadline = d.now.Add(syncTimeout)
	d.effects = append(d.effects, StartSync{
		Address: peer.Address,
		Request: &wirepb.SyncRequest{DataCentre: d.self.DataCentre, Buckets: slices.Clone(d.g.BucketDigests[:])},
		Members: d.members,
	})
}

// AnswerSync returns this node's records of the buckets whose digests differ.
func AnswerSync(s *blackboard.State, request *wirepb.SyncRequest) (*wirepb.SyncReply, error) {
	if request.GetDataCentre() != s.Self.DataCentre {
		return nil, &ForeignError{DataCentre: request.GetDataCentre()}
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

// PushAfter returns the records of the differing buckets that the peer lacks or holds older.
func PushAfter(members map[string]blackboard.Member, reply *wirepb.SyncReply) *wirepb.SyncPush {
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
		if newerThan(r, theirs[r.GetHost()]) {
			push.Members = append(push.Members, r)
		}
	}
	return push
}

func newerThan(mine, theirs *wirepb.MemberRecord) bool {
	switch {
	case theirs == nil:
		return true
	case mine.GetIncarnation() != theirs.GetIncarnation():
		return mine.GetIncarnation() > theirs.GetIncarnation()
	default:
		return mine.GetState() > theirs.GetState() || mine.GetRevision() > theirs.GetRevision()
	}
}

// recordsOf returns full records of the members in the given buckets, in order of host.
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
