package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"gentianbarrow.example/platform/emulator"
)

const (
	// firstStay is how long the first instance serves after its leave was acknowledged.
	firstStay = drain + time.Second
	// secondRuns is how long the second instance runs before its node is restarted.
	secondRuns = 4 * time.Second
	// leaveDelay is the time from the heartbeat that will be late to the leave.
	leaveDelay = 300 * time.Millisecond
	// beatDelay is how late that heartbeat is. All machines are in touch when it arrives.
	beatDelay = stabilityWindow + 500*time.Millisecond
)

// playIgnoredLeave restarts a node beside an instance whose predecessor at the same address
// has left. Then the instance leaves, and its heartbeat from before that arrives late.
func playIgnoredLeave(ctx context.Context, m *mesh, trouble bool) (broken bool, err error) {
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
	firstBeats, stopFirst := context.WithCancel(beats)
	defer stopFirst()
	first, n := instances[0], m.nodes[0]
	beating.Go(func() { first.beat(firstBeats) })
	for _, i := range instances[1:] {
		beating.Go(func() { i.beat(beats) })
	}
	if err := m.startAll(ctx); err != nil {
		return false, err
	}
	stopFirst()
	if _, ok := first.deregister(ctx); !ok {
		return false, &setupError{Text: "the first instance got no acknowledgement"}
	}
	sleep(ctx, firstStay)
	first.exit()
	second, err := first.successor()
	if err != nil {
		return false, err
	}
	secondBeats, stopSecond := context.WithCancel(beats)
	defer stopSecond()
	beating.Go(func() { second.beat(secondBeats) })
	sleep(ctx, secondRuns)
	stopSecond()
	if trouble {
		if err := n.restart(ctx); err != nil {
			return false, err
		}
	}
	late := second.nextBeat("ready")
	sent := time.Now()
	m.record.note("instance %s sends a heartbeat that will be late", second.id)
	sleep(ctx, leaveDelay)
	acknowledged, ok := second.deregister(ctx)
	if !ok {
		return false, &setupError{Text: "the second instance got no acknowledgement"}
	}
	sleep(ctx, time.Until(sent.Add(beatDelay)))
	m.record.note("the late heartbeat of %s arrives: %d", second.id, second.send(ctx, "instances.heartbeat", late))
	return m.countLateArrivals(ctx, second, acknowledged, ignoredStay), nil
}

// successor starts the next instance at the address of one that has exited.
func (i *instance) successor() (*instance, error) {
	next := &instance{
		record: i.record, id: i.id + "-2", born: time.Now().UnixMilli(), service: i.service, zone: i.zone,
		address: i.address, control: i.control, work: i.work, answerBytes: i.answerBytes,
	}
	if err := next.listen(); err != nil {
		return nil, err
	}
	i.record.note("instance %s starts at the address of %s", next.id, i.id)
	return next, nil
}

// restart sends SIGTERM to the process, starts it again when it has ended and waits until
// it is ready.
func (n *node) restart(ctx context.Context) error {
	n.mesh.record.note("%s: SIGTERM", n.host)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	n.waiting.Wait()
	if err := n.start(); err != nil {
		return err
	}
	return n.mesh.awaitReady(ctx)
}
