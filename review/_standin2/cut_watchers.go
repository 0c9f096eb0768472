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
	cut := m.machines[:3]
	cutAt := time.Now()
	if e.trouble {
		for _, n := range cut {
			n.signal(syscall.SIGSTOP)
			e.record.note("%s is cut off", n.name)
		}
	}
	routes["r-new"] = route(host, "/nopu555/", "idempotent", "status-page", "2500ms", "400ms", 2)
	m.configure(routes, services...)
	acked := time.Now()
	e.record.note("the store has acknowledged version %08x, which adds the route /nopu555/", m.version)
	time.Sleep(time.Until(acked.Add(boundConfigApply + 20*time.Millisecond)))
	v := probeRoute(e, m.machines[3:], host, "/nopu555/2f", acked, cutAt.Add(cutTime-2*time.Second))
	for _, n := range cut {
		n.signal(syscall.SIGCONT)
	}
	return v, nil
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
		broken: total > 0,
		text: fmt.Sprintf("CONFIG: %d requests on the new route, sent more than %v after its acknowledgement to machines in touch; %d at %d machines were answered 404, the latest sent %v after the acknowledgement (allowed: 0)",
			sent, boundConfigApply, total, len(stale), latest.Round(time.Millisecond)),
	}
}
