package summarizer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// convergenceTarget is the time within which every node must know of a change.
const convergenceTarget = 17 * time.Second

// mesh simulates the summarizers of a few nodes of each data centre under a
// simulated clock. Node i of a data centre follows node (i-1)/fanout; nodes 0
// and 1 are relays.
type mesh struct {
	t        testing.TB
	now      time.Time
	nodes    map[string]*node
	order    []string
	members  map[string]map[string]blackboard.Member
	isCutOff map[string]bool
	// corrupt, if not nil, modifies a delta in transit.
	corrupt func(*wirepb.SummaryDelta)
	bytes   int
}

type node struct {
	state   blackboard.State
	up      bool
	follows map[string]Follow
}

const fanout = 3

func newMesh(t testing.TB, dataCentres, nodes int) *mesh {
	m := &mesh{
		t: t, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), nodes: map[string]*node{},
		members: map[string]map[string]blackboard.Member{}, isCutOff: map[string]bool{},
	}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc-%d", dc)
		m.members[name] = map[string]blackboard.Member{}
		for i := range nodes {
			m.addNode(name, i)
		}
	}
	return m
}

func address(dc string, i int) string { return fmt.Sprintf("%s-%d", dc, i) }

func (m *mesh) addNode(dc string, i int) {
	a := address(dc, i)
	n := &node{up: true, follows: map[string]Follow{}}
	n.state.Self = blackboard.Self{Host: a, DataCentre: dc, Address: a, Incarnation: 1}
	n.state.Lease.Slot = -1
	if i > 0 {
		n.state.Config.Parent = address(dc, (i-1)/fanout)
	}
	m.nodes[a] = n
	m.order = append(m.order, a)
	m.members[dc][a] = blackboard.Member{
		Host: a, Address: a, DataCentre: dc, Status: blackboard.MemberAlive,
		Target: blackboard.TargetRecord{Service: fmt.Sprintf("service-%d", i/2), Phase: blackboard.TargetReady, Slots: 10},
	}
	m.grantLease(dc, 0, 1)
	m.grantLease(dc, 1, 2)
}

// grantLease grants a relay slot to a node for longer than any test lasts.
func (m *mesh) grantLease(dc string, i int, epoch uint64) {
	if n := m.nodes[address(dc, i)]; n != nil {
		n.state.Lease = blackboard.Lease{Slot: i, Epoch: epoch, Expires: m.now.Add(100 * time.Hour)}
	}
	relays := []blackboard.Relay{}
	for j := range 2 {
		if n := m.nodes[address(dc, j)]; n != nil && n.state.Lease.Slot >= 0 {
			relays = append(relays, blackboard.Relay{Slot: j, Epoch: n.state.Lease.Epoch, Host: n.state.Self.Host, Expires: n.state.Lease.Expires})
		}
	}
	for j := range 2 {
		if n := m.nodes[address(dc, j)]; n != nil {
			n.state.Lease.Relays = relays
		}
	}
}

func (m *mesh) setTarget(dc string, i int, phase blackboard.TargetPhase) {
	next := maps.Clone(m.members[dc])
	member := next[address(dc, i)]
	member.Target.Phase = phase
	next[member.Host] = member
	m.members[dc] = next
}

func (m *mesh) post(n *node, msg blackboard.Msg) {
	n.state.Members.ByHost = m.members[n.state.Self.DataCentre]
	var effects []blackboard.Effect
	n.state, effects = Reduce(n.state, msg)
	for _, e := range effects {
		switch e := e.(type) {
		case FindRelays:
			m.post(n, blackboard.RelaysFound{Relays: m.relays(), Now: m.now})
		case Unfollow:
			delete(n.follows, e.Key)
		case Follow:
			n.follows[e.Key] = e
		}
	}
}

func (m *mesh) relays() map[string][]string {
	all := map[string][]string{}
	for dc := range m.members {
		all[dc] = []string{address(dc, 0), address(dc, 1)}
	}
	return all
}

// deliverDeltas delivers the deltas of a followed node to its follower.
func (m *mesh) deliverDeltas(n *node, key string) {
	f := n.follows[key]
	from := m.nodes[f.Address]
	dc, other := n.state.Self.DataCentre, from.state.Self.DataCentre
	reachable := from.up && (dc == other || !m.isCutOff[dc] && !m.isCutOff[other])
	if !reachable || f.Only != "" && !isPublishing(&from.state, f.Only) {
		delete(n.follows, key)
		m.post(n, blackboard.SummaryStreamEnded{Key: key, Address: f.Address, Now: m.now})
		return
	}
	if mark := f.Marks[other]; mark.Epoch > 0 {
		m.post(from, blackboard.SummaryEpochReported{Epoch: mark.Epoch})
	}
	deltas, next := Deltas(&from.state, f.Marks, dc, f.Only, m.now)
	f.Marks = next
	n.follows[key] = f
	for _, d := range deltas {
		m.bytes += proto.Size(d)
		d = proto.CloneOf(d)
		if m.corrupt != nil {
			m.corrupt(d)
		}
		assert.NilError(m.t, CheckDelta(d))
		m.post(n, blackboard.SummaryReceived{Delta: d, Now: m.now})
	}
}

func (m *mesh) advance(d time.Duration) {
	for range int(d / pushPeriod) {
		m.now = m.now.Add(pushPeriod)
		for _, a := range m.order {
			n := m.nodes[a]
			if !n.up {
				continue
			}
			m.post(n, blackboard.Tick{Now: m.now})
			for _, key := range slices.Sorted(maps.Keys(n.follows)) {
				m.deliverDeltas(n, key)
			}
		}
	}
}

// assertSummaryKnown checks that every running node outside a data centre holds its current summary.
func (m *mesh) assertSummaryKnown(dc string) {
	m.t.Helper()
	want := CountTargets(m.members[dc])
	for _, a := range m.order {
		n := m.nodes[a]
		if !n.up || n.state.Self.DataCentre == dc {
			continue
		}
		got := slices.DeleteFunc(slices.Clone(n.state.Members.Remote[dc].Services), func(s blackboard.ServiceSummary) bool {
			return s.Targets == 0
		})
		for i := range got {
			got[i].ChangedSequence = 0
		}
		assert.DeepEqual(m.t, got, want)
	}
}
