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

// Durations of the phases of a measurement, by the network's clock.
const (
	settleTime  = 90 * time.Second
	steadyTime  = 60 * time.Second
	failureTime = 40 * time.Second
	spreadTime  = 20 * time.Second
	killedNodes = 5
)

// measurement holds the results of one run.
type measurement struct {
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

func printRow(design string, n int, loss float64, r measurement) {
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
			var sum measurement
			for _, seed := range seeds {
				r := measure(b, seed, n, loss)
				sum.bytesPerSecond += r.bytesPerSecond / float64(len(seeds))
				sum.cpuPercent += r.cpuPercent / float64(len(seeds))
				sum.falseDeaths += r.falseDeaths
				sum.detection = append(sum.detection, r.detection...)
				sum.spread = append(sum.spread, r.spread...)
			}
			printRow("gossip", n, loss, sum)
			printRow("full mesh", n, loss, measureFullMesh(b, n, loss))
		}
	}
	fmt.Printf("| platform-held membership | nodes | writes/s | reads/s |\n")
	for _, n := range []int{10, 100, 300, 1000, 19000} {
		writes, reads := platformLeaseCalls(n)
		fmt.Printf("| leases of 3 s, lists each second | %d | %d | %d |\n", n, writes, reads)
	}
}

func measure(b *testing.B, seed uint64, n int, loss float64) measurement {
	b.Helper()
	w := newNetwork(b, seed, n)
	w.bootAll()
	w.advance(settleTime)
	assert.Equal(b, w.disagreement(), "")
	var r measurement
	w.loss = loss
	w.check = func(_ *node, before, after *blackboard.State) {
		if before.Members.Gossip != nil {
			r.falseDeaths += max(0, before.Members.Gossip.LiveMembers-after.Members.Gossip.LiveMembers)
		}
	}
	w.countBytes()
	w.busyTime = 0
	w.advance(steadyTime)
	_, bytes, syncBytes := w.countBytes()
	r.bytesPerSecond = float64(bytes+syncBytes) / float64(n) / steadyTime.Seconds()
	r.cpuPercent = 100 * w.busyTime.Seconds() / float64(n) / steadyTime.Seconds()
	w.check = nil
	r.spread = w.measureSpread()
	r.detection = w.measureDetection()
	return r
}

// measureSpread lets one target drain, and returns how long each node took to learn of it.
func (w *network) measureSpread() []time.Duration {
	v := w.nodes[len(w.nodes)/2]
	v.state.Target.Record = blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetDraining, Slots: 10, Revision: 9}
	return w.timesUntil(spreadTime, func(o *node) bool {
		return o.state.Members.ByHost[v.state.Self.Host].Target.Revision == 9
	})
}

// measureDetection kills hosts one after the other, and returns how long each node took to detect each death.
func (w *network) measureDetection() []time.Duration {
	var all []time.Duration
	for i := range killedNodes {
		at := len(w.nodes) - 1 - i
		w.advance(time.Duration(w.rand.Int64N(int64(probePeriod))))
		w.kill(at)
		all = append(all, w.timesUntil(failureTime, func(o *node) bool {
			return isGone(o.state.Members.ByHost[host(at)].Status)
		})...)
	}
	return all
}

// timesUntil returns how long each running node took to meet a condition; a node
// that did not meet it within the limit counts with the limit.
func (w *network) timesUntil(limit time.Duration, isMet func(*node) bool) []time.Duration {
	began := w.now
	took := make([]time.Duration, 0, len(w.nodes))
	waiting := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return !n.up })
	for len(waiting) > 0 && w.now.Sub(began) < limit {
		w.advance(blackboard.TickInterval)
		waiting = slices.DeleteFunc(waiting, func(n *node) bool {
			if isMet(n) {
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

// measureFullMesh measures the baseline in which every node sends a heartbeat to
// every other each second, and considers a node dead after three seconds without one.
func measureFullMesh(b *testing.B, n int, loss float64) measurement {
	b.Helper()
	const maxMissedHeartbeats = 3
	random := rand.New(rand.NewPCG(1, uint64(n)))
	heartbeat := &wirepb.GossipPacket{
		Kind: wirepb.GossipKind_GOSSIP_KIND_RUMOUR, DataCentre: "buc-a", Host: host(n - 1), Incarnation: 1 << 50, Version: 1000,
	}
	var r measurement
	size := proto.Size(heartbeat) + packetHeaderBytes
	r.bytesPerSecond = float64(2 * (n - 1) * size)
	began := time.Now()
	for range n - 1 { // a node reads n-1 packets per second; each is also encoded here
		_, err := Decode(encoded(b, heartbeat), "buc-a")
		assert.NilError(b, err)
	}
	r.cpuPercent = 100 * time.Since(began).Seconds()
	for range n * (n - 1) {
		missedHeartbeats := 0
		for range int(steadyTime / time.Second) {
			if random.Float64() >= loss {
				missedHeartbeats = 0
			} else if missedHeartbeats++; missedHeartbeats == maxMissedHeartbeats {
				r.falseDeaths++
			}
		}
	}
	for range killedNodes * (n - 1) { // the last heartbeat that arrived is between 0 and 1 s old, or older with loss
		deathTimeout := maxMissedHeartbeats * time.Second
		age := time.Duration(random.Int64N(int64(time.Second)))
		for random.Float64() < loss {
			age += time.Second
		}
		r.detection = append(r.detection, max(0, deathTimeout-age)+blackboard.TickInterval)
		arrival := blackboard.TickInterval
		for random.Float64() < loss {
			arrival += time.Second
		}
		r.spread = append(r.spread, arrival)
	}
	return r
}

// platformLeaseCalls returns the calls per second of the baseline in which each
// node renews a lease of 3 s each second, and lists all leases each second.
func platformLeaseCalls(n int) (writes, reads int) {
	for range n {
		writes++
		reads++
	}
	return writes, reads
}

// BenchmarkRestart prints how long all nodes of a data centre that start together
// take to know each other, and the traffic of the first minute.
func BenchmarkRestart(b *testing.B) {
	fmt.Printf("| nodes | seed | all know all after | bytes/node in the first minute | heap/node |\n")
	for _, n := range []int{10, 100, 300, 1000} {
		for seed := range uint64(3) {
			before := heapInUse()
			w := newNetwork(b, seed+1, n)
			w.bootAll()
			took := w.advanceUntil(2*time.Minute, "all know each other", w.allAgree)
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
