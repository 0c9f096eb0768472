package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianbarrow.example/platform/emulator"
)

const (
	// brokenFor and brokenEvery are the disruption at its largest dose in the small sites:
	// 0.35 of the instances break off 0.02 of their answers.
	brokenFor   = 5500 * time.Millisecond
	brokenEvery = 50
	// pipelined is how many requests a client sends at once.
	pipelined = 4
	// readDeadline is that of a small site's reads.
	readDeadline = 2500 * time.Millisecond
	// longAnswerBytes is the length of an answer.
	longAnswerBytes = 60_000
)

// playPipelinedAnswers has clients pipeline requests with long answers, of which one
// instance of three breaks off a few.
func playPipelinedAnswers(ctx context.Context, m *mesh, trouble bool) (broken bool, err error) {
	m.configure(7, []emulator.Route{
		{Name: "r-status", Host: "front.example", Prefix: "/status/", Service: "status", Kind: emulator.KindRead, Timeout: 1200 * time.Millisecond, MaxAttempts: 2},
		{Name: "r-front", Host: "front.example", Prefix: "/front/", Service: "front", Kind: emulator.KindRead, Timeout: 1200 * time.Millisecond, MaxAttempts: 2},
	})
	front, frontInstance, err := m.addInstance("front-1", "reyk-a", "front", 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	var instances []*instance
	for k := range 3 {
		_, i, err := m.addInstance(fmt.Sprintf("status-%d", k+1), "reyk-a", "status", 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		i.answerBytes = longAnswerBytes
		instances = append(instances, i)
	}
	beats, cancel := context.WithCancel(ctx)
	var beating sync.WaitGroup
	defer beating.Wait()
	defer cancel()
	for _, i := range append(instances, frontInstance) {
		beating.Go(func() { i.beat(beats) })
	}
	if err := m.startAll(ctx); err != nil {
		return false, err
	}
	end := time.Now().Add(brokenFor)
	faulty := instances[0]
	if trouble {
		m.record.note("instance %s begins to break off one of %d answers, for %s", faulty.id, brokenEvery, brokenFor)
		n := 0
		faulty.mu.Lock()
		faulty.breaksOff = func(string) bool {
			n++
			return n%brokenEvery == 0 && time.Now().Before(end)
		}
		faulty.mu.Unlock()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, lost := 0, 0
	for k := range 9 {
		clients.Go(func() {
			c := &client{record: m.record, node: front.callers}
			defer c.close()
			for j := 0; time.Now().Before(end); j++ {
				var ids []string
				for p := range pipelined {
					ids = append(ids, fmt.Sprintf("p%02d%03d%d%09x", k, j, p, time.Now().UnixNano()&0xfffffffff))
				}
				isKept := c.conn != nil
				start := time.Now()
				answered := c.pipeline("/status/x", ids, readDeadline)
				mu.Lock()
				sent += len(ids)
				if isKept && answered < len(ids) && time.Since(start) < readDeadline-100*time.Millisecond {
					lost += m.countSoundlyLost(ids[answered:], faulty, instances)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	m.record.note("%d requests, %d of them passed on to sound instances, on connections that were closed without an answer; allowed are %d",
		sent, lost, allowedUnanswered)
	return lost > allowedUnanswered, nil
}

// countSoundlyLost counts the requests that reached an instance, and not the faulty one.
func (m *mesh) countSoundlyLost(ids []string, faulty *instance, instances []*instance) (lost int) {
	for _, id := range ids {
		if _, ok := faulty.arrivedAt(id); ok {
			continue
		}
		for _, i := range instances {
			if _, ok := i.arrivedAt(id); ok {
				lost++
				m.record.note("no answer: %s was passed on to %s", id, i.id)
				break
			}
		}
	}
	return lost
}
