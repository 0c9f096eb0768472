package gossiper

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// Times of a measurement, by the network's clock.
const (
	settleTime  = 90 * time.Second
	steadyTime  = 60 * time.Second
	failureTime = 40 * time.Second
	spreadTime  = 20 * time.Second
	victims     = 5
)

// result is what one run showed.
type result struct {
	bytesPerSecond float64
	cpuPercent     float64
	falseDeaths    int
	detection      []time.Duration
	spread         []time.Duration
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(p*float64(len(d))))].Round(100 * time.Millisecond)
}

func row(design string, n int, loss float64, r result) {
	fmt.Printf("| %s | %d | %.0f%% | %v / %v / %v | %d | %.0f | %.3f%% | %v / %v / %v |\n", design, n, 100*loss,
		percentile(r.detection, 0.5), percentile(r.detection, 0.99), percentile(r.detection, 1), r.falseDeaths,
		r.bytesPerSecond, r.cpuPercent,
		percentile(r.spread, 0.5), percentile(r.spread, 0.99), percentile(r.spread, 1))
}

// BenchmarkMembership prints the table of docs/measurements/membership.md.
func BenchmarkMembership(b *testing.B) {
	fmt.Printf("| design | nodes | loss | detection p50 / p99 / max | false deaths | bytes/s/node | CPU/node | spread of a drain p50 / p99 / max |\n")
	for _, n := range []int{10, 100, 300, 1000} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			seeds := []uint64{1, 2, 3}
			if n == 1000 {
				seeds = seeds[:1]
			}
			var sum result
			for _, seed := range seeds {
				r := measure(b, seed, n, loss)
				sum.bytesPerSecond += r.bytesPerSecond / float64(len(seeds))
				sum.cpuPercent += r.cpuPercent / float64(len(seeds))
				sum.falseDeaths += r.falseDeaths
				sum.detection = append(sum.detection, r.detection...)
				sum.spread = append(sum.spread, r.spread...)
			}
			row("gossip", n, loss, sum)
			row("full mesh", n, loss, fullMesh(b, n, loss))
		}
	}
	fmt.Printf("| platform-held membership | nodes | writes/s | reads/s |\n")
	for _, n := range []int{10, 100, 300, 1000, 19000} {
		writes, reads := platformHeld(n)
		fmt.Printf("| leases of 3 s, lists each second | %d | %d | %d |\n", n, writes, reads)
	}
}

func measure(b *testing.B, seed uint64, n int, loss float64) result {
	b.Helper()
	w := newNetwork(b, seed, n)
	w.bootAll()
	w.advance(settleTime)
	assert.Equal(b, w.disagreement(), "")
	var r result
	w.loss = loss
	w.check = func(_ *node, before, after *blackboard.State) {
		if before.Members.Gossip != nil {
			r.falseDeaths += max(0, before.Members.Gossip.LiveMembers-after.Members.Gossip.LiveMembers)
		}
	}
	w.countBytes()
	w.busy = 0
	w.advance(steadyTime)
	_, bytes, syncBytes := w.countBytes()
	r.bytesPerSecond = float64(bytes+syncBytes) / float64(n) / steadyTime.Seconds()
	r.cpuPercent = 100 * w.busy.Seconds() / float64(n) / steadyTime.Seconds()
	w.check = nil
	r.spread = w.measureSpread()
	r.detection = w.measureDetection()
	return r
}

// measureSpread lets one target drain, and returns when each node knew.
func (w *network) measureSpread() []time.Duration {
	v := w.nodes[len(w.nodes)/2]
	v.state.Target.Record = blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetDraining, Slots: 10, Revision: 9}
	return w.arrivals(spreadTime, func(o *node) bool {
		return o.state.Members.ByHost[v.state.Self.Host].Target.Revision == 9
	})
}

// measureDetection kills hosts one after the other, and returns when each node knew of each.
func (w *network) measureDetection() []time.Duration {
	var all []time.Duration
	for i := range victims {
		at := len(w.nodes) - 1 - i
		w.advance(time.Duration(w.rand.Int64N(int64(probePeriod))))
		w.kill(at)
		all = append(all, w.arrivals(failureTime, func(o *node) bool {
			return gone(o.state.Members.ByHost[host(at)].Status)
		})...)
	}
	return all
}

// arrivals returns after what time each running node fulfilled a condition; those that never did count with the limit.
func (w *network) arrivals(limit time.Duration, arrived func(*node) bool) []time.Duration {
	began := w.now
	took := make([]time.Duration, 0, len(w.nodes))
	waiting := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return !n.up })
	for len(waiting) > 0 && w.now.Sub(began) < limit {
		w.advance(blackboard.TickInterval)
		waiting = slices.DeleteFunc(waiting, func(n *node) bool {
			if arrived(n) {
				took = append(took, w.now.Sub(began))
				return true
			}
			return false
		})
	}
	for range waiting {
		took = append(took, limit)
	}
	return took
}

// fullMesh is the baseline in which every node sends a heartbeat to every other
// each second, and counts a node as dead after three seconds without one.
func fullMesh(b *testing.B, n int, loss float64) result {
	b.Helper()
	const missed = 3
	random := rand.New(rand.NewPCG(1, uint64(n)))
	heartbeat := &wirepb.GossipPacket{
		Kind: wirepb.GossipKind_GOSSIP_KIND_RUMOUR, DataCentre: "buc-a", Host: host(n - 1), Incarnation: 1 << 50, Version: 1000,
	}
	var r result
	size := proto.Size(heartbeat) + packetHeaderBytes
	r.bytesPerSecond = float64(2 * (n - 1) * size)
	began := time.Now()
	for range n - 1 { // what one node does in a second: one packet made, n-1 read
		_, err := Decode(encoded(b, heartbeat), "buc-a")
		assert.NilError(b, err)
	}
	r.cpuPercent = 100 * time.Since(began).Seconds()
	for range n * (n - 1) {
		run := 0
		for range int(steadyTime / time.Second) {
			if random.Float64() >= loss {
				run = 0
			} else if run++; run == missed {
				r.falseDeaths++
			}
		}
	}
	for range victims * (n - 1) { // the last heartbeat that arrived is between 0 and 1 s old, or older with loss
		silent := missed * time.Second
		age := time.Duration(random.Int64N(int64(time.Second)))
		for random.Float64() < loss {
			age += time.Second
		}
		r.detection = append(r.detection, max(0, silent-age)+blackboard.TickInterval)
		arrival := blackboard.TickInterval
		for random.Float64() < loss {
			arrival += time.Second
		}
		r.spread = append(r.spread, arrival)
	}
	return r
}

// platformHeld counts the calls a second of the baseline in which each node
// renews a lease of 3 s each second, and lists all leases each second.
func platformHeld(n int) (writes, reads int) {
	for range n {
		writes++
		reads++
	}
	return writes, reads
}

// BenchmarkRestart prints how long a whole data centre takes to know itself again, and the bytes of the first minute.
func BenchmarkRestart(b *testing.B) {
	fmt.Printf("| nodes | seed | all know all after | bytes/node in the first minute | heap/node |\n")
	for _, n := range []int{10, 100, 300, 1000} {
		for seed := range uint64(3) {
			before := heapInUse()
			w := newNetwork(b, seed+1, n)
			w.bootAll()
			took := w.until(2*time.Minute, "all know each other", w.agree)
			w.advance(time.Minute - took)
			_, bytes, syncBytes := w.countBytes()
			fmt.Printf("| %d | %d | %v | %d | %d |\n", n, seed+1, took, (bytes+syncBytes)/n, (heapInUse()-before)/uint64(n))
			runtime.KeepAlive(w)
			if n == 1000 {
				break
			}
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
