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
	// uploadDeadline and uploadTimeout are those of a small site's uploads.
	uploadDeadline = 3 * time.Second
	// early, its shares and earlyFor are the disruption at its largest dose in the small
	// sites: 0.7 of the instances reject 0.4 of the long requests before they are in.
	earlyFor = 6 * time.Second
	// earlyTimes is how often the disruption comes, with earlyPause between its times.
	earlyTimes = 6
	earlyPause = time.Second
	// allowedUnanswered is the bound of the rule.
	allowedUnanswered = 3
)

// slowBody is an upload of 240 kB that takes half a second.
func slowBody() []piece {
	body := make([]piece, 0, 12)
	for range cap(body) {
		body = append(body, piece{pause: 40 * time.Millisecond, bytes: 20_000})
	}
	return body
}

// rejectAfterBytes of a body are read before it is rejected.
const rejectAfterBytes = 100_000

// uploadClients are as many as send about 50 uploads a second, as in the small sites.
const uploadClients = 30

// addInstance adds a machine with an instance of a service and its node.
func (m *mesh) addInstance(host, zone, service string, work time.Duration) (*node, *instance, error) {
	address, err := m.freeAddress()
	if err != nil {
		return nil, nil, err
	}
	i := &instance{
		record: m.record, id: "i-" + host, born: time.Now().UnixMilli(), service: service, zone: zone, address: address, work: work, answerBytes: 400,
	}
	if err := i.listen(); err != nil {
		return nil, nil, err
	}
	n, err := m.addNode(host, zone, service, i.address)
	if err != nil {
		return nil, nil, err
	}
	i.control = n.control
	return n, i, nil
}

// rejectsTwoOfFive returns a function that rejects 0.4 of the requests in each time of the
// disruption, of which the first begins at a time.
func rejectsTwoOfFive(begin time.Time) func(id string) bool {
	var mu sync.Mutex
	n := 0
	return func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		n++
		isEarly := time.Since(begin)%(earlyFor+earlyPause) < earlyFor
		return isEarly && (n%5 == 1 || n%5 == 3)
	}
}

// playUnansweredUpload has clients send slow uploads on kept connections, of which
// instances reject some before they are in.
func playUnansweredUpload(ctx context.Context, m *mesh, trouble bool) (broken bool, err error) {
	m.configure(7, []emulator.Route{
		{Name: "r-read", Host: "front.example", Prefix: "/read/", Service: "media", Kind: emulator.KindRead, Timeout: 2 * time.Second, MaxAttempts: 2},
		{Name: "r-media", Host: "front.example", Prefix: "/media/", Service: "media", Kind: emulator.KindUpload, Timeout: uploadDeadline, MaxAttempts: 2},
	})
	var instances []*instance
	for k, zone := range []string{"reyk-a", "reyk-b", "hafn-c", "reyk-a", "reyk-b"} {
		_, i, err := m.addInstance(fmt.Sprintf("media-%d", k+1), zone, "media", 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	beats, cancel := context.WithCancel(ctx)
	var beating sync.WaitGroup
	defer beating.Wait()
	defer cancel()
	for _, i := range instances {
		beating.Go(func() { i.beat(beats) })
	}
	if err := m.startAll(ctx); err != nil {
		return false, err
	}
	begin := time.Now()
	end := begin.Add(earlyTimes*(earlyFor+earlyPause) - earlyPause)
	if trouble {
		m.record.note("three of five instances begin to reject 0.4 of the uploads early: %d times for %s, with %s between", earlyTimes, earlyFor, earlyPause)
		for _, i := range instances[:3] {
			i.mu.Lock()
			i.rejectsEarly = rejectsTwoOfFive(begin)
			i.mu.Unlock()
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered, uploads, passed := 0, 0, 0
	for k := range uploadClients {
		clients.Go(func() {
			c := &client{record: m.record, node: m.nodes[k%len(m.nodes)].callers}
			defer c.close()
			sleep(ctx, time.Duration(k)*20*time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%02d%02d%012x", k, n, time.Now().UnixNano()&0xffffffffffff)
				if a := c.do(http.MethodGet, "/read/x", "g"+id, 2*time.Second, nil); a.status != http.StatusOK {
					continue
				}
				sent := time.Now()
				a := c.do(http.MethodPost, "/media/x", "u"+id, uploadDeadline, slowBody())
				hasArrived := false
				for _, i := range instances {
					_, ok := i.arrivedAt("u" + id)
					hasArrived = hasArrived || ok
				}
				mu.Lock()
				uploads++
				if hasArrived {
					passed++
				}
				if a.status == 0 && hasArrived && time.Since(sent) < uploadDeadline-100*time.Millisecond {
					unanswered++
					m.record.note("no answer: u%s was passed on, and its connection was closed after %s", id, time.Since(sent).Round(time.Millisecond))
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	m.record.note("%d uploads, %d passed on to an instance, %d of these on connections that were closed without an answer; allowed are %d",
		uploads, passed, unanswered, allowedUnanswered)
	return unanswered > allowedUnanswered, nil
}
