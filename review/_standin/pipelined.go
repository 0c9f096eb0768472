package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The figures of the scenario "pipelined": those of the site's garble and of its clients.
const (
	// garbleThousandths of its answers are broken off by one of three instances.
	garbleThousandths = 20
	garbleTime        = 5 * time.Second
	garblePause       = 1 * time.Second
	garbleRounds      = 5
	clientsPerNode    = 3
	pipelineDepth     = 4
	clientPause       = 150 * time.Millisecond
	clientDeadline    = 500 * time.Millisecond
	// maxUnanswered is how many requests of kept connections may be lost, by the rule LOST.
	maxUnanswered = 3
)

// playPipelined breaks off a few answers of one instance while clients pipeline
// requests. It counts the requests of kept connections that reached a sound instance
// and whose connection the node closed without an answer.
func playPipelined(ctx context.Context, m *mesh, trouble bool) ([]string, error) {
	runs := newLedger()
	nodes, instances, err := m.startMachines(ctx, runs, "buc-a", "buc-a", "buc-a")
	defer stopInstances(instances)
	if err != nil {
		return nil, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group sync.WaitGroup
	var clients []*client
	for i, n := range nodes {
		for j := range clientsPerNode {
			c := &client{
				name: fmt.Sprintf("%02x%02x", i, j), node: n, host: "roster.example", path: "/roster/gate", depth: pipelineDepth,
				pause: clientPause, timeout: clientDeadline, log: m.log,
			}
			clients = append(clients, c)
			group.Go(func() { c.run(clientCtx) })
		}
	}
	sleep(ctx, 2*time.Second)
	for range garbleRounds {
		if trouble {
			instances[0].breaks.Store(garbleThousandths)
			m.log.printf("%s breaks off %d of 1000 answers", instances[0].id, garbleThousandths)
		}
		sleep(ctx, garbleTime)
		instances[0].breaks.Store(0)
		m.log.printf("%s breaks off no answers", instances[0].id)
		sleep(ctx, garblePause)
	}
	stopClients()
	group.Wait()
	return judgeUnanswered(m, runs, clients, instances[0].id), nil
}

// judgeUnanswered applies the rule LOST.
func judgeUnanswered(m *mesh, runs *ledger, clients []*client, unsound string) []string {
	total, answered := 0, 0
	var lost []string
	for _, c := range clients {
		for _, s := range c.all() {
			total++
			if s.status != 0 {
				answered++
				continue
			}
			reached := runs.of(s.id)
			if !s.kept || len(reached) == 0 || s.ended.Sub(s.at) > clientDeadline-50*time.Millisecond || hasRunAt(reached, unsound) {
				continue
			}
			lost = append(lost, fmt.Sprintf("%s, number %d of its burst, sent to %s on a kept connection, was passed on to %s and got no answer: run %s, connection closed after %d ms",
				s.id, s.position+1, s.entry, reached[0].instance, reached[0].end, s.ended.Sub(s.at).Milliseconds()))
		}
	}
	m.log.printf("%d requests, %d answered, %d of kept connections passed on to sound instances and not answered", total, answered, len(lost))
	fmt.Printf("%d requests, %d answered, %d of kept connections passed on to sound instances and not answered\n", total, answered, len(lost))
	if len(lost) <= maxUnanswered {
		return nil
	}
	return lost
}

func hasRunAt(runs []run, instance string) bool {
	for _, r := range runs {
		if r.instance == instance {
			return true
		}
	}
	return false
}

// rosterRoute is the route of the clients.
var rosterRoute = route{
	name: "r-roster", host: "roster.example", prefix: "/roster/", kind: "idempotent", service: "roster1a", timeout: "500ms", targetLatency: "200ms",
}

// startMachines starts one machine with an instance of roster and a node in each of the
// zones, and waits until all nodes are ready.
func (m *mesh) startMachines(ctx context.Context, runs *ledger, zones ...string) ([]*node, []*instance, error) {
	var nodes []*node
	var instances []*instance
	if err := m.configure(7, []route{rosterRoute}, "roster1a"); err != nil {
		return nil, nil, err
	}
	for k, zone := range zones {
		n, err := m.newNode(ctx, fmt.Sprintf("sidecar-%s-%d", zone, k+1), zone, "roster1a")
		if err != nil {
			return nodes, instances, err
		}
		if err := n.start(ctx); err != nil {
			return nodes, instances, err
		}
		nodes = append(nodes, n)
		i := &instance{
			id: fmt.Sprintf("i-%02d", k+1), service: "roster1a", zone: zone, address: n.instanceAddr, control: n.control,
			workMin: 30 * time.Millisecond, workMax: 90 * time.Millisecond, ledger: runs, log: m.log,
		}
		if err := i.start(ctx); err != nil {
			return nodes, instances, err
		}
		instances = append(instances, i)
	}
	for _, n := range nodes {
		if err := n.awaitReady(ctx); err != nil {
			return nodes, instances, err
		}
	}
	// The instances that could not reach their node at once announce themselves with their next heartbeat.
	sleep(ctx, stabilityWindow+heartbeat)
	return nodes, instances, nil
}

func stopInstances(instances []*instance) {
	for _, i := range instances {
		i.stop()
	}
}
