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

// network runs nodes in one process under its own clock.
type network struct {
	t      testing.TB
	rand   *rand.Rand
	start  time.Time
	now    time.Time
	events eventQueue
	nodes  []*node
	byAddr map[string]*node
	// loss is the share of packets that are lost.
	loss float64
	// latencyMax bounds the delay of a packet; greater than a tick it makes packets cross.
	latencyMax time.Duration
	cut        func(a, b *node) bool
	// check, when set, sees each change of a node.
	check func(n *node, before, after *blackboard.State)
	// relays is what the platform answers; finds counts the calls.
	relays []string
	finds  int
	// busy is the time that all nodes spent in Decode and Reduce, encoding included.
	busy time.Duration
	// viewer and viewed are the pair that disagreed last, and is looked at first.
	viewer, viewed *node
}

type node struct {
	state  blackboard.State
	seeds  []string
	up     bool
	life   int
	paused time.Time
	inbox  []func()
	// bytes counts payload and headers, sent and received; packets likewise.
	bytes, packets int
	syncBytes      int
	served         int
	servedTick     time.Time
}

// packetHeaderBytes is what UDP and IP add; kernelBuffer is how many packets wait for a paused process.
const (
	packetHeaderBytes = 28
	kernelBuffer      = 150
)

type event struct {
	at  time.Time
	seq int
	do  func()
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
		byAddr: map[string]*node{}, latencyMax: 2 * time.Millisecond,
	}
	for i := range n {
		v := &node{seeds: []string{address(0), address(1), address(2)}}
		v.state.Self = blackboard.Self{Host: host(i), DataCentre: "buc-a", Rack: fmt.Sprintf("r%d", i%20), Address: address(i)}
		w.nodes = append(w.nodes, v)
		w.byAddr[address(i)] = v
	}
	return w
}

func host(i int) string    { return fmt.Sprintf("buc-a-%d", i) }
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (w *network) after(d time.Duration, do func()) {
	w.events.next++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.events.next, do: do})
}

// boot starts a process on a host with nothing kept. Its clock may be behind.
func (w *network) boot(i int, clockSkew time.Duration) {
	v := w.nodes[i]
	target := v.state.Target.Record
	self := v.state.Self
	self.Incarnation = uint64(w.now.Add(clockSkew).UnixMicro())
	v.state = blackboard.State{Self: self, Target: blackboard.Target{Record: target}}
	v.up, v.paused, v.inbox = true, time.Time{}, nil
	v.life++
	life := v.life
	var tick func()
	tick = func() {
		if v.life != life {
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
	w.nodes[i].life++
}

// pause stops a process; a few packets wait for it, and one tick.
func (w *network) pause(i int, d time.Duration) {
	v := w.nodes[i]
	v.paused = w.now.Add(d)
	life := v.life
	w.after(d, func() {
		inbox := v.inbox
		v.inbox = nil
		for _, do := range inbox {
			if v.life == life {
				do()
			}
		}
	})
}

// handle hands a message to a node, or keeps it while the process stands still.
func (w *network) handle(v *node, msg func() blackboard.Msg) {
	if !v.up {
		return
	}
	if w.now.Before(v.paused) {
		if len(v.inbox) < kernelBuffer {
			v.inbox = append(v.inbox, func() { w.handle(v, msg) })
		}
		return
	}
	m := msg()
	began := time.Now()
	next, effects := Reduce(v.state, m, v.seeds)
	w.busy += time.Since(began)
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
		w.finds++
		w.after(5*time.Millisecond, func() {
			w.handle(v, func() blackboard.Msg { return blackboard.PeersFound{Addresses: w.relays, Now: w.now} })
		})
	}
}

func (w *network) reaches(a, b *node) bool {
	return b != nil && b.up && (w.cut == nil || !w.cut(a, b))
}

func (w *network) send(v *node, e SendPacket) {
	assert.Assert(w.t, len(e.Data) <= MaxPacketBytes)
	v.bytes += len(e.Data) + packetHeaderBytes
	v.packets++
	to := w.byAddr[e.Address]
	if !w.reaches(v, to) || w.rand.Float64() < w.loss {
		return
	}
	from := v.state.Self.Address
	w.after(time.Duration(w.rand.Int64N(int64(w.latencyMax))), func() {
		if !to.up {
			return
		}
		to.bytes += len(e.Data) + packetHeaderBytes
		to.packets++
		began := time.Now()
		p, err := Decode(e.Data, "buc-a")
		w.busy += time.Since(began)
		assert.NilError(w.t, err)
		w.handle(to, func() blackboard.Msg { return blackboard.PacketReceived{From: from, Packet: p, Now: w.now} })
	})
}

// sync exchanges tables, with the serving side's limit of exchanges at once.
func (w *network) sync(v *node, e StartSync) {
	to := w.byAddr[e.Address]
	if !w.reaches(v, to) || w.now.Before(to.paused) || !to.admits(w.now) {
		w.after(time.Second, func() { w.handle(v, func() blackboard.Msg { return blackboard.SyncFailed{Now: w.now} }) })
		return
	}
	reply, err := AnswerSync(&to.state, e.Request)
	if err != nil {
		w.after(time.Second, func() { w.handle(v, func() blackboard.Msg { return blackboard.SyncFailed{Now: w.now} }) })
		return
	}
	push := PushAfter(e.Members, reply)
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

// admits lets a node serve maxServedSyncs exchanges in each 20 ms.
func (n *node) admits(now time.Time) bool {
	if now.Sub(n.servedTick) > 20*time.Millisecond {
		n.servedTick, n.served = now, 0
	}
	n.served++
	return n.served <= maxServedSyncs
}

// advance lets time pass.
func (w *network) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.events.Len() > 0 && !w.events.list[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// until lets time pass until cond holds, and returns how long that took.
func (w *network) until(limit time.Duration, what string, cond func() bool) time.Duration {
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

// disagreement returns the first error in the views of the running nodes; empty means that all hold the truth.
func (w *network) disagreement() string {
	if w.viewer != nil && w.viewer.up {
		if wrong := w.wrongView(w.viewer, w.viewed); wrong != "" {
			return wrong
		}
	}
	for _, v := range w.nodes {
		if !v.up {
			continue
		}
		for _, o := range w.nodes {
			if wrong := w.wrongView(v, o); wrong != "" {
				w.viewer, w.viewed = v, o
				return wrong
			}
		}
	}
	return ""
}

func (w *network) wrongView(v, o *node) string {
	m, known := v.state.Members.ByHost[o.state.Self.Host]
	truth := o.state.Members.ByHost[o.state.Self.Host]
	switch {
	case !o.up && known && !gone(m.Status):
		return fmt.Sprintf("%s holds the dead %s %s", v.state.Self.Host, m.Host, m.Status)
	case !o.up:
		return ""
	case m.Status != blackboard.MemberAlive:
		return fmt.Sprintf("%s holds %s %q", v.state.Self.Host, truth.Host, m.Status)
	case m.Incarnation != truth.Incarnation || m.Target != ownTarget(&o.state):
		return fmt.Sprintf("%s holds an old record of %s", v.state.Self.Host, truth.Host)
	}
	return ""
}

func (w *network) agree() bool { return w.disagreement() == "" }

// settled returns a network whose nodes all know each other.
func settled(t testing.TB, seed uint64, n int) *network {
	t.Helper()
	w := newNetwork(t, seed, n)
	w.bootAll()
	w.until(time.Minute, "all know each other", w.agree)
	return w
}

// statusAt returns what one node believes of another.
func (w *network) statusAt(i, of int) blackboard.MemberStatus {
	return w.nodes[i].state.Members.ByHost[host(of)].Status
}

// countBytes returns what was sent and received by all nodes since the last call.
func (w *network) countBytes() (packets, bytes, syncBytes int) {
	for _, v := range w.nodes {
		packets += v.packets
		bytes += v.bytes
		syncBytes += v.syncBytes
		v.packets, v.bytes, v.syncBytes = 0, 0, 0
	}
	return packets, bytes, syncBytes
}

func (w *network) hostUp(name string) bool {
	for _, v := range w.nodes {
		if v.state.Self.Host == name {
			return v.up
		}
	}
	return false
}

// allHold tells whether every other running node holds a member in a state.
func (w *network) allHold(of int, want func(blackboard.MemberStatus) bool) bool {
	for i, v := range w.nodes {
		if v.up && i != of && !want(w.statusAt(i, of)) {
			return false
		}
	}
	return true
}
