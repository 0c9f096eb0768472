package receiver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/targeter"
)

// tcpNetwork returns a network on TCP loopback, for benchmarks.
func tcpNetwork(tb testing.TB) network {
	var dialer net.Dialer
	return network{
		listen: func(string) net.Listener {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(tb, err)
			return ln
		},
		dial: dialer.DialContext,
	}
}

// bench is a mesh on TCP loopback with a caller that reuses its connections.
type bench struct {
	*mesh
	client *http.Client
}

func newBench(tb testing.TB, nodes int, cfg targeter.Config, links ...linker.Option) *bench {
	n := tcpNetwork(tb)
	n.links = links
	m := newMesh(n, nodes, cfg)
	b := &bench{mesh: m, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	tb.Cleanup(func() {
		b.client.CloseIdleConnections()
		m.close(tb)
	})
	return b
}

// call sends one request and returns the time until the end of its answer.
func (b *bench) call(tb testing.TB, method, address, path string, body io.Reader) time.Duration {
	start := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, body)
	assert.NilError(tb, err)
	req.Header.Set(exchanger.HeaderRequestID, "bench")
	resp, err := b.client.Do(req)
	assert.NilError(tb, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(tb, err)
	assert.NilError(tb, resp.Body.Close())
	assert.Equal(tb, resp.StatusCode, http.StatusOK, resp.Header.Get(exchanger.HeaderReason))
	return time.Since(start)
}

func quantile(samples []time.Duration, q float64) float64 {
	slices.Sort(samples)
	return float64(samples[int(float64(len(samples)-1)*q)].Microseconds())
}

func report(b *testing.B, name string, samples []time.Duration) {
	b.ReportMetric(quantile(samples, 0.50), name+"-p50-us")
	b.ReportMetric(quantile(samples, 0.99), name+"-p99-us")
}

// BenchmarkAddedLatency compares the latency of requests sent directly to the
// target, through one node and through two, for different numbers of callers and
// values of GOGC.
func BenchmarkAddedLatency(b *testing.B) {
	cases := []struct{ callers, gcPercent int }{{1, 100}, {1, 400}, {4, 100}, {4, 400}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("callers=%d/gc-percent=%d", c.callers, c.gcPercent), func(b *testing.B) {
			defer debug.SetGCPercent(debug.SetGCPercent(c.gcPercent))
			m := newBench(b, 2, targeter.Config{})
			paths := map[string]string{
				"direct": m.nodes[1].state.Load().Target.Address,
				"one":    m.nodes[1].callers,
				"two":    m.nodes[0].callers,
			}
			m.removeTarget(0)
			m.nodes[1].change(func(s *stateType) { s.Members.ByHost = nil })
			samples := m.sample(b, c.callers, paths)
			for _, name := range []string{"direct", "one", "two"} {
				report(b, name, samples[name])
			}
			b.ReportMetric(quantile(samples["one"], 0.99)-quantile(samples["direct"], 0.99), "added-one-p99-us")
			b.ReportMetric(quantile(samples["two"], 0.99)-quantile(samples["direct"], 0.99), "added-two-p99-us")
		})
	}
}

// sample sends b.N requests over each path from concurrent callers and returns
// their latencies.
func (b *bench) sample(tb *testing.B, callers int, paths map[string]string) map[string][]time.Duration {
	var mu sync.Mutex
	samples := map[string][]time.Duration{}
	var left atomic.Int64
	left.Store(int64(tb.N))
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				for name, address := range paths {
					took := b.call(tb, http.MethodGet, address, "/read?bytes=200", nil)
					mu.Lock()
					samples[name] = append(samples[name], took)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return samples
}

// BenchmarkRequest counts the allocations of caller, nodes and target together.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"direct", "one", "two"} {
		b.Run(name, func(b *testing.B) {
			m := newBench(b, 2, targeter.Config{})
			m.removeTarget(0)
			address := m.nodes[0].callers
			switch name {
			case "direct":
				address = m.nodes[1].state.Load().Target.Address
			case "one":
				m.nodes[1].change(func(s *stateType) { s.Members.ByHost = nil })
				address = m.nodes[1].callers
			}
			b.ReportAllocs()
			for b.Loop() {
				m.call(b, http.MethodGet, address, "/read?bytes=200", nil)
			}
		})
	}
}

// BenchmarkUpload streams 64 MiB through two nodes, for different windows of the
// stream and sizes of a read.
func BenchmarkUpload(b *testing.B) {
	const size = 64 << 20
	for _, window := range []uint32{256 << 10, 1 << 20, 4 << 20} {
		for _, frame := range []int{16 << 10, 64 << 10} {
			b.Run(fmt.Sprintf("window=%dK/frame=%dK", window>>10, frame>>10), func(b *testing.B) {
				m := newBench(b, 2, targeter.Config{}, linker.WithWindow(window))
				m.removeTarget(0)
				b.SetBytes(size)
				b.ReportAllocs()
				for b.Loop() {
					m.call(b, http.MethodPost, m.nodes[0].callers, "/upload", io.LimitReader(zeros{maxRead: frame}, size))
				}
			})
		}
	}
}

// zeros is an endless body that returns at most maxRead bytes per read.
type zeros struct{ maxRead int }

func (z zeros) Read(b []byte) (int, error) { return min(len(b), z.maxRead), nil }

// BenchmarkShortBesideBulk measures short requests through two nodes while
// uploads run between the same nodes, over separate links and over a shared one.
func BenchmarkShortBesideBulk(b *testing.B) {
	cases := []struct {
		name    string
		uploads int
		oneLink bool
	}{
		{"no-uploads", 0, false}, {"separate-links", 4, false}, {"one-link", 4, true},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			m := newBench(b, 2, targeter.Config{})
			m.removeTarget(0)
			if c.oneLink {
				m.shareLink()
			}
			stop := m.startUploads(b, c.uploads)
			samples := m.sample(b, 1, map[string]string{"short": m.nodes[0].callers})
			stop()
			report(b, "short", samples["short"])
		})
	}
}

// shareLink sends all requests of the first node over one link.
func (m *mesh) shareLink() {
	n := m.nodes[0]
	n.open.Store(openFunc(func(ctx context.Context, address string, _ linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error) {
		return n.linker.OpenWith(ctx, address, linker.TrafficShort, kind, first, limit)
	}))
}

// startUploads keeps uploads running until stop is called.
func (b *bench) startUploads(tb testing.TB, uploads int) (stop func()) {
	var group sync.WaitGroup
	var stopped atomic.Bool
	for range uploads {
		group.Go(func() {
			for !stopped.Load() {
				b.call(tb, http.MethodPost, b.nodes[0].callers, "/upload", io.LimitReader(zeros{maxRead: 64 << 10}, 16<<20))
			}
		})
	}
	return func() {
		stopped.Store(true)
		group.Wait()
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapInuse + s.StackInuse)
}

// BenchmarkMemory reports the memory of a node that is idle, and of one with all
// connections of its target in use. It includes the caller and the target, which
// are in the same process.
func BenchmarkMemory(b *testing.B) {
	for _, connections := range []int{110, 120} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for range b.N {
				before := memoryInUse()
				m := newBench(b, 1, targeter.Config{Slots: connections, ServiceTime: 2 * time.Second})
				m.setSlots(connections)
				b.ReportMetric(float64(memoryInUse()-before)/1024, "idle-KiB")
				var group sync.WaitGroup
				for range connections {
					group.Go(func() { m.call(b, http.MethodGet, m.nodes[0].callers, "/read?bytes=10", nil) })
				}
				time.Sleep(time.Second)
				b.ReportMetric(float64(memoryInUse()-before)/1024, "full-KiB")
				group.Wait()
			}
		})
	}
}

// setSlots gives the service as many slots as connections, so that each connection
// carries a request.
func (m *mesh) setSlots(slots int) {
	for _, n := range m.nodes {
		n.change(func(s *stateType) {
			s.Config.Running = bookingSnapshot()
			service := s.Config.Running.Services["booking"]
			service.Slots, service.Connections, service.UrgentSlots = slots, slots, 0
			s.Config.Running.Services["booking"] = service
			s.Target.Record.Slots = slots
		})
	}
}

func TestQuantile(t *testing.T) {
	samples := []time.Duration{3 * time.Microsecond, time.Microsecond, 2 * time.Microsecond}
	assert.Equal(t, quantile(samples, 0.5), 2.0)
}
