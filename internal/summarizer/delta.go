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

// Mark tells how much of a summary a node holds. The zero value means nothing.
type Mark struct{ Epoch, Sequence uint64 }

// Marks holds a mark for each data centre.
type Marks map[string]Mark

// before tells whether a summary is newer than the mark.
func (m Mark) before(s *blackboard.DataCentreSummary) bool {
	if s.Epoch != m.Epoch {
		return s.Epoch > m.Epoch
	}
	return s.Sequence > m.Sequence
}

// Digest covers the services of a summary.
func Digest(services []blackboard.ServiceSummary) uint64 {
	var sum uint64
	for i := range services {
		sum ^= digestOf(&services[i])
	}
	return sum
}

// digestOf covers one service; 0 when it has no target left, since a whole summary leaves it out.
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

// Deltas returns what a node holds that is newer than a follower's marks, in
// order of data centre, and the marks after it. Only, when not empty, names the
// one data centre to tell of. The follower's own data centre is left out.
func Deltas(s *blackboard.State, marks Marks, follower, only string, now time.Time) ([]*wirepb.SummaryDelta, Marks) {
	var deltas []*wirepb.SummaryDelta
	next := Marks{}
	maps.Copy(next, marks)
	for _, held := range held(s) {
		mark := marks[held.DataCentre]
		wanted := held.DataCentre != follower && (only == "" || only == held.DataCentre)
		if !wanted || !mark.before(&held) {
			continue
		}
		deltas = append(deltas, delta(&held, mark, now))
		next[held.DataCentre] = Mark{held.Epoch, held.Sequence}
	}
	return deltas, next
}

// held returns the summaries that a node holds, in order of data centre.
func held(s *blackboard.State) []blackboard.DataCentreSummary {
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

func delta(s *blackboard.DataCentreSummary, mark Mark, now time.Time) *wirepb.SummaryDelta {
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

// Apply returns the summary after a delta. It returns false when the result does
// not have the digest that the delta promises.
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

// mergeServices replaces the services that a delta names, and keeps the order.
func mergeServices(old []blackboard.ServiceSummary, changes []*wirepb.ServiceCount) []blackboard.ServiceSummary {
	next := slices.Clone(old)
	for _, c := range changes {
		service := fromWire(c)
		i, found := slices.BinarySearchFunc(next, service, byService)
		if found {
			next[i] = service
		} else {
			next = slices.Insert(next, i, service)
		}
	}
	return next
}
