package ticketer

import (
	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// HeadKey is the key of the one object that says which configuration is accepted.
const HeadKey = "config/head"

// RecentDecisions is how many decisions a head lists. Shards of the versions
// among them are never collected.
const RecentDecisions = 32

// Outcome is how a ticket was decided.
type Outcome string

// The outcomes of a decision.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
)

// Decision records how one ticket was decided. It is made by the one
// conditional update of the head and never changed.
type Decision struct {
	Ticket  uint64
	Outcome Outcome
	// Version that the ticket became; 0 when it was refused.
	Version uint64
	// OperationID is that of the attempt that decided.
	OperationID string
	// Refusal says why; nil when accepted.
	Refusal *snapshotter.RefusedError
	// Replaced holds the shards that this version no longer names.
	Replaced []snapshotter.Digest
}

// Head is the content of the object at HeadKey.
type Head struct {
	// Version of the accepted configuration; 0 before the first ticket.
	Version uint64
	// Digest of the whole snapshot.
	Digest       snapshotter.Digest
	RemovedFloor uint64
	// Shards holds snapshotter.ShardCount digests; each shard is stored at ShardKey.
	Shards []snapshotter.Digest
	// Recent holds the last RecentDecisions decisions, oldest first.
	Recent []Decision
}

// EmptyHead describes the configuration before the first ticket.
func EmptyHead() Head {
	empty := snapshotter.Empty()
	digests := snapshotter.ShardDigests(empty)
	return Head{Digest: empty.Digest(), Shards: digests[:]}
}

// Decision returns how a ticket was decided, if the head still lists it.
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
	m := &wirepb.Head{Version: h.Version, Digest: h.Digest[:], RemovedFloor: h.RemovedFloor, Shards: rawDigests(h.Shards)}
	for _, d := range h.Recent {
		m.Recent = append(m.Recent, encodeDecision(d))
	}
	// Marshal fails only for text that is not UTF-8, which encodeDecision rules out.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return data
}

// DecodeHead reads a stored head. It returns *snapshotter.MalformedError.
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
	if h.Shards, err = parseDigests(m.GetShards()); err != nil {
		return Head{}, err
	}
	for _, p := range m.GetRecent() {
		d, err := decodeDecision(p)
		if err != nil {
			return Head{}, err
		}
		h.Recent = append(h.Recent, d)
	}
	return h, h.check()
}

// check tells whether the head agrees with itself.
func (h Head) check() error {
	if len(h.Shards) != snapshotter.ShardCount {
		return &snapshotter.MalformedError{Subject: "head", Cause: &ShardCountError{Count: len(h.Shards)}}
	}
	whole := snapshotter.DigestOf(h.Version, h.RemovedFloor, h.Shards)
	if whole != h.Digest {
		return &snapshotter.DigestMismatchError{Subject: "head", Version: h.Version, Expected: h.Digest, Actual: whole}
	}
	return nil
}

func encodeDecision(d Decision) *wirepb.Decision {
	m := &wirepb.Decision{
		Ticket: d.Ticket, Version: d.Version, OperationId: d.OperationID, Replaced: rawDigests(d.Replaced),
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
		Rule: string(e.Rule), Resource: validText(e.Resource), Field: validText(e.Field),
		Ticket: e.Ticket, Detail: validText(e.Detail),
	}
}

func decodeDecision(p *wirepb.Decision) (Decision, error) {
	d := Decision{
		Ticket: p.GetTicket(), Version: p.GetVersion(), OperationID: p.GetOperationId(), Outcome: OutcomeAccepted,
	}
	var err error
	if d.Replaced, err = parseDigests(p.GetReplaced()); err != nil {
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

func rawDigests(digests []snapshotter.Digest) [][]byte {
	var raw [][]byte
	for _, d := range digests {
		raw = append(raw, d[:])
	}
	return raw
}

func parseDigests(raw [][]byte) ([]snapshotter.Digest, error) {
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
