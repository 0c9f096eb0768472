package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The figures of the scenario "dark".
const (
	// darkAfter is the time from the operator's change to the loss of the machine. The
	// site's kinds name 5 to 400 ms for it.
	darkAfter = 30 * time.Millisecond
	// darkStep is added in each round, so that the rounds cover the time in which a change spreads.
	darkStep    = 10 * time.Millisecond
	darkRounds  = 8
	downFor     = 2 * time.Second
	roundPause  = 5 * time.Second
	configApply = 2 * time.Second
	probePause  = 25 * time.Millisecond
)

// answerSeen is the answer of a node to a request on a route that was just added.
type answerSeen struct {
	node    string
	version int
	sentAt  time.Time
	status  int
}

// playDark lets the node that watches the store for its zone go dark right after a
// change of the configuration. It asks the other nodes of the zone for the added route.
func playDark(ctx context.Context, m *mesh, trouble bool) ([]string, error) {
	runs := newLedger()
	nodes, instances, err := m.startMachines(ctx, runs, "buc-a", "buc-b", "buc-c", "buc-c", "buc-c")
	defer stopInstances(instances)
	if err != nil {
		return nil, err
	}
	watcher, neighbours := nodes[2], nodes[3:]
	var broken []string
	for round := range darkRounds {
		version := 8 + round
		added := route{
			name: fmt.Sprintf("r-added%d", version), host: "roster.example", prefix: fmt.Sprintf("/added%d/", version),
			kind: "idempotent", service: "roster1a", timeout: "500ms", targetLatency: "200ms",
		}
		if err := m.configure(version, []route{rosterRoute, added}, "roster1a"); err != nil {
			return nil, err
		}
		acked := time.Now()
		if trouble {
			sleep(ctx, darkAfter+time.Duration(round)*darkStep)
			if err := watcher.process.Process.Signal(syscall.SIGSTOP); err != nil {
				return nil, err
			}
			m.log.printf("node %s goes dark", watcher.name)
		}
		back := time.NewTimer(downFor)
		seen := probe(ctx, m, neighbours, version, acked.Add(configApply+1500*time.Millisecond), func() {
			if !trouble {
				return
			}
			<-back.C
			watcher.kill()
			m.log.printf("node %s has lost power; its processes start again", watcher.name)
			_ = watcher.start(ctx)
		})
		for _, s := range seen {
			if late := s.sentAt.Sub(acked); late > configApply && s.status == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("node %s refuses the route of version %d with 404 to a request that was sent %d ms after its acknowledgement",
					s.node, s.version, late.Milliseconds()))
			}
		}
		if err := watcher.awaitReady(ctx); err != nil {
			return nil, err
		}
		sleep(ctx, roundPause)
	}
	fmt.Printf("%d answers by an older version later than config_apply after the acknowledgement\n", len(broken))
	return broken, nil
}

// probe sends requests on the added route to the nodes until a time, and runs f meanwhile.
func probe(ctx context.Context, m *mesh, nodes []*node, version int, until time.Time, f func()) []answerSeen {
	var group sync.WaitGroup
	var mu sync.Mutex
	var seen []answerSeen
	group.Go(f)
	for _, n := range nodes {
		group.Go(func() {
			for count := 0; time.Now().Before(until) && ctx.Err() == nil; count++ {
				s := answerSeen{node: n.name, version: version, sentAt: time.Now()}
				s.status = get(ctx, n.outbound, fmt.Sprintf("/added%d/x", version), fmt.Sprintf("%s%02x%04x", n.name[len(n.name)-1:], version, count))
				m.log.printf("request on the route of version %d to %s: status %d", version, n.name, s.status)
				mu.Lock()
				seen = append(seen, s)
				mu.Unlock()
				sleep(ctx, probePause)
			}
		})
	}
	group.Wait()
	return seen
}

// get sends one request over a new connection and returns the status; 0 means no answer.
func get(ctx context.Context, address, path, id string) int {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(clientDeadline + 500*time.Millisecond))
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, id, clientDeadline.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close() //nolint:errcheck // the connection is closed
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
