package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// network simulates nodes in one process under a simulated clock.
type network struct {
	t         testing.TB
	rand      *rand.Rand
	start     time.Time
	now       time.Time
	events    eventQueue
	nodes     []*node
	byAddress map[string]*node
	// loss is the share of packets that are lost.
	loss float64
	// maxLatency bounds the delay of a packet; above the length of a tick, packets are reordered.
	maxLatency time.Duration
	isCut      func(a, b *node) bool
	// check, if not nil, is called with each state change of a node.
	check func(n *node, before, after *blackboard.State)
	// relays is the platform's answer to a search for peers; findCalls counts the searches.
	relays    []string
	findCalls int
	// busyTime is the time that all nodes spent in Decode and Reduce, including encoding.
	busyTime time.Duration
	// viewer and viewed are the pair of nodes for which disagreement last found an
	// error; it checks them first.
	viewer, viewed *node
}

type node struct {
	state       blackboard.State
	seeds       []string
	up          bool
	generation  int
	pausedUntil time.Time
	inbox       []func()
	// bytes counts payload and headers, and packets counts packets, both sent and received.
	bytes, packets int
	syncBytes      int
	servedSyncs    int
	servedSince    time.Time
}

// packetHeaderBytes is the size of the UDP and IP headers; maxSocketBufferPackets
// is how many packets the kernel buffers for a paused process.
const (
	packetHeaderBytes      = 28
	maxSocketBufferPackets = 150
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue struct {
	list []event
	next int
}

func (q *eventQueue) Len() int           { return len(q.list) }
func (q *eventQueue) Swap(i, j int)      { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(e any)         { q.list = append(q.list, e.(event)) }
func (q *eventQueue) Less(i, j int) bool { return q.list[i].before(q.list[j]) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (e event) before(o event) bool {
	if e.at.Equal(o.at) {
		return e.seq < o.seq
	}
	return e.at.Before(o.at)
}

func newNetwork(t testing.TB, seed uint64, n int) *network {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	w := &network{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		byAddress: map[string]*node{}, maxLatency: 2 * time.Millisecond,
	}
	for i := range n {
		v := &node{seeds: []string{address(0), address(1), address(2)}}
		v.state.Self = blackboard.Self{Host: host(i), DataCentre: "buc-a", Rack: fmt.Sprintf("r%d", i%20), Address: address(i)}
		w.nodes = append(w.nodes, v)
		w.byAddress[address(i)] = v
	}
	return w
}

func host(i int) string    { return fmt.Sprintf("buc-a-%d", i) }
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (w *network) after(d time.Duration, run func()) {
	w.events.next++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.events.next, run: run})
}

// boot starts a process on a host without stored state. Its clock may be slow.
func (w *network) boot(i int, clockSkew time.Duration) {
	v := w.nodes[i]
	target := v.state.Target.Record
	self := v.state.Self
	self.Incarnation = uint64(w.now.Add(clockSkew).UnixMicro())
	v.state = blackboard.State{Self: self, Target: blackboard.Target{Record: target}}
	v.up, v.pausedUntil, v.inbox = true, time.Time{}, nil
	v.generation++
	generation := v.generation
	var tick func()
	tick = func() {
		if v.generation != generation {
			return
		}
		w.handle(v, func() blackboard.Msg { return blackboard.Tick{Now: w.now} })
		w.after(blackboard.TickInterval, tick)
	}
	w.after(time.Duration(w.rand.Int64N(int64(blackboard.TickInterval))), tick)
}

func (w *network) bootAll() {
	for i := range w.nodes {
		w.boot(i, 0)
	}
}

func (w *network) kill(i int) {
	w.nodes[i].up = false
	w.nodes[i].generation++
}

// pause suspends a process. Up to maxSocketBufferPackets messages are delivered
// to it when it resumes.
func (w *network) pause(i int, d time.Duration) {
	v := w.nodes[i]
	v.pausedUntil = w.now.Add(d)
	generation := v.generation
	w.after(d, func() {
		inbox := v.inbox
		v.inbox = nil
		for _, run := range inbox {
			if v.generation == generation {
				run()
			}
		}
	})
}

// handle delivers a message to a node, or buffers it while the process is paused.
func (w *network) handle(v *node, msg func() blackboard.Msg) {
	if !v.up {
		return
	}
	if w.now.Before(v.pausedUntil) {
		if len(v.inbox) < maxSocketBufferPackets {
			v.inbox = append(v.inbox, func() { w.handle(v, msg) })
		}
		return
	}
	m := msg()
	began := time.Now()
	next, effects := Reduce(v.state, m, v.seeds)
	w.busyTime += time.Since(began)
	if w.check != nil {
		w.check(v, &v.state, &next)
	}
	v.state = next
	for _, e := range effects {
		w.run(v, e)
	}
}

func (w *network) run(v *node, e blackboard.Effect) {
	switch e := e.(type) {
	case SendPacket:
		w.send(v, e)
	case StartSync:
		w.sync(v, e)
	case FindPeers:
		w.findCalls++
		w.after(5*time.Millisecond, func() {
			w.handle(v, func() blackboard.Msg { return blackboard.PeersFound{Addresses: w.relays, Now: w.now} })
		})
	}
}

func (w *network) canReach(a, b *node) bool {
	return b != nil && b.up && (w.isCut == nil || !w.isCut(a, b))
}

func (w *network) send(v *node, e SendPacket) {
	assert.Assert(w.t, len(e.Data) <= MaxPacketBytes)
	v.bytes += len(e.Data) + packetHeaderBytes
	v.packets++
	to := w.byAddress[e.Address]
	if !w.canReach(v, to) || w.rand.Float64() < w.loss {
		return
	}
	from := v.state.Self.Address
	w.after(time.Duration(w.rand.Int64N(int64(w.maxLatency))), func() {
		if !to.up {
			return
		}
		to.bytes += len(e.Data) + packetHeaderBytes
		to.packets++
		began := time.Now()
		p, err := Decode(e.Data, "buc-a")
		w.busyTime += time.Since(began)
		assert.NilError(w.t, err)
		w.handle(to, func() blackboard.Msg { return blackboard.PacketReceived{From: from, Packet: p, Now: w.now} })
	})
}

// sync exchanges tables, subject to the serving node's limit on concurrent exchanges.
func (w *network) sync(v *node, e StartSync) {
	to := w.byAddress[e.Address]
	if !w.canReach(v, to) || w.now.Before(to.pausedUntil) || !to.admitsSync(w.now) {
		w.after(time.Second, func() { w.handle(v, func() blackboard.Msg { return blackboard.SyncFailed{Now: w.now} }) })
		return
	}
	reply, err := AnswerSync(&to.state, e.Request)
	if err != nil {
		w.after(time.Second, func() { w.handle(v, func() blackboard.Msg { return blackboard.SyncFailed{Now: w.now} }) })
		return
	}
	push := RecordsToPush(e.Members, reply)
	size := proto.Size(e.Request) + proto.Size(reply) + proto.Size(push)
	v.syncBytes += size
	to.syncBytes += size
	w.after(2*time.Millisecond, func() {
		w.handle(v, func() blackboard.Msg {
			return blackboard.SyncReceived{Records: reply.GetMembers(), Started: true, Now: w.now}
		})
		w.handle(to, func() blackboard.Msg { return blackboard.SyncReceived{Records: push.GetMembers(), Now: w.now} })
	})
}

// admitsSync reports whether a node may serve another exchange: it serves
// maxConcurrentSyncs in each 20 ms.
func (n *node) admitsSync(now time.Time) bool {
	if now.Sub(n.servedSince) > 20*time.Millisecond {
		n.servedSince, n.servedSyncs = now, 0
	}
	n.servedSyncs++
	return n.servedSyncs <= maxConcurrentSyncs
}

// advance moves the clock forward and runs the events that fall due.
func (w *network) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.events.Len() > 0 && !w.events.list[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// advanceUntil moves the clock forward until cond holds, and returns how long that took.
func (w *network) advanceUntil(limit time.Duration, what string, cond func() bool) time.Duration {
	w.t.Helper()
	began := w.now
	for !cond() {
		if w.now.Sub(began) >= limit {
			w.t.Fatalf("%s: not after %v", what, limit)
		}
		w.advance(blackboard.TickInterval)
	}
	return w.now.Sub(began)
}

// disagreement returns the first error in the views of the running nodes; empty if all views are correct.
func (w *network) disagreement() string {
	if w.viewer != nil && w.viewer.up {
		if wrong := w.viewError(w.viewer, w.viewed); wrong != "" {
			return wrong
		}
	}
	for _, v := range w.nodes {
		if !v.up {
			continue
		}
		for _, o := range w.nodes {
			if wrong := w.viewError(v, o); wrong != "" {
				w.viewer, w.viewed = v, o
				return wrong
			}
		}
	}
	return ""
}

func (w *network) viewError(v, o *node) string {
	m, known := v.state.Members.ByHost[o.state.Self.Host]
	actual := o.state.Members.ByHost[o.state.Self.Host]
	switch {
	case !o.up && known && !isGone(m.Status):
		return fmt.Sprintf("%s considers the dead host %s %s", v.state.Self.Host, m.Host, m.Status)
	case !o.up:
		return ""
	case m.Status != blackboard.MemberAlive:
		return fmt.Sprintf("%s considers the live host %s %q", v.state.Self.Host, actual.Host, m.Status)
	case m.Incarnation != actual.Incarnation || m.Target != ownTarget(&o.state):
		return fmt.Sprintf("%s has an outdated record of %s", v.state.Self.Host, actual.Host)
	}
	return ""
}

func (w *network) allAgree() bool { return w.disagreement() == "" }

// newSettledNetwork returns a network whose nodes all know each other.
func newSettledNetwork(t testing.TB, seed uint64, n int) *network {
	t.Helper()
	w := newNetwork(t, seed, n)
	w.bootAll()
	w.advanceUntil(time.Minute, "all know each other", w.allAgree)
	return w
}

// statusAt returns the status of a member in the view of node i.
func (w *network) statusAt(i, of int) blackboard.MemberStatus {
	return w.nodes[i].state.Members.ByHost[host(of)].Status
}

// countBytes returns the traffic sent and received by all nodes since the last call.
func (w *network) countBytes() (packets, bytes, syncBytes int) {
	for _, v := range w.nodes {
		packets += v.packets
		bytes += v.bytes
		syncBytes += v.syncBytes
		v.packets, v.bytes, v.syncBytes = 0, 0, 0
	}
	return packets, bytes, syncBytes
}

func (w *network) isHostUp(name string) bool {
	for _, v := range w.nodes {
		if v.state.Self.Host == name {
			return v.up
		}
	}
	return false
}

// allSeeStatus reports whether a member's status meets a condition in the view of every other running node.
func (w *network) allSeeStatus(of int, want func(blackboard.MemberStatus) bool) bool {
	for i, v := range w.nodes {
		if v.up && i != of && !want(w.statusAt(i, of)) {
			return false
		}
	}
	return true
}
