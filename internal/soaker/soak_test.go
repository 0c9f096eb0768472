package soaker

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/enroller"
	"gentianbarrow.example/platform/emulator"
)

var (
	seeds = flag.Int("soak.seeds", 1, "how many seeds are played besides those that once failed")
	first = flag.Uint64("soak.first", 1, "the first of them; 0 draws one")
	timed = flag.Bool("soak.timed", false, "check the bounds in time as well")
	keep  = flag.String("soak.logs", "", "folder that keeps the nodes' logs of seeds that fail")
)

const (
	// configApply is within which an acknowledged version is in force, on a mesh without faults.
	configApply = 2 * time.Second
	// recoverWithin is within which everything is served again once nothing is wrong any more.
	recoverWithin = 15 * time.Second
	// patience replaces both on a machine that may be busy.
	patience = 60 * time.Second
	// calmFor is how long the mesh is watched without faults.
	calmFor = 2 * time.Second
	// pauseBetween requests of one caller.
	pauseBetween = 40 * time.Millisecond
	// uploadBytes is the size of an upload.
	uploadBytes = 60_000
	// bookBytes is the size of a booking.
	bookBytes = 1_200
)

// regressions are the seeds that once failed, with their causes.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{4, "a target got more requests than the rate limit that it stated"},
	{203, "a restore of the store lost the objects of nodes for good"},
}

func TestSoak(t *testing.T) {
	program := buildNode(t)
	for _, r := range regressions {
		t.Run("regression: "+r.cause, func(t *testing.T) { soak(t, program, r.seed) })
	}
	start := *first
	if start == 0 {
		start = rand.Uint64N(1 << 32)
	}
	for n := range uint64(*seeds) {
		t.Run("seed", func(t *testing.T) { soak(t, program, start+n) })
	}
}

// soak plays one seed.
func soak(t *testing.T, program string, seed uint64) {
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(t.Context())
	m := newMesh(ctx, t, program, seed)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, h := range m.hosts {
		group.Go(func() { m.watchReadiness(ctx, h) })
		group.Go(func() { m.probe(ctx, h) })
	}
	m.settle(t, "at first")
	load := m.load(ctx, &group)
	m.harm(t, seed)
	m.settle(t, "after the faults")
	m.assertEnrolled(t)
	m.calm(t)
	m.stopOne(t, seed)
	load()
	broken := m.ledger.Judge()
	for _, line := range broken {
		t.Error(line)
	}
	m.report(t)
	if t.Failed() && *keep != "" {
		m.keepLogs(t, seed)
	}
}

// harm plays the faults of the seed, and changes the configuration all the while.
func (m *mesh) harm(t *testing.T, seed uint64) {
	var group sync.WaitGroup
	for _, e := range draw(m, seed) {
		t.Log(e)
		group.Go(func() {
			time.Sleep(e.begins)
			heal := e.fault.do(m, e.host, e.rnd)
			time.Sleep(e.lasts)
			heal()
		})
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for end := time.Now().Add(faultsFor); time.Now().Before(end); {
		time.Sleep(200*time.Millisecond + upTo(rnd, time.Second))
		step := 1 + rnd.Uint64N(5)
		if m.hasFirms && rnd.IntN(4) == 0 {
			m.configureUnreadable(step)
			continue
		}
		m.configure(step)
	}
	m.configure(1)
	group.Wait()
	m.store.Set(emulator.Faults{})
}

// within returns the bound in time, or the patience of a run that does not check it.
func within(bound time.Duration) time.Duration {
	if *timed {
		return bound
	}
	return patience
}

// settle waits until every host serves every kind of request and the latest configuration.
func (m *mesh) settle(t *testing.T, when string) {
	t.Helper()
	end := time.Now().Add(within(recoverWithin))
	for _, h := range m.hosts {
		c := emulator.NewCaller(h.name, h.callers(), m.ledger)
		for _, r := range append(kinds(), m.latestRequest()) {
			for m.send(c, r).Outcome != emulator.OutcomeWhole {
				assert.Assert(t, time.Now().Before(end), "%s: %s does not serve %s", when, h.name, r.Path)
				time.Sleep(pollEvery)
			}
		}
		c.Close()
	}
}

// assertEnrolled waits until the store holds the object of every node.
func (m *mesh) assertEnrolled(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(within(recoverWithin)); m.store.Count(enroller.Kind) < len(m.hosts); time.Sleep(pollEvery) {
		assert.Assert(t, time.Now().Before(end), "the store holds the objects of %d of %d nodes", m.store.Count(enroller.Kind), len(m.hosts))
	}
}

func kinds() []emulator.Request {
	return []emulator.Request{
		{Kind: emulator.KindRead, Host: meshHost, Path: readPath + "x", Timeout: routeTimeout},
		{Kind: emulator.KindWrite, Host: meshHost, Path: bookPath + "x", Bytes: bookBytes, Timeout: routeTimeout},
		{Kind: emulator.KindUpload, Host: meshHost, Path: loadPath + "x", Bytes: uploadBytes, Timeout: routeTimeout, Fresh: true},
	}
}

func (m *mesh) latestRequest() emulator.Request {
	return emulator.Request{Kind: emulator.KindRead, Host: meshHost, Path: versionPath(m.latest().route), Timeout: routeTimeout}
}

// send sends a request with its key, or with the one of its kind.
func (m *mesh) send(c *emulator.Caller, r emulator.Request) emulator.Record {
	if m.hasFirms && r.Key == "" {
		r.Key = firmKey
		if r.Kind == emulator.KindWrite {
			r.Key = otherFirmKey
		}
	}
	return c.Send(m.ctx, r)
}

// load sends requests at every node until the returned function is called.
func (m *mesh) load(ctx context.Context, group *sync.WaitGroup) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for _, h := range m.hosts {
		for n, r := range kinds() {
			r.Fresh = r.Fresh || n%2 == 1 && h.service == services[1]
			callers.Go(func() {
				c := emulator.NewCaller(h.name, h.callers(), m.ledger)
				defer c.Close()
				for ctx.Err() == nil {
					if h.ready.Load() {
						m.send(c, r)
					}
					time.Sleep(pauseBetween)
				}
			})
		}
	}
	group.Go(func() { <-ctx.Done(); callers.Wait() })
	return func() { cancel(); callers.Wait() }
}

// probe asks for the newest routes at one node: a process never goes back to an older version.
func (m *mesh) probe(ctx context.Context, h *host) {
	c := emulator.NewCaller(h.name, h.callers(), m.ledger)
	defer c.Close()
	seen, of := 0, 0
	for ctx.Err() == nil {
		v := m.latest()
		before, _ := h.node.incarnation()
		if before != of {
			seen, of = 0, before
		}
		for _, n := range []int{v.route, max(seen, 1)} {
			rec := m.send(c, emulator.Request{Kind: emulator.KindRead, Host: meshHost, Path: versionPath(n), Timeout: routeTimeout, Fresh: true})
			if after, _ := h.node.incarnation(); after != before {
				break
			}
			switch {
			case rec.Outcome == emulator.OutcomeWhole:
				seen = max(seen, n)
			case rec.Status == statusNoRoute && n <= seen:
				m.ledger.Broken("config: %s refused the route of version step %d after it had served that of step %d", h.name, n, seen)
			}
		}
		if m.hasFirms {
			m.probeKeys(c, h, seen)
		}
		time.Sleep(pauseBetween)
	}
}

// statusNoRoute is how a node answers a request that no route takes.
const statusNoRoute = 404

// calm checks that every request is served and that a version is in force in time while nothing is wrong.
func (m *mesh) calm(t *testing.T) {
	begun := time.Now()
	m.configure(1)
	end := time.Now().Add(within(configApply))
	for _, h := range m.hosts {
		c := emulator.NewCaller(h.name, h.callers(), m.ledger)
		for m.send(c, m.latestRequest()).Status == statusNoRoute {
			assert.Assert(t, time.Now().Before(end), "config: %s does not run the latest version", h.name)
			time.Sleep(pollEvery)
		}
		if m.hasFirms {
			m.assertKeys(t, []*host{h}, []*emulator.Caller{c}, "calm")
		}
		c.Close()
	}
	time.Sleep(time.Until(begun.Add(calmFor)))
	m.assertServed(t, begun, "calm", func(r emulator.Record) bool { return r.Outcome != emulator.OutcomeWhole })
}

// assertServed fails for each request since begun that is bad. Probes of routes that are not in force yet don't count.
func (m *mesh) assertServed(t *testing.T, begun time.Time, when string, bad func(r emulator.Record) bool) {
	t.Helper()
	for _, r := range m.ledger.Records() {
		if r.Sent.After(begun) && !isProbe(r) && bad(r) {
			t.Errorf("%s: %s (%s) at %s was %s with status %d after %s, ran %d times", when, r.ID, r.Kind, r.Host, r.Outcome, r.Status,
				r.Ended.Sub(r.Sent).Round(time.Millisecond), m.ledger.Runs(r.ID))
		}
	}
}

// stopOne stops and starts one node under load: no request is cut, and the process ends within the grace time.
func (m *mesh) stopOne(t *testing.T, seed uint64) {
	h := m.hosts[seed%uint64(len(m.hosts))]
	begun := time.Now()
	h.node.hold()
	if !h.node.stop() && *timed {
		t.Errorf("stop: %s was still there at the end of the grace time", h.name)
	}
	h.node.release()
	h.node.start(t)
	m.settle(t, "after a stop")
	m.assertServed(t, begun, "stop", func(r emulator.Record) bool {
		cut := r.Outcome == emulator.OutcomeClosed && m.ledger.Runs(r.ID) > 0
		return cut || r.Outcome == emulator.OutcomeFailed
	})
}

// report logs how many requests had which outcome.
func (m *mesh) report(t *testing.T) {
	counts := map[emulator.Outcome]int{}
	for _, r := range m.ledger.Records() {
		counts[r.Outcome]++
	}
	t.Logf("requests by outcome: %v; %d versions", counts, m.latest().route)
}

func (m *mesh) keepLogs(t *testing.T, seed uint64) {
	to := filepath.Join(*keep, "seed-"+time.Now().Format("150405")+"-"+filepath.Base(m.dir))
	assert.NilError(t, os.MkdirAll(to, 0o700))
	assert.NilError(t, os.CopyFS(filepath.Join(to, "nodes"), os.DirFS(m.dir)))
	t.Logf("logs of seed %d are in %s", seed, to)
}
