package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/platform/emulator"
)

const (
	// drainTime is how long after the acknowledgement of its leaving a target may be reached.
	drainTime = 2 * time.Second
	// limitGrace is how long after a target states a rate limit it may still get more requests.
	limitGrace = 3 * time.Second
	// announceEvery is the time between two announcements of a target.
	announceEvery = 300 * time.Millisecond
	// targetWork is how long a request runs.
	targetWork = 20 * time.Millisecond
	// targetSlots is how many requests a target runs at once.
	targetSlots = 20
	// routeTimeout is the timeout of every route.
	routeTimeout = 2 * time.Second
	// readinessEvery is how often the platform asks a node whether it takes callers.
	readinessEvery = 1 * time.Second
	meshHost       = "mesh.example"
	readPath       = "/read/"
	bookPath       = "/book/"
	loadPath       = "/load/"
)

// placement of the hosts: data centres, each with a target of every service.
var (
	dataCentres = []string{"buc-a", "buc-b", "buc-c"}
	services    = []string{"roster", "assign", "evidence"}
)

// host is a node with its target and what stands around them.
type host struct {
	name, ip, dataCentre, service string
	node                          *process
	// peers carries what other nodes send, store what this node asks of the store.
	peers, store *proxy
	// ready is what the platform believes of the node.
	ready atomic.Bool

	mu sync.Mutex
	// target is the latest process. Guarded by mu.
	target *emulator.Target
	// targets counts the processes. Guarded by mu.
	targets int
}

func (h *host) callers() string { return h.ip + ":7610" }

// mesh is everything that runs.
type mesh struct {
	t      *testing.T
	ctx    context.Context
	dir    string
	store  *emulator.Store
	ledger *emulator.Ledger
	hosts  []*host
	// firstCopy of the store is from before the first node started.
	firstCopy emulator.Copy

	// hasFirms is set if requests need a key.
	hasFirms bool

	mu sync.Mutex
	// versions that the store has acknowledged and that can be read, the latest last. Guarded by mu.
	versions []version
	// number of the latest version, which may be one that cannot be read. Guarded by mu.
	number uint64
}

// version is a configuration that the store holds.
type version struct {
	number uint64
	// route is the number of the route that came with it.
	route int
	// acknowledged is when the store had it.
	acknowledged time.Time
}

// newMesh starts all processes. Addresses are taken from a network of the seed's own on loopback.
func newMesh(ctx context.Context, t *testing.T, program string, seed uint64) *mesh {
	t.Helper()
	m := &mesh{
		t: t, ctx: ctx, dir: t.TempDir(), store: emulator.NewStore(), ledger: emulator.NewLedger(),
		hasFirms: seed%2 == 1,
	}
	network := fmt.Sprintf("127.%d.%d.", 2+seed/200%200, 1+seed%200)
	storeAddress := network + "250:7700"
	ln, err := net.Listen("tcp", storeAddress)
	assert.NilError(t, err)
	server := &http.Server{Handler: m.store}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ln) })
	t.Cleanup(func() { _ = server.Close(); serving.Wait() })
	m.configure(1)
	m.firstCopy = m.store.Copy()
	for _, dataCentre := range dataCentres {
		for _, service := range services {
			h := &host{
				name: dataCentre + "-" + service, dataCentre: dataCentre, service: service,
				ip: network + fmt.Sprint(len(m.hosts)+1),
			}
			h.peers = newProxy(t, h.ip+":7601", h.ip+":7600")
			h.store = newProxy(t, h.ip+":7606", storeAddress)
			h.node = &process{program: program, settings: filepath.Join(m.dir, h.name+".yaml"), log: filepath.Join(m.dir, h.name+".log")}
			assert.NilError(t, os.WriteFile(h.node.settings, []byte(settingsOf(h)), 0o600))
			m.hosts = append(m.hosts, h)
		}
	}
	for _, h := range m.hosts {
		h.node.start(t)
		m.startTarget(h)
	}
	t.Cleanup(func() {
		for _, h := range m.hosts {
			h.node.hold()
			h.node.kill()
			h.crashTarget()
		}
		waiting.Wait()
	})
	return m
}

func settingsOf(h *host) string {
	return fmt.Sprintf(`host: %s
data-centre: %s
region: ro-buc
rack: %s
listen:
  callers: %s
  nodes: %s:7600
  advertised: %s:7601
  targets: %s:7602
  readiness: %s:7603
  admin: %s:7604
platform: "http://%s:7606"
platform-api: objects
platform-bounds: ["%s"]
target:
  address: %s:7605
  service: %s
log:
  format: json
`, h.name, h.dataCentre, h.name, h.callers(), h.ip, h.ip, h.ip, h.ip, h.ip, h.ip,
		strings.Join(emulator.Bounds(announceEvery, grace), `", "`), h.ip, h.service)
}

// startTarget starts another process of the target on a host.
func (m *mesh) startTarget(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets++
	h.target = emulator.NewTarget(emulator.TargetConfig{
		ID: fmt.Sprintf("%s-%d", h.name, h.targets), Service: h.service, Address: h.ip + ":7605", Control: h.ip + ":7602",
		Zone: h.dataCentre, Slots: targetSlots, Work: targetWork, AnnounceEvery: announceEvery, Drain: drainTime, LimitGrace: limitGrace,
	}, m.ledger)
	if err := h.target.Start(m.ctx); err != nil {
		m.t.Errorf("start of a target: %v", err)
	}
}

func (h *host) currentTarget() *emulator.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

func (h *host) crashTarget() { h.currentTarget().Crash() }

// configure writes a further version, with all routes of the earlier ones and one more.
func (m *mesh) configure(step uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number += step
	v := version{number: m.number, route: len(m.versions) + 1}
	m.store.Configure(v.number, m.routes(v.route), services, m.firms(v.route), m.ledger)
	v.acknowledged = time.Now()
	m.versions = append(m.versions, v)
}

// routes returns the routes of a version.
func (m *mesh) routes(last int) []emulator.Route {
	routes := []emulator.Route{
		route("read", readPath, "roster", emulator.KindRead),
		route("book", bookPath, "assign", emulator.KindWrite),
		route("load", loadPath, "evidence", emulator.KindUpload),
	}
	for n := 1; n <= last; n++ {
		routes = append(routes, route(fmt.Sprintf("v%d", n), versionPath(n), "roster", emulator.KindRead))
	}
	return routes
}

func route(name, prefix, service string, kind emulator.Kind) emulator.Route {
	return emulator.Route{
		Name: name, Host: meshHost, Prefix: prefix, Service: service, Kind: kind, Timeout: routeTimeout, MaxAttempts: 2,
	}
}

func versionPath(n int) string { return fmt.Sprintf("/v%d/", n) }

func (m *mesh) latest() version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions[len(m.versions)-1]
}

// watchReadiness keeps the platform's belief of a node: two misses in a row take it out.
func (m *mesh) watchReadiness(ctx context.Context, h *host) {
	client := &http.Client{Timeout: readinessEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessEvery)
	defer ticker.Stop()
	for misses := 0; ; {
		misses++
		if emulator.Ready(ctx, client, h.ip+":7603") {
			misses = 0
		}
		h.ready.Store(misses < 2)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
