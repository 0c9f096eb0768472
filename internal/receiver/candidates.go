package receiver

import (
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
	"unsafe"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/internal/summarizer"
)

// The distances of candidates, as in router.Candidate.
const (
	distanceDataCentre = 0
	distanceRegion     = 1
	distanceFar        = 2
)

// service holds what this node knows of the targets of a service.
type service struct {
	// candidates are the targets that take new work, nearest first. Read only.
	candidates []router.Candidate
	// keyHosts are all known hosts of the service, including those that take no
	// work: a request whose key is remembered on a lost host must not run elsewhere.
	// Read only.
	keyHosts []string
	// addresses holds, by host, the address of each node that can be reached. Read only.
	addresses map[string]string
	// serving is the set of the hosts of candidates. Read only.
	serving map[string]bool
	// keysSince is when each of keyHosts was first seen, or took work again after it
	// had taken none; zero if it has taken none since it was first seen. Read only.
	keysSince map[string]time.Time
}

// index caches the services, by name, that follow from one state of the members
// and of this host's target.
type index struct {
	mu sync.Mutex
	// members and remote identify the maps that services was built from. Guarded by mu.
	members, remote unsafe.Pointer
	// target is the record of this host's target that services was built from. Guarded by mu.
	target blackboard.TargetRecord
	// services is replaced when one of these changes. Guarded by mu.
	services map[string]*service
}

// find returns the service as of the state; it is empty when the service is not known.
func (x *index) find(s *blackboard.State, name string) *service {
	members := reflect.ValueOf(s.Members.ByHost).UnsafePointer()
	remote := reflect.ValueOf(s.Members.Remote).UnsafePointer()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.services == nil || x.members != members || x.remote != remote || x.target != s.Target.Record {
		x.services = buildServices(s, x.services, time.Now())
		x.members, x.remote, x.target = members, remote, s.Target.Record
	}
	if found := x.services[name]; found != nil {
		return found
	}
	return &service{}
}

// buildServices returns the services by name. earlier are the services before, which may be nil.
func buildServices(s *blackboard.State, earlier map[string]*service, now time.Time) map[string]*service {
	b := builder{services: map[string]*service{}, self: s.Self}
	b.addSelf(s)
	for host, m := range s.Members.ByHost {
		if host != s.Self.Host {
			b.addMember(m)
		}
	}
	for _, summary := range s.Members.Remote {
		b.addSummary(summary)
	}
	for name, found := range b.services {
		slices.SortFunc(found.candidates, byDistance)
		found.updateKeysSince(earlier[name], now)
	}
	return b.services
}

// updateKeysSince sets serving and keysSince. A host that takes work now and took
// none in earlier counts as new, as do all hosts when earlier is nil; the other
// hosts keep their time.
func (s *service) updateKeysSince(earlier *service, now time.Time) {
	s.serving = make(map[string]bool, len(s.candidates))
	for i := range s.candidates {
		s.serving[s.candidates[i].Host] = true
	}
	s.keysSince = make(map[string]time.Time, len(s.keyHosts))
	for _, host := range s.keyHosts {
		s.keysSince[host] = now
		if earlier != nil && (earlier.serving[host] || !s.serving[host]) {
			s.keysSince[host] = earlier.keysSince[host]
		}
	}
}

func byDistance(a, b router.Candidate) int {
	if a.Distance != b.Distance {
		return a.Distance - b.Distance
	}
	return strings.Compare(a.Host, b.Host)
}

// builder builds the services of an index.
type builder struct {
	services map[string]*service
	self     blackboard.Self
}

func (b *builder) service(name string) *service {
	found := b.services[name]
	if found == nil {
		found = &service{addresses: map[string]string{}}
		b.services[name] = found
	}
	return found
}

func (b *builder) addSelf(s *blackboard.State) {
	b.addMember(blackboard.Member{
		Host: s.Self.Host, Address: s.Self.Address, DataCentre: s.Self.DataCentre, Region: s.Self.Region,
		Incarnation: s.Self.Incarnation, Status: blackboard.MemberAlive, Target: s.Target.Record,
	})
}

func (b *builder) addMember(m blackboard.Member) {
	if m.Target.Service == "" {
		return
	}
	found := b.service(m.Target.Service)
	found.keyHosts = append(found.keyHosts, m.Host)
	if m.Status != blackboard.MemberAlive && m.Status != blackboard.MemberSuspect {
		return
	}
	found.addresses[m.Host] = m.Address
	switch m.Target.Phase {
	case blackboard.TargetReady, blackboard.TargetCold:
	default:
		return
	}
	if m.Status == blackboard.MemberSuspect {
		return
	}
	linkMbit := m.LinkMbit
	if m.Host == b.self.Host {
		linkMbit = 0
	}
	found.candidates = append(found.candidates, router.Candidate{
		LinkMbit: linkMbit,
		Host:     m.Host, Address: m.Address, DataCentre: m.DataCentre, Distance: b.distance(m.DataCentre, m.Region),
		Slots: max(m.Target.Slots, 1), Cold: m.Target.Phase == blackboard.TargetCold,
		Incarnation: m.Incarnation,
	})
}

func (b *builder) distance(dataCentre, region string) int {
	switch {
	case dataCentre == b.self.DataCentre:
		return distanceDataCentre
	case region == b.self.Region:
		return distanceRegion
	default:
		return distanceFar
	}
}

// addSummary adds the hosts of another data centre. In normal operation a summary
// is up to summarizer.MaxSteadyAge old, so only the age beyond that counts.
func (b *builder) addSummary(d blackboard.DataCentreSummary) {
	if d.DataCentre == b.self.DataCentre {
		return
	}
	distance := b.distance(d.DataCentre, d.Region)
	for _, s := range d.Services {
		found := b.service(s.Service)
		slots := max(s.Slots/max(s.Targets, 1), 1)
		for _, h := range s.Hosts {
			found.keyHosts = append(found.keyHosts, h.Host)
			found.addresses[h.Host] = h.Address
			found.candidates = append(found.candidates, router.Candidate{
				Host: h.Host, Address: h.Address, DataCentre: d.DataCentre, Distance: distance,
				Slots: slots, LearnedAt: d.Received.Add(summarizer.MaxSteadyAge),
			})
		}
	}
}
