package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runEnd is how a run of a request at an instance ended.
type runEnd string

const (
	endAnswered runEnd = "answered"
	endBroken   runEnd = "answer broken off"
	endCut      runEnd = "cut"
)

// run is one run of a request.
type run struct {
	instance string
	at       time.Time
	end      runEnd
}

// ledger holds what instances ran.
type ledger struct {
	mu sync.Mutex
	// runs by request id. Guarded by mu.
	runs map[string][]*run
}

func newLedger() *ledger { return &ledger{runs: map[string][]*run{}} }

func (l *ledger) begin(id, instance string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{instance: instance, at: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *ledger) finish(r *run, end runEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end = end
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs[id] {
		out = append(out, *r)
	}
	return out
}

// instance is one instance of a service. It follows the users' protocol.
type instance struct {
	id, service, zone, address string
	// control is where its heartbeats go.
	control string
	// workMin and workMax bound the time that a request takes.
	workMin, workMax time.Duration
	// breaks is the share of its answers that it breaks off, in thousandths.
	breaks  atomic.Int64
	running atomic.Int64
	ledger  *ledger
	log     *record
	born    time.Time
	server  *http.Server
	// endBeats ends the heartbeats.
	endBeats context.CancelFunc
	group    sync.WaitGroup

	mu sync.Mutex
	// sequence counts the heartbeats. Guarded by mu.
	sequence int
	// leaving is set once the instance has sent that it leaves. Guarded by mu.
	leaving bool
	// draining is set once its heartbeats say so. Guarded by mu.
	draining bool
}

func (i *instance) start(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", i.address)
	if err != nil {
		return err
	}
	i.born = time.Now()
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 5 * time.Second}
	i.group.Go(func() { _ = i.server.Serve(ln) })
	beatCtx, endBeats := context.WithCancel(ctx)
	i.endBeats = endBeats
	i.group.Go(func() { i.beat(beatCtx) })
	i.log.printf("instance %s of %s starts at %s", i.id, i.service, i.address)
	return nil
}

func (i *instance) stop() {
	i.endBeats()
	_ = i.server.Close()
	i.group.Wait()
}

// beat sends a heartbeat in each interval until the instance leaves.
func (i *instance) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for !i.isLeaving() {
		i.sendBeat(ctx, i.control)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (i *instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

// isHealthy reports whether a health check is to pass.
func (i *instance) isHealthy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.leaving && !i.draining
}

// sendBeat sends one heartbeat to an address.
func (i *instance) sendBeat(ctx context.Context, control string) bool {
	i.mu.Lock()
	i.sequence++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": i.address, "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": i.sequence, "cold_remaining": "0ms"},
	})
	sequence := i.sequence
	i.mu.Unlock()
	ok := i.post(ctx, control, "instances.heartbeat", body)
	i.log.printf("heartbeat %d of %s, %s: acknowledged %t", sequence, i.id, state, ok)
	return ok
}

// drain reports that the instance drains, and returns when that was acknowledged. The instance goes on serving.
func (i *instance) drain(ctx context.Context) (acked time.Time, ok bool) {
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	ok = i.sendBeat(ctx, i.control)
	return time.Now(), ok
}

// deregister tells the node that the instance leaves, and returns when that was acknowledged.
func (i *instance) deregister(ctx context.Context) (acked time.Time, ok bool) {
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": i.born.UnixMilli()})
	ok = i.post(ctx, i.control, "instances.deregister", body)
	acked = time.Now()
	i.log.printf("%s sends that it leaves: acknowledged %t", i.id, ok)
	return acked, ok
}

// post sends a call and reports whether it was acknowledged within a second.
func (i *instance) post(ctx context.Context, control, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + control + "/-/rpc?call=" + call + "&of=" + i.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs one request, or rejects it and says so.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", i.id)
	if r.URL.Path == "/health" {
		if !i.isHealthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != i.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.running.Add(1) > slots {
		i.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	entry := i.ledger.begin(id, i.id)
	i.log.printf("%s runs %s", i.id, id)
	work := time.NewTimer(i.workMin + rand.N(i.workMax-i.workMin))
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		i.ledger.finish(entry, endCut)
		i.log.printf("%s ends %s: cut", i.id, id)
		return
	}
	body := bytes.Repeat([]byte(id+" "), 400/(len(id)+1)+1)[:400]
	if rand.Int64N(1000) < i.breaks.Load() {
		i.ledger.finish(entry, endBroken)
		i.log.printf("%s ends %s: breaks its answer off", i.id, id)
		breakOff(w, id, body)
		return
	}
	i.ledger.finish(entry, endAnswered)
	i.log.printf("%s ends %s: answered", i.id, id)
	w.Header().Set("Response-Signature", "sig."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// breakOff sends the head and half of the body of an answer and closes the connection.
func breakOff(w http.ResponseWriter, id string, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(body), body[:len(body)/2])
	_ = buffered.Flush()
	_ = conn.Close()
}
