package ticketer

import (
	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// HeadKey is the key of the head, the object that defines the accepted configuration.
const HeadKey = "config/head"

// MaxRecentDecisions is the number of decisions that a head lists. Trim does not
// delete the shards that these decisions replaced.
const MaxRecentDecisions = 32

// Outcome is the result of a decision.
type Outcome string

// The outcomes of a decision.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
)

// Decision is the decision on one ticket. The conditional update of the head that
// adds it makes the decision, which never changes afterwards.
type Decision struct {
	Ticket  uint64
	Outcome Outcome
	// Version is the version that the ticket created, or 0 if it was refused.
	Version uint64
	// OperationID identifies the attempt that made the decision.
	OperationID string
	// Refusal is the reason for a refusal. It is nil if the ticket was accepted.
	Refusal *snapshotter.RefusedError
	// Replaced lists the digests of the previous head's shards that this version replaced.
	Replaced []snapshotter.Digest
}

// Head is the content of the object at HeadKey.
type Head struct {
	// Version is the version of the accepted configuration, or 0 before the first accepted ticket.
	Version uint64
	// Digest is the digest of the whole snapshot.
	Digest snapshotter.Digest
	// RemovedFloor is that of the snapshot, see snapshotter.Snapshot.
	RemovedFloor uint64
	// Shards lists the digests of the snapshotter.ShardCount shards. Each shard that
	// is not empty is stored at its ShardKey.
	Shards []snapshotter.Digest
	// Recent lists the last decisions, at most MaxRecentDecisions, oldest first.
	Recent []Decision
}

// EmptyHead returns the head before the first decision.
func EmptyHead() Head {
	empty := snapshotter.Empty()
	digests := snapshotter.ShardDigests(empty)
	return Head{Digest: empty.Digest(), Shards: digests[:]}
}

// Decision returns the decision on a ticket, and whether the head still lists it.
func (h Head) Decision(ticket uint64) (Decision, bool) {
	for _, d := range h.Recent {
		if d.Ticket == ticket {
			return d, true
		}
	}
	return Decision{}, false
}

// Encode returns the stored form of the head.
func (h Head) Encode() []byte {
	m := &wirepb.Head{Version: h.Version, Digest: h.Digest[:], RemovedFloor: h.RemovedFloor, Shards: encodeDigests(h.Shards)}
	for _, d := range h.Recent {
		m.Recent = append(m.Recent, encodeDecision(d))
	}
	// Marshal fails only for text that is not valid UTF-8, which encodeRefusal replaces.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return data
}

// DecodeHead decodes a stored head. It returns *snapshotter.MalformedError, or
// *snapshotter.DigestMismatchError if the digest is not that of the listed shards.
func DecodeHead(data []byte) (Head, error) {
	var m wirepb.Head
	if err := proto.Unmarshal(data, &m); err != nil {
		return Head{}, &snapshotter.MalformedError{Subject: "head", Cause: err}
	}
	h := Head{Version: m.GetVersion(), RemovedFloor: m.GetRemovedFloor()}
	var err error
	if h.Digest, err = snapshotter.ParseDigest(m.GetDigest()); err != nil {
		return Head{}, err
	}
	if h.Shards, err = decodeDigests(m.GetShards()); err != nil {
		return Head{}, err
	}
	for _, p := range m.GetRecent() {
		d, err := decodeDecision(p)
		if err != nil {
			return Head{}, err
		}
		h.Recent = append(h.Recent, d)
	}
	return h, h.validate()
}

// validate checks the number of shards, and the digest of the snapshot against those of the shards.
func (h Head) validate() error {
	if len(h.Shards) != snapshotter.ShardCount {
		return &snapshotter.MalformedError{Subject: "head", Cause: &ShardCountError{Count: len(h.Shards)}}
	}
	computed := snapshotter.DigestOf(h.Version, h.RemovedFloor, h.Shards)
	if computed != h.Digest {
		return &snapshotter.DigestMismatchError{Subject: "head", Version: h.Version, Expected: h.Digest, Actual: computed}
	}
	return nil
}

func encodeDecision(d Decision) *wirepb.Decision {
	m := &wirepb.Decision{
		Ticket: d.Ticket, Version: d.Version, OperationId: d.OperationID, Replaced: encodeDigests(d.Replaced),
	}
	if d.Refusal == nil {
		return m
	}
	m.Refusals = append(m.Refusals, encodeRefusal(*d.Refusal))
	for _, more := range d.Refusal.More {
		m.Refusals = append(m.Refusals, encodeRefusal(more))
	}
	return m
}

func encodeRefusal(e snapshotter.RefusedError) *wirepb.Refusal {
	return &wirepb.Refusal{
		Rule: string(e.Rule), Resource: toValidUTF8(e.Resource), Field: toValidUTF8(e.Field),
		Ticket: e.Ticket, Detail: toValidUTF8(e.Detail),
	}
}

func decodeDecision(p *wirepb.Decision) (Decision, error) {
	d := Decision{
		Ticket: p.GetTicket(), Version: p.GetVersion(), OperationID: p.GetOperationId(), Outcome: OutcomeAccepted,
	}
	var err error
	if d.Replaced, err = decodeDigests(p.GetReplaced()); err != nil {
		return Decision{}, err
	}
	if d.Version != 0 {
		return d, nil
	}
	d.Outcome = OutcomeRefused
	d.Refusal = &snapshotter.RefusedError{}
	for i, r := range p.GetRefusals() {
		e := snapshotter.RefusedError{
			Rule: snapshotter.Rule(r.GetRule()), Resource: r.GetResource(), Field: r.GetField(),
			Ticket: r.GetTicket(), Detail: r.GetDetail(),
		}
		if i == 0 {
			d.Refusal = &e
			continue
		}
		d.Refusal.More = append(d.Refusal.More, e)
	}
	return d, nil
}

func encodeDigests(digests []snapshotter.Digest) [][]byte {
	var raw [][]byte
	for _, d := range digests {
		raw = append(raw, d[:])
	}
	return raw
}

func decodeDigests(raw [][]byte) ([]snapshotter.Digest, error) {
	var digests []snapshotter.Digest
	for _, r := range raw {
		d, err := snapshotter.ParseDigest(r)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	return digests, nil
}
