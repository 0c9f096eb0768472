package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cutTime is the length of the disruption "node_cut", which the sheets play for 5.5 s with at
// most 0.35 of the machines.
const cutTime = 5500 * time.Millisecond

const (
	// cutRounds is how often the machines are cut off, each time a quarter of a second later
	// within the interval of a second in which nodes hear from each other.
	cutRounds = 4
	// rejoinTime is the pause after the end of a cut.
	rejoinTime = 8 * time.Second
)

// playCutWatchers cuts one machine of each of three zones off, three of nine, right before the
// operator adds a route. To all others a machine that is cut off looks like one whose process
// is stopped: it answers nothing, and new connections to it get no answer either.
func playCutWatchers(e *env) (verdict, error) {
	const host = "jepu9.example"
	m := e.mesh
	services := []string{"status-page", "booking", "bench-media"}
	for k := range 9 {
		m.addMachine(k%3+1, services[k/3], 870*time.Millisecond)
	}
	routes := map[string]any{"r-status": route(host, "/lepu270/", "idempotent", "status-page", "2500ms", "400ms", 2)}
	m.configure(routes, services...)
	_, closeAll, err := startInstances(m, instanceConfig{slots: 18, work: 20 * time.Millisecond, chunkBytes: 1000})
	if err != nil {
		return verdict{}, err
	}
	defer closeAll()
	if err := m.startAll(); err != nil {
		return verdict{}, err
	}
	broken, worst := 0, verdict{}
	for k := range cutRounds {
		time.Sleep(time.Duration(k) * time.Second / cutRounds)
		prefix := fmt.Sprintf("/nopu%d/", 550+k)
		routes[fmt.Sprintf("r-new-%d", k+1)] = route(host, prefix, "idempotent", "status-page", "2500ms", "400ms", 2)
		v := playCut(e, m.machines[:3], m.machines[3:], host, prefix, func() { m.configure(routes, services...) })
		if v.broken {
			broken++
		}
		if v.count > worst.count {
			worst = v
		}
		e.record.note("round %d: %s", k+1, v.text)
		time.Sleep(rejoinTime)
	}
	if broken == 0 {
		return verdict{text: fmt.Sprintf("CONFIG: no request was answered 404 later than %v after the acknowledgement in %d rounds", boundConfigApply, cutRounds)}, nil
	}
	return verdict{broken: true, text: fmt.Sprintf("%d of %d rounds broken; the worst of them: %s", broken, cutRounds, worst.text)}, nil
}

// playCut cuts machines off, changes the configuration and asks the others for the new route.
func playCut(e *env, cut, others []*machine, host, prefix string, change func()) verdict {
	cutAt := time.Now()
	if e.trouble {
		for _, n := range cut {
			n.signal(syscall.SIGSTOP)
			e.record.note("%s is cut off", n.name)
		}
	}
	change()
	acked := time.Now()
	e.record.note("the store has acknowledged version %08x, which adds the route %s", e.mesh.version, prefix)
	time.Sleep(time.Until(acked.Add(boundConfigApply + 20*time.Millisecond)))
	v := probeRoute(e, others, host, prefix+"2f", acked, cutAt.Add(cutTime-2*time.Second))
	for _, n := range cut {
		n.signal(syscall.SIGCONT)
	}
	return v
}

// probeRoute sends requests on the new route to the nodes of the machines until end, and counts
// those that are answered 404.
func probeRoute(e *env, machines []*machine, host, path string, acked, end time.Time) verdict {
	var mu sync.Mutex
	var group sync.WaitGroup
	stale := map[string]int{}
	sent, total := 0, 0
	latest := time.Duration(0)
	for _, n := range machines {
		group.Go(func() {
			for time.Now().Before(end) {
				f := get(n, host, path, 500*time.Millisecond)
				after := f.sent.Sub(acked)
				mu.Lock()
				sent++
				e.record.noteAt(f.sent, "request %s at %s, %d ms after the acknowledgement: status %d", f.id, f.entry, after.Milliseconds(), f.status)
				if f.status == http.StatusNotFound {
					stale[n.name]++
					total++
					latest = max(latest, after)
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return verdict{
		broken: total > 0, count: total,
		text: fmt.Sprintf("CONFIG: %d requests on the new route, sent more than %v after its acknowledgement to machines in touch; %d at %d machines were answered 404, the latest sent %v after the acknowledgement (allowed: 0)",
			sent, boundConfigApply, total, len(stale), latest.Round(time.Millisecond)),
	}
}
