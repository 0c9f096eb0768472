package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the scenario "upload".
const (
	uploadRounds    = 3
	uploadsPerNode  = 4
	uploadDeadline  = 3 * time.Second
	uploadBytes     = 2000
	firstPartBytes  = 500
	restAfter       = 2600 * time.Millisecond
	leaveAfter      = 150 * time.Millisecond
	uploadRoundTime = 4 * time.Second
)

var uploadRoute = route{
	name: "r-upload", host: "media.example", prefix: "/media/", kind: "upload", service: "roster1a", timeout: "3000ms", targetLatency: "500ms",
}

// playUpload lets an instance leave as planned, in each round another one, while
// clients send the rest of their uploads late, but within their deadline.
func playUpload(ctx context.Context, m *mesh, trouble bool) ([]string, error) {
	runs := newLedger()
	nodes, instances, err := m.startMachines(ctx, runs, "reyk-a", "reyk-a", "reyk-b", "hafn-c")
	defer stopInstances(instances)
	if err != nil {
		return nil, err
	}
	if err := m.configure(8, []route{rosterRoute, uploadRoute}, "roster1a"); err != nil {
		return nil, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group sync.WaitGroup
	for i, n := range nodes {
		c := &client{
			name: fmt.Sprintf("%02x", i), node: n, host: "roster.example", path: "/roster/gate", depth: 1,
			pause: clientPause, timeout: clientDeadline, log: m.log,
		}
		group.Go(func() { c.run(clientCtx) })
	}
	sleep(ctx, stabilityWindow)
	var broken []string
	for round := range uploadRounds {
		for i, n := range nodes {
			for j := range uploadsPerNode {
				id := fmt.Sprintf("f%02x%02x%02x", round, i, j)
				group.Go(func() { upload(ctx, m, n, id) })
			}
		}
		sleep(ctx, leaveAfter)
		leaving := instances[round]
		acked := time.Now()
		if trouble {
			var ok bool
			if acked, ok = leaving.drain(ctx); !ok {
				return nil, &notAckedError{instance: leaving.id}
			}
		}
		sleep(ctx, uploadRoundTime)
		if trouble {
			broken = append(broken, judgeDrain(m, runs, leaving, acked, acked)...)
		}
	}
	stopClients()
	group.Wait()
	return broken, nil
}

// upload sends the head and the first part of a body at once, and the rest later.
func upload(ctx context.Context, m *mesh, n *node, id string) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", n.outbound)
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	_, _ = fmt.Fprintf(conn, "POST /media/x HTTP/1.1\r\nHost: media.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, uploadDeadline.Milliseconds(), uploadBytes, strings.Repeat("a", firstPartBytes))
	m.log.printf("upload %s: head and %d bytes are sent to %s", id, firstPartBytes, n.name)
	sleep(ctx, restAfter)
	_, _ = io.WriteString(conn, strings.Repeat("b", uploadBytes-firstPartBytes))
	m.log.printf("upload %s: the rest is sent", id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		m.log.printf("upload %s: the connection ends without an answer: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	m.log.printf("upload %s is answered %d", id, resp.StatusCode)
}
