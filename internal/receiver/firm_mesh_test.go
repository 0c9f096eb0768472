package receiver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
	"gentianbarrow.example/pkg/snapshotter"
)

// The access keys of the firms in these tests.
const (
	keyRocklea = "m82thhkmgjqnirth5mgj"
	keyYatala  = "y5rcpihhacruddedev3n"
	keyUnknown = "q0zzunknownzzunknown"
)

// firmsSnapshot is bookingSnapshot with two firms, and with /check open to requests without a key.
func firmsSnapshot() *snapshotter.Snapshot {
	s := bookingSnapshot()
	s.Firms = map[string]snapshotter.Firm{
		"rocklea": {Name: "rocklea", Keys: []snapshotter.Digest{snapshotter.DigestKey(keyRocklea)}, Rate: 100, Burst: 100, Priority: 1},
		"yatala":  {Name: "yatala", Keys: []snapshotter.Digest{snapshotter.DigestKey(keyYatala)}},
	}
	check := s.Routes["check"]
	check.Keyless = true
	s.Routes["check"] = check
	return s
}

// firmMesh is a mesh with firms that keeps what its nodes send and write.
type firmMesh struct {
	*mesh
	metrics *prometheus.Registry

	mu sync.Mutex
	// received holds the headers of all requests that arrived at targets. Guarded by mu.
	received []http.Header
	// sent holds the bytes of all connections but those of callers; logs what all nodes
	// have logged. Guarded by mu.
	sent, logs bytes.Buffer
	// refuseTokens makes TakeToken refuse; returned counts the tokens that were given back. Guarded by mu.
	refuseTokens    bool
	taken, returned int
}

// Write adds to the logs.
func (m *firmMesh) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logs.Write(b)
}

func (m *firmMesh) configure(cfg *Config, target http.Handler) http.Handler {
	cfg.Log = logger.New(m, logger.FormatJSON, logger.LevelDebug, "a", "a")
	if m.metrics == nil {
		m.metrics = prometheus.NewRegistry()
		cfg.Meter = meter.New(m.metrics, func() int { return 0 }, func() time.Duration { return 0 })
	}
	cfg.TakeToken = func(now time.Time, _ snapshotter.Firm) (time.Time, bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.taken++
		return now.Add(3 * time.Second), !m.refuseTokens
	}
	cfg.ReturnToken = func(time.Time, snapshotter.Firm) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.returned++
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		m.received = append(m.received, r.Header.Clone())
		m.mu.Unlock()
		target.ServeHTTP(w, r)
	})
}

func (m *firmMesh) record(address string, b []byte) {
	if !strings.HasSuffix(address, callersPort) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.sent.Write(b)
	}
}

// setSnapshot puts a snapshot in force at all nodes.
func (m *firmMesh) setSnapshot(s *snapshotter.Snapshot) {
	for _, n := range m.nodes {
		n.change(func(state *blackboard.State) { state.Config.Running = s })
	}
}

// runWithFirms runs a test in a mesh with the two firms.
func runWithFirms(t *testing.T, nodes int, cfg targeter.Config, f func(t *testing.T, m *firmMesh)) {
	t.Helper()
	clearPools()
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		m := &firmMesh{}
		p.record = m.record
		n := pipeNetwork(p)
		n.configure = m.configure
		m.mesh = newMesh(n, nodes, cfg)
		m.pipes = p
		defer m.close(t)
		m.setSnapshot(firmsSnapshot())
		f(t, m)
	})
}

// ask sends a request with the given headers, any of them more than once, over the client's connection.
func (m *firmMesh) ask(ctx context.Context, client *http.Client, i int, path string, header http.Header) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.nodes[i].callers+path, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, header: resp.Header, closesConnection: resp.Close}
	out.body, out.bodyErr = io.ReadAll(resp.Body)
	return out
}

// askOnce is ask over a connection of its own.
func (m *firmMesh) askOnce(ctx context.Context, i int, path string, header http.Header) reply {
	client := m.client()
	defer client.CloseIdleConnections()
	return m.ask(ctx, client, i, path, header)
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// assertFirm checks that each request which arrived at a target named the firm alone, and no key.
func (m *firmMesh) assertFirm(t *testing.T, firm string, want int) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Equal(t, len(m.received), want)
	for _, h := range m.received {
		assert.Equal(t, strings.Join(h[exchanger.HeaderFirm], ","), firm)
		assert.Equal(t, len(h["Authorization"]), 0)
	}
	m.received = nil
}

func (m *firmMesh) assertNothingRan(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Equal(t, len(m.received), 0)
}

func assertRefusal(t *testing.T, r reply, status int, reason exchanger.Reason) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, status)
	assert.Equal(t, r.outcome(), retrier.OutcomeNotRun)
	assert.Equal(t, r.reason(), reason)
}

// askWithTrailer sends a request with a body, whose trailer repeats the key.
func (m *firmMesh) askWithTrailer(t *testing.T, i int, key string) reply {
	t.Helper()
	trailer := http.Header{"Authorization": {"Bearer " + key}, "Gentian-Firm": {key}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.nodes[i].callers+"/upload", io.MultiReader(strings.NewReader("body")))
	assert.NilError(t, err)
	req.Header, req.Trailer, req.ContentLength = bearer(key), trailer, -1
	client := m.client()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

// exposed returns the metrics as an operator reads them.
func exposed(t *testing.T, r *prometheus.Registry) string {
	t.Helper()
	families, err := r.Gather()
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	for _, f := range families {
		_, err := io.WriteString(w, f.String()+"\n")
		assert.NilError(t, err)
	}
	return w.Body.String()
}
