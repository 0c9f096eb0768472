package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"gentianbarrow.example/platform/emulator"
)

const (
	// faultsFor is how long faults begin.
	faultsFor = 8 * time.Second
	// fewestFaults and mostFaults of one run.
	fewestFaults, mostFaults = 8, 16
	// shortestFault and longestFault bound how long one lasts.
	shortestFault, longestFault = 200 * time.Millisecond, 4 * time.Second
	// operatorKind is the kind of objects that the operator writes again after a restore.
	operatorKind = "config"
	// pollEvery is the time between two looks at something that is waited for.
	pollEvery = 20 * time.Millisecond
)

// fault is one way to harm the mesh. It returns what heals it.
type fault struct {
	name string
	do   func(m *mesh, h *host, r *rand.Rand) (heal func())
}

func none() {}

// faults are all that may come. The processes use no clock but the steady one, which cannot be changed from outside.
var faults = []fault{
	{"kill", func(m *mesh, h *host, _ *rand.Rand) func() {
		h.node.hold()
		h.node.kill()
		return func() { h.node.release(); h.node.start(m.t) }
	}},
	{"kill-data-centre", func(m *mesh, h *host, _ *rand.Rand) func() {
		hosts := m.hostsOf(h.dataCentre)
		for _, x := range hosts {
			x.node.hold()
			x.node.kill()
		}
		return func() {
			for _, x := range hosts {
				x.node.release()
				x.node.start(m.t)
			}
		}
	}},
	{"stop", func(m *mesh, h *host, _ *rand.Rand) func() {
		h.node.hold()
		h.node.stop()
		return func() { h.node.release(); h.node.start(m.t) }
	}},
	{"pause", func(_ *mesh, h *host, _ *rand.Rand) func() {
		h.node.signal(syscall.SIGSTOP)
		return func() { h.node.signal(syscall.SIGCONT) }
	}},
	{"reload", func(_ *mesh, h *host, _ *rand.Rand) func() {
		h.node.signal(syscall.SIGHUP)
		return none
	}},
	{"reset", func(_ *mesh, h *host, _ *rand.Rand) func() { h.peers.reset(); return none }},
	{"silence", func(_ *mesh, h *host, _ *rand.Rand) func() { h.peers.silence(); return none }},
	{"slow-link", func(_ *mesh, h *host, r *rand.Rand) func() {
		return h.peers.slow(time.Duration(10+r.IntN(90)) * time.Millisecond)
	}},
	{"cut-one-way", func(_ *mesh, h *host, r *rand.Rand) func() { return h.peers.hold(direction(r.IntN(int(directions)))) }},
	{"cut-node", func(_ *mesh, h *host, _ *rand.Rand) func() { return h.peers.hold(inward, outward) }},
	{"cut-data-centre", func(m *mesh, h *host, _ *rand.Rand) func() {
		var heals []func()
		for _, x := range m.hostsOf(h.dataCentre) {
			heals = append(heals, x.peers.hold(inward, outward))
		}
		return func() {
			for _, heal := range heals {
				heal()
			}
		}
	}},
	{"cut-store", func(_ *mesh, h *host, _ *rand.Rand) func() { return h.store.hold(inward, outward) }},
	{"silence-store", func(_ *mesh, h *host, _ *rand.Rand) func() { h.store.silence(); return none }},
	{"store-silent", storeFault(emulator.Faults{Silent: true})},
	{"store-busy", storeFault(emulator.Faults{Status: http.StatusTooManyRequests})},
	{"store-slow", storeFault(emulator.Faults{Delay: 300 * time.Millisecond})},
	{"store-loses-answers", storeFault(emulator.Faults{LoseAnswers: true})},
	{"store-forgets", func(m *mesh, _ *host, _ *rand.Rand) func() { m.store.Compact(); return none }},
	{"store-restored", func(m *mesh, _ *host, r *rand.Rand) func() {
		// Every other copy is older than the objects of the nodes.
		old := m.store.Copy()
		if r.IntN(2) == 0 {
			old = m.firstCopy
		}
		return func() {
			m.store.Set(emulator.Faults{Silent: true})
			time.Sleep(upTo(r, longestFault/2))
			m.store.Restore(old, operatorKind)
			m.store.Set(emulator.Faults{})
		}
	}},
	{"target-crash", func(m *mesh, h *host, _ *rand.Rand) func() {
		h.crashTarget()
		return func() { m.startTarget(h) }
	}},
	{"target-leaves", func(m *mesh, h *host, _ *rand.Rand) func() {
		m.leave(h)
		h.crashTarget()
		return func() { m.startTarget(h) }
	}},
	{"target-loses-answers", func(_ *mesh, h *host, _ *rand.Rand) func() {
		target := h.currentTarget()
		target.SetFaults(true, 0)
		return func() { target.SetFaults(false, 0) }
	}},
	{"target-slow", func(_ *mesh, h *host, _ *rand.Rand) func() {
		target := h.currentTarget()
		target.SetFaults(false, 500*time.Millisecond)
		return func() { target.SetFaults(false, 0) }
	}},
	{"target-states-limit", func(_ *mesh, h *host, r *rand.Rand) func() {
		target := h.currentTarget()
		target.SetLimit(1 + 20*r.Float64())
		return func() {
			// The limit outlasts the time in which it need not be kept yet.
			time.Sleep(limitGrace)
			target.SetLimit(0)
		}
	}},
	{"target-states-leaving", func(m *mesh, h *host, _ *rand.Rand) func() {
		h.currentTarget().StateLeaving()
		return func() {
			h.crashTarget()
			m.startTarget(h)
		}
	}},
}

func storeFault(f emulator.Faults) func(m *mesh, _ *host, _ *rand.Rand) func() {
	return func(m *mesh, _ *host, _ *rand.Rand) func() {
		m.store.Set(f)
		return func() { m.store.Set(emulator.Faults{}) }
	}
}

// leave takes a target away as the platform does: it serves on for the drain time after the acknowledgement.
func (m *mesh) leave(h *host) {
	const longest = 3 * time.Second
	target := h.currentTarget()
	target.Drain(m.ctx)
	for end := time.Now().Add(longest); !target.Acknowledged() && time.Now().Before(end); {
		time.Sleep(pollEvery)
	}
	time.Sleep(drainTime)
	target.Leave(m.ctx)
}

func (m *mesh) hostsOf(dataCentre string) []*host {
	var out []*host
	for _, h := range m.hosts {
		if h.dataCentre == dataCentre {
			out = append(out, h)
		}
	}
	return out
}

// event is one fault of a run.
type event struct {
	fault fault
	host  *host
	// begins and lasts are offsets within the run.
	begins, lasts time.Duration
	rnd           *rand.Rand
}

func (e event) String() string {
	return fmt.Sprintf("%s at %s for %s on %s", e.fault.name, e.begins.Round(time.Millisecond), e.lasts.Round(time.Millisecond), e.host.name)
}

func upTo(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

// draw returns the faults of a seed. Two processes of a target are never taken
// away at the same time, since a host has one.
func draw(m *mesh, seed uint64) []event {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var out []event
	taken := map[string]bool{}
	for range fewestFaults + rnd.IntN(mostFaults-fewestFaults+1) {
		e := event{
			fault: faults[rnd.IntN(len(faults))], host: m.hosts[rnd.IntN(len(m.hosts))],
			begins: upTo(rnd, faultsFor), lasts: shortestFault + upTo(rnd, longestFault-shortestFault),
			rnd: rand.New(rand.NewPCG(rnd.Uint64(), seed)),
		}
		if name := e.fault.name; name == "target-crash" || name == "target-leaves" || name == "target-states-leaving" {
			if taken[e.host.name] {
				continue
			}
			taken[e.host.name] = true
		}
		out = append(out, e)
	}
	return out
}
