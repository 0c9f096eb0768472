package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gentianbarrow.example/platform/emulator"
)

const (
	// storeDown and killGap place the disruptions of the case: the store is away for storeDown,
	// which the small sites allow for 8 s, and all processes are killed within it.
	storeDown = 5 * time.Second
	leaveAt   = 1 * time.Second
	killAt    = 2500 * time.Millisecond
	restartAt = 3500 * time.Millisecond
	// lateAt is when the last heartbeat arrives that the instance sent before it left. All
	// machines have been in touch again since stabilityWindow after the end of storeDown.
	lateAt          = storeDown + stabilityWindow + 500*time.Millisecond
	stabilityWindow = 3 * time.Second
	// forgottenStay and ignoredStay are how long the instances serve after the acknowledgement.
	forgottenStay = 12 * time.Second
	ignoredStay   = 7 * time.Second
	// clientsPerNode is far below the clients of a zone of frothvik-mesh (72 to 97).
	clientsPerNode = 8
	clientStagger  = 20 * time.Millisecond
	// requestDeadline is that of a small site's bookings.
	requestDeadline = 3 * time.Second
)

// playForgottenLeave lets an instance leave while the store is away. Its node acknowledges
// that. Then all processes are killed and started again, and a heartbeat that the instance
// had sent before arrives late.
func playForgottenLeave(ctx context.Context, m *mesh, trouble bool) (broken bool, err error) {
	m.configure(7, []emulator.Route{
		{Name: "r-book", Host: "front.example", Prefix: "/book/", Service: "booking", Kind: emulator.KindWrite, Timeout: requestDeadline, MaxAttempts: 2},
	})
	var instances []*instance
	for k, zone := range []string{"reyk-a", "reyk-b", "hafn-c"} {
		_, i, err := m.addInstance(fmt.Sprintf("booking-%d", k+1), zone, "booking", 140*time.Millisecond)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	beats, cancel := context.WithCancel(ctx)
	var beating sync.WaitGroup
	defer beating.Wait()
	defer cancel()
	leavingBeats, stopBeats := context.WithCancel(beats)
	defer stopBeats()
	leaving := instances[0]
	beating.Go(func() { leaving.beat(leavingBeats) })
	for _, i := range instances[1:] {
		beating.Go(func() { i.beat(beats) })
	}
	if err := m.startAll(ctx); err != nil {
		return false, err
	}
	start := time.Now()
	until := func(at time.Duration) { sleep(ctx, time.Until(start.Add(at))) }
	if trouble {
		m.record.note("the store falls silent for %s", storeDown)
		m.store.Set(emulator.Faults{Silent: true})
	}
	until(leaveAt)
	stopBeats()
	late := leaving.nextBeat("ready")
	m.record.note("instance %s sends a heartbeat that will be late", leaving.id)
	acknowledged, ok := leaving.deregister(ctx)
	if !ok {
		return false, &setupError{Text: "the instance got no acknowledgement"}
	}
	until(killAt)
	if trouble {
		for _, n := range m.nodes {
			n.kill()
		}
		until(restartAt)
		for _, n := range m.nodes {
			if err := n.start(); err != nil {
				return false, err
			}
		}
	}
	until(storeDown)
	m.store.Set(emulator.Faults{})
	m.record.note("the store answers")
	if err := m.awaitReady(ctx); err != nil {
		return false, err
	}
	until(lateAt)
	m.record.note("the late heartbeat of %s arrives: %d", leaving.id, leaving.send(ctx, "instances.heartbeat", late))
	return m.countLateArrivals(ctx, leaving, acknowledged, forgottenStay), nil
}

// countLateArrivals sends requests until the instance exits, and reports whether it got
// any that its node should not have sent it.
func (m *mesh) countLateArrivals(ctx context.Context, leaving *instance, acknowledged time.Time, stay time.Duration) bool {
	var clients sync.WaitGroup
	exitAt := acknowledged.Add(stay)
	var mu sync.Mutex
	sent, failed, lateArrivals := 0, 0, 0
	for k := range clientsPerNode * len(m.nodes) {
		clients.Go(func() {
			c := &client{record: m.record, node: m.nodes[k%len(m.nodes)].callers}
			defer c.close()
			sleep(ctx, time.Duration(k)*clientStagger)
			for j := 0; time.Now().Before(exitAt.Add(2 * time.Second)); j++ {
				id := fmt.Sprintf("b%02d%03d%010x", k, j, time.Now().UnixNano()&0xffffffffff)
				a := c.do(http.MethodPost, "/book/x", id, requestDeadline, []piece{{bytes: 1200}})
				mu.Lock()
				sent++
				if a.status != http.StatusOK {
					failed++
				}
				if at, ok := leaving.arrivedAt(id); ok && at.After(acknowledged.Add(drain)) {
					lateArrivals++
					m.record.note("late: %s reached %s %s after the acknowledgement", id, leaving.id, at.Sub(acknowledged).Round(time.Millisecond))
				}
				mu.Unlock()
				sleep(ctx, 50*time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		sleep(ctx, time.Until(exitAt))
		leaving.exit()
	})
	clients.Wait()
	m.record.note("%d requests, %d without success, %d reached the instance later than %s after its leave was acknowledged", sent, failed, lateArrivals, drain)
	return lateArrivals > 0
}
