package main

import (
	"fmt"
	"syscall"
	"time"
)

// playLeaveRestart stops and starts the node beside an instance that has deregistered and goes
// on serving. A heartbeat that the instance sent before arrives late, at the new process.
func playLeaveRestart(e *env) (verdict, error) {
	const host, path = "jepu9.example", "/lepu270/2f"
	m := e.mesh
	instances, closeAll, err := startStatusMesh(m, host)
	if err != nil {
		return verdict{}, err
	}
	defer closeAll()
	leaving, node := instances[0], m.machines[0]
	late := leaving.heartbeat()
	e.record.note("%s sends a heartbeat (ready) that arrives late", leaving.cfg.id)
	time.Sleep(100 * time.Millisecond)
	if !leaving.deregister() {
		return verdict{}, &setupError{"the deregistration was not acknowledged"}
	}
	acked := time.Now()
	e.record.note("%s has deregistered; it goes on serving", leaving.cfg.id)
	inTouchFrom := acked
	if e.trouble {
		time.Sleep(200 * time.Millisecond)
		e.record.note("SIGTERM to the node of %s", node.name)
		node.signal(syscall.SIGTERM)
		if !node.awaitExit(6 * time.Second) {
			return verdict{}, &setupError{"the node did not end within the grace period"}
		}
		e.record.note("the node has ended; it is started again")
		if err := m.start(node); err != nil {
			return verdict{}, err
		}
		inTouchFrom = time.Now().Add(boundStabilityWindow)
		time.Sleep(700 * time.Millisecond)
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	ok := leaving.send(late)
	e.record.note("the late heartbeat arrives, %d ms after it was sent (2xx: %v)", time.Since(acked).Milliseconds()+100, ok)
	time.Sleep(time.Until(inTouchFrom.Add(100 * time.Millisecond)))
	return judgeLeave(e, host, path, leaving, acked), nil
}

// startStatusMesh starts three machines of one service, one in each zone, and waits until they serve.
func startStatusMesh(m *mesh, host string) (instances []*instance, closeAll func(), err error) {
	for _, z := range []int{1, 2, 3} {
		m.addMachine(z, "status-page", 1500*time.Millisecond)
	}
	m.configure(map[string]any{
		"r-status": route(host, "/lepu270/", "idempotent", "status-page", "2500ms", "400ms", 2),
	}, "status-page")
	instances, closeAll, err = startInstances(m, instanceConfig{slots: 18, work: 20 * time.Millisecond, chunkBytes: 1000})
	if err != nil {
		return nil, nil, err
	}
	if err := m.startAll(); err != nil {
		closeAll()
		return nil, nil, err
	}
	return instances, closeAll, nil
}

// judgeLeave sends requests by all machines and counts those that reach the instance later than
// the drain time after its leaving was acknowledged.
func judgeLeave(e *env, host, path string, leaving *instance, acked time.Time) verdict {
	sent, reached := 0, 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for _, n := range e.mesh.machines {
			f := get(n, host, path, 2500*time.Millisecond)
			sent++
			at := leaving.reachedAt(f.id)
			text := ""
			if !at.IsZero() {
				text = fmt.Sprintf("; reached %s %d ms after the acknowledgement", leaving.cfg.id, at.Sub(acked).Milliseconds())
				if at.Sub(acked) > boundDrain {
					reached++
				}
			}
			e.record.noteAt(f.sent, "request %s at %s: status %d%s", f.id, f.entry, f.status, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return verdict{
		broken: reached > 0,
		text:   fmt.Sprintf("DRAIN: %d requests, of which %d reached the instance later than %v after its leaving was acknowledged (allowed: 0)", sent, reached, boundDrain),
	}
}
