package main

import (
	"net/http"
	"syscall"
	"time"

	"gentianbarrow.example/platform/emulator"
)

// The doses: the site file plays "platform_down" with "busy" for 4.5 s, and "node_kill" with
// one machine that is down for up to 3.5 s.
const (
	storeAwayTime = 4500 * time.Millisecond
	nodeDownTime  = 500 * time.Millisecond
	// unavailable is what a busy store answers.
	unavailable = http.StatusServiceUnavailable
)

// playLeaveStoreAway kills the node beside an instance that has deregistered while the store was
// busy. A heartbeat that the instance sent before arrives late, at the next process.
func playLeaveStoreAway(e *env) (verdict, error) {
	const host, path = "jepu9.example", "/lepu270/2f"
	m := e.mesh
	instances, closeAll, err := startStatusMesh(m, host)
	if err != nil {
		return verdict{}, err
	}
	defer closeAll()
	leaving, node := instances[0], m.machines[0]
	begin := time.Now()
	if e.trouble {
		m.store.Set(emulator.Faults{Status: unavailable})
		e.record.note("the store is busy")
	}
	late := leaving.heartbeat()
	e.record.note("%s sends a heartbeat (ready) that arrives late", leaving.cfg.id)
	time.Sleep(200 * time.Millisecond)
	if !leaving.deregister() {
		return verdict{}, &setupError{"the deregistration was not acknowledged"}
	}
	acked := time.Now()
	e.record.note("%s has deregistered; it goes on serving", leaving.cfg.id)
	if e.trouble {
		time.Sleep(200 * time.Millisecond)
		node.signal(syscall.SIGKILL)
		e.record.note("the node of %s is killed", node.name)
		time.Sleep(nodeDownTime)
		if err := m.start(node); err != nil {
			return verdict{}, err
		}
		e.record.note("the node of %s is started again", node.name)
	}
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	ok := leaving.send(late)
	e.record.note("the late heartbeat arrives, %d ms after it was sent (2xx: %v)", time.Since(begin).Milliseconds(), ok)
	time.Sleep(time.Until(begin.Add(storeAwayTime)))
	m.store.Set(emulator.Faults{})
	e.record.note("the store is back")
	time.Sleep(boundStabilityWindow + 100*time.Millisecond)
	return judgeLeave(e, host, path, leaving, acked), nil
}
