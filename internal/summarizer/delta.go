package summarizer

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// Mark is the version of a summary that a node holds. The zero value means none.
type Mark struct{ Epoch, Sequence uint64 }

// Marks maps data centres to marks.
type Marks map[string]Mark

// isOlderThan reports whether the mark is older than a summary.
func (m Mark) isOlderThan(s *blackboard.DataCentreSummary) bool {
	if s.Epoch != m.Epoch {
		return s.Epoch > m.Epoch
	}
	return s.Sequence > m.Sequence
}

// Digest returns the digest of the services of a summary.
func Digest(services []blackboard.ServiceSummary) uint64 {
	var sum uint64
	for i := range services {
		sum ^= digestOf(&services[i])
	}
	return sum
}

// digestOf returns the digest of one service; 0 if it has no targets, since a full summary omits it.
func digestOf(s *blackboard.ServiceSummary) uint64 {
	if s.Targets == 0 {
		return 0
	}
	buf := make([]byte, 0, 256)
	buf = append(buf, s.Service...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(s.Targets))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(s.Slots))
	for _, h := range s.Hosts {
		buf = append(buf, 0)
		buf = append(buf, h.Host...)
		buf = append(buf, 0)
		buf = append(buf, h.Address...)
	}
	return xxhash.Sum64(buf)
}

// Deltas returns deltas of the summaries that a node holds in a version newer
// than a follower's marks, sorted by data centre, and the marks that result. If
// only is not empty, it names the one data centre to include. The follower's own
// data centre is omitted.
func Deltas(s *blackboard.State, marks Marks, follower, only string, now time.Time) ([]*wirepb.SummaryDelta, Marks) {
	var deltas []*wirepb.SummaryDelta
	next := Marks{}
	maps.Copy(next, marks)
	for _, summary := range heldSummaries(s) {
		mark := marks[summary.DataCentre]
		wanted := summary.DataCentre != follower && (only == "" || only == summary.DataCentre)
		if !wanted || !mark.isOlderThan(&summary) {
			continue
		}
		deltas = append(deltas, newDelta(&summary, mark, now))
		next[summary.DataCentre] = Mark{summary.Epoch, summary.Sequence}
	}
	return deltas, next
}

// heldSummaries returns the summaries that a node holds, sorted by data centre.
func heldSummaries(s *blackboard.State) []blackboard.DataCentreSummary {
	var all []blackboard.DataCentreSummary
	if s.Members.Summary != nil && s.Members.Summary.Own.Epoch > 0 {
		all = append(all, s.Members.Summary.Own)
	}
	for _, summary := range s.Members.Remote {
		all = append(all, summary)
	}
	slices.SortFunc(all, func(a, b blackboard.DataCentreSummary) int {
		switch {
		case a.DataCentre < b.DataCentre:
			return -1
		case a.DataCentre > b.DataCentre:
			return 1
		}
		return 0
	})
	return all
}

func newDelta(s *blackboard.DataCentreSummary, mark Mark, now time.Time) *wirepb.SummaryDelta {
	out := &wirepb.SummaryDelta{
		DataCentre: s.DataCentre, Region: s.Region, Epoch: s.Epoch, Sequence: s.Sequence, Digest: s.Digest,
		Age: uint64(max(0, now.Sub(s.Received).Milliseconds())),
	}
	if mark.Epoch == s.Epoch {
		out.Base = mark.Sequence
	}
	for _, service := range s.Services {
		if service.ChangedSequence > out.Base && (out.Base > 0 || service.Targets > 0) {
			out.Services = append(out.Services, toWire(service))
		}
	}
	return out
}

func toWire(s blackboard.ServiceSummary) *wirepb.ServiceCount {
	count := &wirepb.ServiceCount{
		Service: s.Service, Targets: uint32(s.Targets), Slots: uint32(s.Slots), Changed: s.ChangedSequence,
	}
	for _, h := range s.Hosts {
		count.Hosts = append(count.Hosts, &wirepb.SummaryHost{Host: h.Host, Address: h.Address})
	}
	return count
}

func fromWire(c *wirepb.ServiceCount) blackboard.ServiceSummary {
	s := blackboard.ServiceSummary{
		Service: c.GetService(), Targets: int(c.GetTargets()), Slots: int(c.GetSlots()), ChangedSequence: c.GetChanged(),
	}
	for _, h := range c.GetHosts() {
		s.Hosts = append(s.Hosts, blackboard.RemoteHost{Host: h.GetHost(), Address: h.GetAddress()})
	}
	return s
}

// Apply applies a delta to a summary. It returns false if the digest of the
// result differs from the one in the delta.
func Apply(old blackboard.DataCentreSummary, delta *wirepb.SummaryDelta) (blackboard.DataCentreSummary, bool) {
	next := old
	next.DataCentre, next.Region = delta.GetDataCentre(), delta.GetRegion()
	next.Epoch, next.Sequence = delta.GetEpoch(), delta.GetSequence()
	if delta.GetBase() == 0 {
		next.Services = nil
	}
	if delta.GetBase() == 0 || len(delta.GetServices()) > 0 {
		next.Services = mergeServices(next.Services, delta.GetServices())
		next.Digest = Digest(next.Services)
	}
	return next, next.Digest == delta.GetDigest()
}

// mergeServices inserts or replaces the services in a delta, and keeps the order by name.
func mergeServices(old []blackboard.ServiceSummary, changes []*wirepb.ServiceCount) []blackboard.ServiceSummary {
	next := slices.Clone(old)
	for _, c := range changes {
		service := fromWire(c)
		i, found := slices.BinarySearchFunc(next, service, compareByService)
		if found {
			next[i] = service
		} else {
			next = slices.Insert(next, i, service)
		}
	}
	return next
}
