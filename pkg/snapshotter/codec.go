package snapshotter

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/wirepb"
)

// The messages are encoded field by field here, in the order of the field
// numbers and without zero values, because protobuf libraries do not guarantee
// the same bytes from one release to the next and digests are computed over
// these bytes.

// sizeError reports a value of the wrong length in bytes.
type sizeError struct{ actual, expected int }

func (e *sizeError) Error() string { return fmt.Sprintf("%d bytes, not %d", e.actual, e.expected) }

// rangeError reports a number that does not fit in 32 bits with a sign.
type rangeError struct {
	field string
	value uint64
}

func (e *rangeError) Error() string {
	return fmt.Sprintf("%s is %d, which is out of range", e.field, e.value)
}

// tombstone records which ticket removed a resource.
type tombstone struct {
	name   string
	ticket uint64
}

// resources holds the resources and tombstones of a shard, a snapshot or a delta.
type resources struct {
	services        []Service
	routes          []Route
	removedServices []tombstone
	removedRoutes   []tombstone
	firms           []Firm
	removedFirms    []tombstone
}

func (c *resources) sort() {
	slices.SortFunc(c.services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	byName := func(a, b tombstone) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(c.removedServices, byName)
	slices.SortFunc(c.removedRoutes, byName)
	slices.SortFunc(c.firms, func(a, b Firm) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.removedFirms, byName)
}

// splitIntoShards returns the resources of each shard, by shard number.
func splitIntoShards(s *Snapshot) []*resources {
	shards := make(map[int]*resources, ShardCount)
	for i := range ShardCount {
		shards[i] = &resources{}
	}
	fillShards(s, shards)
	list := make([]*resources, ShardCount)
	for i, shard := range shards {
		list[i] = shard
	}
	return list
}

// fillShards adds the resources of s to their shards. Those whose shard number
// is not a key of shards are left out.
func fillShards(s *Snapshot, shards map[int]*resources) {
	for name, service := range s.Services {
		if c := shards[ShardOf(name)]; c != nil {
			c.services = append(c.services, service)
		}
	}
	for name, route := range s.Routes {
		if c := shards[ShardOf(name)]; c != nil {
			c.routes = append(c.routes, route)
		}
	}
	for name, firm := range s.Firms {
		if c := shards[ShardOf(name)]; c != nil {
			c.firms = append(c.firms, firm)
		}
	}
	for name, ticket := range s.RemovedFirms {
		if c := shards[ShardOf(name)]; c != nil {
			c.removedFirms = append(c.removedFirms, tombstone{name, ticket})
		}
	}
	for name, ticket := range s.RemovedServices {
		if c := shards[ShardOf(name)]; c != nil {
			c.removedServices = append(c.removedServices, tombstone{name, ticket})
		}
	}
	for name, ticket := range s.RemovedRoutes {
		if c := shards[ShardOf(name)]; c != nil {
			c.removedRoutes = append(c.removedRoutes, tombstone{name, ticket})
		}
	}
}

// allResources returns the resources of all shards as one.
func allResources(s *Snapshot) *resources {
	c := &resources{}
	all := make(map[int]*resources, ShardCount)
	for i := range ShardCount {
		all[i] = c
	}
	fillShards(s, all)
	return c
}

func appendString(b []byte, n protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func appendBytes(b []byte, n protowire.Number, value []byte) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendBytes(b, value)
}

func appendNumber(b []byte, n protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendService(b []byte, s Service) []byte {
	b = appendString(b, 1, s.Name)
	b = appendString(b, 2, s.Firm)
	for i, n := range []int{s.Slots, s.Connections, s.Queue, s.BulkPercent, s.UrgentSlots, s.RetryPercent} {
		b = appendNumber(b, protowire.Number(3+i), uint64(n))
	}
	b = appendNumber(b, 9, s.Ticket)
	return appendString(b, 10, s.HealthPath)
}

func appendRoute(b []byte, r Route) []byte {
	b = appendString(b, 1, r.Name)
	b = appendString(b, 2, r.Prefix)
	for _, m := range r.Methods {
		b = appendBytes(b, 3, []byte(m))
	}
	b = appendString(b, 4, r.Service)
	b = appendString(b, 5, string(r.Class))
	b = appendNumber(b, 6, protowire.EncodeBool(r.Idempotent))
	b = appendNumber(b, 7, uint64(r.TimeoutMs))
	b = appendNumber(b, 8, r.Ticket)
	b = appendString(b, 9, r.Host)
	for _, s := range r.Split {
		b = appendBytes(b, 10, appendNumber(appendString(nil, 1, s.Service), 2, uint64(s.Weight)))
	}
	b = appendNumber(b, 11, uint64(r.MaxAttempts))
	b = appendNumber(b, 12, uint64(r.TargetLatencyMs))
	b = appendNumber(b, 13, uint64(r.Priority))
	b = appendNumber(b, 14, protowire.EncodeBool(r.Keyless))
	return appendNumber(b, 15, protowire.EncodeBool(r.LargeAnswers))
}

func appendFirm(b []byte, f Firm) []byte {
	b = appendString(b, 1, f.Name)
	for i := range f.Keys {
		b = appendBytes(b, 2, f.Keys[i][:])
	}
	b = appendNumber(b, 3, uint64(f.Rate))
	b = appendNumber(b, 4, uint64(f.Burst))
	b = appendNumber(b, 5, uint64(f.Priority))
	return appendNumber(b, 6, f.Ticket)
}

// appendCallerLimits appends the limits as field n, unless none is set.
func appendCallerLimits(b []byte, n protowire.Number, c CallerLimits) []byte {
	if c == (CallerLimits{}) {
		return b
	}
	var item []byte
	for i, v := range []int{c.HeaderBytes, c.BodyBytes, c.HeaderTimeoutMs, c.IdleTimeoutMs} {
		item = appendNumber(item, protowire.Number(1+i), uint64(v))
	}
	return appendBytes(b, n, item)
}

func appendTombstone(b []byte, t tombstone) []byte {
	b = appendString(b, 1, t.name)
	return appendNumber(b, 2, t.ticket)
}

// encode returns the canonical encoding, with the resources sorted by name.
func (c *resources) encode() []byte {
	c.sort()
	var b, item []byte
	for _, s := range c.services {
		item = appendService(item[:0], s)
		b = appendBytes(b, 1, item)
	}
	for _, r := range c.routes {
		item = appendRoute(item[:0], r)
		b = appendBytes(b, 2, item)
	}
	for _, t := range c.removedServices {
		item = appendTombstone(item[:0], t)
		b = appendBytes(b, 3, item)
	}
	for _, t := range c.removedRoutes {
		item = appendTombstone(item[:0], t)
		b = appendBytes(b, 4, item)
	}
	for _, f := range c.firms {
		item = appendFirm(item[:0], f)
		b = appendBytes(b, 5, item)
	}
	for _, t := range c.removedFirms {
		item = appendTombstone(item[:0], t)
		b = appendBytes(b, 6, item)
	}
	return b
}

// EncodeShards returns the canonical encoding of each shard. The SHA-256 of
// each is its digest.
func EncodeShards(s *Snapshot) [ShardCount][]byte {
	var encoded [ShardCount][]byte
	for i, shard := range splitIntoShards(s) {
		encoded[i] = shard.encode()
	}
	return encoded
}

// EncodeSnapshot returns the canonical encoding of a whole snapshot.
func EncodeSnapshot(s *Snapshot) []byte {
	b := appendNumber(nil, 1, s.Version)
	b = appendNumber(b, 2, s.RemovedFloor)
	b = appendBytes(b, 3, allResources(s).encode())
	return appendCallerLimits(b, 4, s.CallerLimits)
}

// DecodeSnapshot decodes a whole snapshot without validating it. It returns
// *MalformedError when data is not a snapshot message, a number in it is out of
// range, or it is not the canonical encoding: a snapshot is never read in part.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var m wirepb.Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &MalformedError{Subject: "snapshot", Cause: err}
	}
	c, err := decodeResources(m.GetResources())
	if err != nil {
		return nil, &MalformedError{Subject: "snapshot", Cause: err}
	}
	s := Empty()
	s.Version = m.GetVersion()
	s.RemovedFloor = m.GetRemovedFloor()
	if s.CallerLimits, err = decodeCallerLimits(m.GetCallers()); err != nil {
		return nil, &MalformedError{Subject: "snapshot", Cause: err}
	}
	c.addTo(s)
	if !bytes.Equal(EncodeSnapshot(s), data) {
		return nil, &MalformedError{Subject: "snapshot", Cause: &notCanonicalError{}}
	}
	return s, nil
}

// notCanonicalError reports an encoding that this program would not have written, such as
// one with fields that a later program added.
type notCanonicalError struct{}

func (*notCanonicalError) Error() string { return "it holds more than this program reads" }

// DecodeShards builds a snapshot from encoded shards without validating it. The
// shards do not contain the caller limits, which stay zero. It returns
// *MalformedError when a shard is not a resources message or a number in it is
// out of range.
func DecodeShards(version, removedFloor uint64, shards [][]byte) (*Snapshot, error) {
	s := Empty()
	s.Version = version
	s.RemovedFloor = removedFloor
	for _, data := range shards {
		var m wirepb.Resources
		if err := proto.Unmarshal(data, &m); err != nil {
			return nil, &MalformedError{Subject: "shard", Cause: err}
		}
		c, err := decodeResources(&m)
		if err != nil {
			return nil, &MalformedError{Subject: "shard", Cause: err}
		}
		c.addTo(s)
	}
	return s, nil
}

// addTo adds the resources to a snapshot that is not shared yet.
func (c *resources) addTo(s *Snapshot) {
	for _, service := range c.services {
		s.Services[service.Name] = service
	}
	for _, route := range c.routes {
		s.Routes[route.Name] = route
	}
	for _, firm := range c.firms {
		s.Firms[firm.Name] = firm
	}
	for _, t := range c.removedFirms {
		s.RemovedFirms[t.name] = t.ticket
	}
	for _, t := range c.removedServices {
		s.RemovedServices[t.name] = t.ticket
	}
	for _, t := range c.removedRoutes {
		s.RemovedRoutes[t.name] = t.ticket
	}
}
