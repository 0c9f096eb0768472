package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The figures of the scenario "restart".
const (
	// beatDelay is how late one heartbeat arrives.
	beatDelay = 2500 * time.Millisecond
	// killAfter and downTime are when the node is killed after the acknowledgement, and for how long it is down.
	killAfter = 200 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// serveAfterLeave is how long the instance goes on serving after its leaving was acknowledged.
	serveAfterLeave = 12 * time.Second
	touchMargin     = 200 * time.Millisecond
)

// playRestart lets an instance leave without a drain notice, kills and restarts its
// node right after the acknowledgement, and delivers a heartbeat of before late.
func playRestart(ctx context.Context, m *mesh, trouble bool) ([]string, error) {
	runs := newLedger()
	nodes, instances, err := m.startMachines(ctx, runs, "buc-a", "buc-a", "buc-b")
	defer stopInstances(instances)
	if err != nil {
		return nil, err
	}
	leaving, leavingNode := instances[0], nodes[0]
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group sync.WaitGroup
	for i, n := range nodes {
		for j := range clientsPerNode {
			c := &client{
				name: fmt.Sprintf("%02x%02x", i, j), node: n, host: "roster.example", path: "/roster/gate", depth: 1,
				pause: clientPause, timeout: clientDeadline, log: m.log,
			}
			group.Go(func() { c.run(clientCtx) })
		}
	}
	sleep(ctx, 2*time.Second)
	// A heartbeat of the running instance is under way when it leaves.
	p, err := startDelayProxy(ctx, leavingNode.control, beatDelay)
	if err != nil {
		return nil, err
	}
	defer p.close()
	group.Go(func() { leaving.sendBeat(ctx, p.address) })
	sleep(ctx, 100*time.Millisecond)
	acked, ok := leaving.deregister(ctx)
	if !ok {
		return nil, &notAckedError{instance: leaving.id}
	}
	touchFrom := acked
	if trouble {
		sleep(ctx, killAfter)
		leavingNode.kill()
		m.log.printf("node %s is killed", leavingNode.name)
		sleep(ctx, downTime)
		if err := leavingNode.start(ctx); err != nil {
			return nil, err
		}
		if err := leavingNode.awaitReady(ctx); err != nil {
			return nil, err
		}
		touchFrom = leavingNode.startedAt.Add(stabilityWindow + touchMargin)
		m.log.printf("node %s is ready again", leavingNode.name)
	}
	sleep(ctx, time.Until(acked.Add(serveAfterLeave)))
	stopClients()
	group.Wait()
	return judgeDrain(m, runs, leaving, acked, touchFrom), nil
}

// notAckedError reports an instance whose leaving was not acknowledged.
type notAckedError struct{ instance string }

func (e *notAckedError) Error() string {
	return "the leaving of " + e.instance + " is not acknowledged"
}

// judgeDrain applies the rule DRAIN to the requests that reached the instance while all machines were in touch.
func judgeDrain(m *mesh, runs *ledger, leaving *instance, acked, touchFrom time.Time) []string {
	from := acked.Add(drainTime)
	if touchFrom.After(from) {
		from = touchFrom
	}
	var late []string
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for id, list := range runs.runs {
		for _, r := range list {
			if r.instance == leaving.id && r.at.After(from) {
				late = append(late, fmt.Sprintf("%s reached %s %d ms after the acknowledgement that it leaves", id, leaving.id, r.at.Sub(acked).Milliseconds()))
			}
		}
	}
	m.log.printf("%d requests reached %s later than its drain time after the acknowledgement, with all machines in touch", len(late), leaving.id)
	fmt.Printf("%d requests reached %s later than its drain time after the acknowledgement, with all machines in touch\n", len(late), leaving.id)
	return late
}
