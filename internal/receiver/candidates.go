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

// Distances of candidates.
const (
	distanceDataCentre = 0
	distanceRegion     = 1
	distanceFar        = 2
)

// service is what this node knows of the targets of a service.
type service struct {
	// candidates may take new work, nearest first. Read only.
	candidates []router.Candidate
	// keyHosts are all known hosts of the service, also those that take no
	// work: a key that a lost host remembers must not run elsewhere. Read only.
	keyHosts []string
	// addresses of the nodes of hosts that can be asked. Read only.
	addresses map[string]string
	// serving names the hosts of candidates. Read only.
	serving map[string]bool
	// since is when each of keyHosts was first seen or came back from taking no work. Read only.
	since map[string]time.Time
}

// index holds the services by name for one value of the members entry.
type index struct {
	mu sync.Mutex
	// members and remote identify the maps that services was made from. Guarded by mu.
	members, remote unsafe.Pointer
	// target is the record of this host that services was made from. Guarded by mu.
	target blackboard.TargetRecord
	// services is replaced when the board changes. Guarded by mu.
	services map[string]*service
}

// find returns the service as the state knows it.
func (x *index) find(s *blackboard.State, name string) *service {
	members := reflect.ValueOf(s.Members.ByHost).UnsafePointer()
	remote := reflect.ValueOf(s.Members.Remote).UnsafePointer()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.services == nil || x.members != members || x.remote != remote || x.target != s.Target.Record {
		x.services = build(s, x.services, time.Now())
		x.members, x.remote, x.target = members, remote, s.Target.Record
	}
	if found := x.services[name]; found != nil {
		return found
	}
	return &service{}
}

func build(s *blackboard.State, earlier map[string]*service, now time.Time) map[string]*service {
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
		found.see(earlier[name], now)
	}
	return b.services
}

// see notes since when each host may have taken the keys that it has now: since
// it was first seen, or since it came back from taking no work.
func (s *service) see(earlier *service, now time.Time) {
	s.serving = make(map[string]bool, len(s.candidates))
	for i := range s.candidates {
		s.serving[s.candidates[i].Host] = true
	}
	s.since = make(map[string]time.Time, len(s.keyHosts))
	for _, host := range s.keyHosts {
		s.since[host] = now
		if earlier != nil && (earlier.serving[host] || !s.serving[host]) {
			s.since[host] = earlier.since[host]
		}
	}
}

func byDistance(a, b router.Candidate) int {
	if a.Distance != b.Distance {
		return a.Distance - b.Distance
	}
	return strings.Compare(a.Host, b.Host)
}

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
	found.candidates = append(found.candidates, router.Candidate{
		Host: m.Host, Address: m.Address, DataCentre: m.DataCentre, Distance: b.distance(m.DataCentre, m.Region),
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

// addSummary adds the hosts of another data centre. While nothing is wrong a
// summary is up to summarizer.MaxSteadyAge old; only what is older counts as old.
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
