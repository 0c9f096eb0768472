package snapshotter

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/wirepb"
)

// Removal removes a resource and records its ticket as the tombstone. Ticket 0
// removes the tombstone as well.
type Removal struct {
	Name   string
	Ticket uint64
}

// Delta is the difference between two snapshots. It is applied completely or not
// at all.
type Delta struct {
	BaseVersion uint64
	Version     uint64
	// BaseDigest is the digest of the only snapshot that the delta applies to.
	BaseDigest Digest
	// Digest is the digest of the resulting snapshot.
	Digest       Digest
	RemovedFloor uint64
	CallerLimits CallerLimits
	Services     []Service
	Routes       []Route
	Firms        []Firm
	// RemovedServices and Services have no name in common; nor have RemovedRoutes and Routes,
	// or RemovedFirms and Firms.
	RemovedServices []Removal
	RemovedRoutes   []Removal
	RemovedFirms    []Removal
}

// Diff returns the delta from base to next.
func Diff(base, next *Snapshot) *Delta {
	d := &Delta{
		BaseVersion: base.Version, BaseDigest: base.Digest(),
		Version: next.Version, Digest: next.Digest(), RemovedFloor: next.RemovedFloor,
		CallerLimits: next.CallerLimits,
	}
	for name, s := range next.Services {
		if old, ok := base.Services[name]; !ok || old != s {
			d.Services = append(d.Services, s)
		}
	}
	for name, r := range next.Routes {
		if old, ok := base.Routes[name]; !ok || !sameRoute(old, r) {
			d.Routes = append(d.Routes, r)
		}
	}
	for name, f := range next.Firms {
		if old, ok := base.Firms[name]; !ok || !sameFirm(old, f) {
			d.Firms = append(d.Firms, f)
		}
	}
	d.RemovedServices = diffRemovals(base.Services, next.Services, base.RemovedServices, next.RemovedServices)
	d.RemovedRoutes = diffRemovals(base.Routes, next.Routes, base.RemovedRoutes, next.RemovedRoutes)
	d.RemovedFirms = diffRemovals(base.Firms, next.Firms, base.RemovedFirms, next.RemovedFirms)
	return d
}

func sameRoute(a, b Route) bool {
	return a.Name == b.Name &&
		a.Prefix == b.Prefix &&
		slices.Equal(a.Methods, b.Methods) &&
		a.Service == b.Service &&
		a.Class == b.Class &&
		a.Idempotent == b.Idempotent &&
		a.TimeoutMs == b.TimeoutMs &&
		a.Host == b.Host &&
		slices.Equal(a.Split, b.Split) &&
		a.MaxAttempts == b.MaxAttempts &&
		a.TargetLatencyMs == b.TargetLatencyMs &&
		a.Priority == b.Priority &&
		a.Keyless == b.Keyless &&
		a.LargeAnswers == b.LargeAnswers &&
		a.Ticket == b.Ticket
}

// diffRemovals returns the tombstones that are new or changed, and a removal
// with ticket 0 for each name that has neither a resource nor a tombstone any
// more.
func diffRemovals[T any](old, current map[string]T, oldTombstones, tombstones map[string]uint64) []Removal {
	var list []Removal
	for name, ticket := range tombstones {
		if oldTombstones[name] != ticket {
			list = append(list, Removal{name, ticket})
		}
	}
	isGone := func(name string) bool {
		_, listed := tombstones[name]
		_, exists := current[name]
		return !listed && !exists
	}
	for name := range old {
		if isGone(name) {
			list = append(list, Removal{Name: name})
		}
	}
	for name := range oldTombstones {
		if isGone(name) {
			list = append(list, Removal{Name: name})
		}
	}
	return list
}

// Patch applies a delta to base and returns the resulting snapshot. It returns
// *DigestMismatchError when base or the result does not have the digest that
// the delta states. base is not modified.
func Patch(base *Snapshot, d *Delta) (*Snapshot, error) {
	if actual := base.Digest(); actual != d.BaseDigest {
		return nil, &DigestMismatchError{Subject: "base", Version: base.Version, Expected: d.BaseDigest, Actual: actual}
	}
	next := clone(base)
	next.Version = d.Version
	next.RemovedFloor = d.RemovedFloor
	next.CallerLimits = d.CallerLimits
	for _, s := range d.Services {
		next.Services[s.Name] = s
		delete(next.RemovedServices, s.Name)
	}
	for _, r := range d.Routes {
		next.Routes[r.Name] = r
		delete(next.RemovedRoutes, r.Name)
	}
	for _, f := range d.Firms {
		next.Firms[f.Name] = f
		delete(next.RemovedFirms, f.Name)
	}
	for _, r := range d.RemovedFirms {
		delete(next.Firms, r.Name)
		setTombstone(next.RemovedFirms, r)
	}
	for _, r := range d.RemovedServices {
		delete(next.Services, r.Name)
		setTombstone(next.RemovedServices, r)
	}
	for _, r := range d.RemovedRoutes {
		delete(next.Routes, r.Name)
		setTombstone(next.RemovedRoutes, r)
	}
	reuseShardDigests(base, next, d.touchedNames())
	if actual := next.Digest(); actual != d.Digest {
		return nil, &DigestMismatchError{Subject: "result", Version: d.Version, Expected: d.Digest, Actual: actual}
	}
	return next, nil
}

// setTombstone records the removal, or deletes its tombstone when the ticket is 0.
func setTombstone(tombstones map[string]uint64, r Removal) {
	if r.Ticket == 0 {
		delete(tombstones, r.Name)
		return
	}
	tombstones[r.Name] = r.Ticket
}

func (d *Delta) touchedNames() resourceNames {
	var n resourceNames
	for _, s := range d.Services {
		n.services = append(n.services, s.Name)
	}
	for _, r := range d.Routes {
		n.routes = append(n.routes, r.Name)
	}
	for _, f := range d.Firms {
		n.firms = append(n.firms, f.Name)
	}
	for _, r := range d.RemovedFirms {
		n.firms = append(n.firms, r.Name)
	}
	for _, r := range d.RemovedServices {
		n.services = append(n.services, r.Name)
	}
	for _, r := range d.RemovedRoutes {
		n.routes = append(n.routes, r.Name)
	}
	return n
}

// EncodeDelta returns the canonical encoding of a delta.
func EncodeDelta(d *Delta) []byte {
	c := &resources{services: slices.Clone(d.Services), routes: slices.Clone(d.Routes), firms: slices.Clone(d.Firms)}
	for _, r := range d.RemovedServices {
		c.removedServices = append(c.removedServices, r.asTombstone())
	}
	for _, r := range d.RemovedRoutes {
		c.removedRoutes = append(c.removedRoutes, r.asTombstone())
	}
	for _, r := range d.RemovedFirms {
		c.removedFirms = append(c.removedFirms, r.asTombstone())
	}
	b := appendNumber(nil, 1, d.BaseVersion)
	b = appendNumber(b, 2, d.Version)
	b = appendBytes(b, 3, d.BaseDigest[:])
	b = appendBytes(b, 4, d.Digest[:])
	b = appendNumber(b, 5, d.RemovedFloor)
	b = appendBytes(b, 6, c.encode())
	return appendCallerLimits(b, 7, d.CallerLimits)
}

func (r Removal) asTombstone() tombstone { return tombstone{name: r.Name, ticket: r.Ticket} }

// DecodeDelta decodes a delta. It returns *MalformedError when data is not a
// delta message, a number in it is out of range, or a digest has the wrong
// length.
func DecodeDelta(data []byte) (*Delta, error) {
	var m wirepb.Delta
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &MalformedError{Subject: "delta", Cause: err}
	}
	c, err := decodeResources(m.GetResources())
	if err != nil {
		return nil, &MalformedError{Subject: "delta", Cause: err}
	}
	d := &Delta{
		BaseVersion: m.GetBaseVersion(), Version: m.GetVersion(), RemovedFloor: m.GetRemovedFloor(),
		Services: c.services, Routes: c.routes, Firms: c.firms,
	}
	if d.CallerLimits, err = decodeCallerLimits(m.GetCallers()); err != nil {
		return nil, &MalformedError{Subject: "delta", Cause: err}
	}
	for _, t := range c.removedServices {
		d.RemovedServices = append(d.RemovedServices, Removal{t.name, t.ticket})
	}
	for _, t := range c.removedRoutes {
		d.RemovedRoutes = append(d.RemovedRoutes, Removal{t.name, t.ticket})
	}
	for _, t := range c.removedFirms {
		d.RemovedFirms = append(d.RemovedFirms, Removal{t.name, t.ticket})
	}
	if d.BaseDigest, err = ParseDigest(m.GetBaseDigest()); err != nil {
		return nil, err
	}
	if d.Digest, err = ParseDigest(m.GetDigest()); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseDigest returns the digest with the given bytes. It returns
// *MalformedError when their number is wrong.
func ParseDigest(raw []byte) (Digest, error) {
	var d Digest
	if len(raw) != len(d) {
		return d, &MalformedError{Subject: "digest", Cause: &sizeError{len(raw), len(d)}}
	}
	copy(d[:], raw)
	return d, nil
}
