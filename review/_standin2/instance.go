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
	"sync"
	"time"
)

// run is the execution of one request at an instance.
type run struct {
	instance string
	begun    time.Time
	// whole is set once the whole answer has been written.
	whole bool
	// broken is set if the instance broke the answer off.
	broken bool
}

// instanceConfig describes an instance.
type instanceConfig struct {
	id      string
	machine *machine
	slots   int
	work    time.Duration
	// chunks and chunkBytes give the size of an answer, which is sent in chunks; 0 chunks
	// means that it has a length.
	chunks, chunkBytes int
}

// instance stands in for an application instance. It serves requests, sends heartbeats to the
// node of its machine and notes what it runs.
type instance struct {
	cfg    instanceConfig
	server *http.Server
	client http.Client
	group  sync.WaitGroup
	stop   context.CancelFunc
	born   time.Time

	mu sync.Mutex
	// runs by request id. Guarded by mu.
	runs     map[string][]run
	sequence int
	state    string
	beating  bool
	running  int
	// truncate is the share of the answers that are broken off.
	truncate float64
	// reached holds when each request arrived. Guarded by mu.
	reached map[string]time.Time
}

// startInstances starts an instance on each machine of the mesh; close ends them.
func startInstances(m *mesh, cfg instanceConfig) (list []*instance, closeAll func(), err error) {
	closeAll = func() {
		for _, i := range list {
			i.close()
		}
	}
	for k, n := range m.machines {
		cfg.id, cfg.machine = fmt.Sprintf("i-%08d", k+1), n
		i, err := startInstance(cfg)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		list = append(list, i)
	}
	return list, closeAll, nil
}

func startInstance(cfg instanceConfig) (*instance, error) {
	i := &instance{
		cfg: cfg, born: time.Now(), state: "ready", beating: true, runs: map[string][]run{}, reached: map[string]time.Time{},
		client: http.Client{Timeout: time.Second},
	}
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", cfg.machine.address(portInstance))
	if err != nil {
		stop()
		return nil, err
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second}
	i.group.Go(func() { _ = i.server.Serve(ln) })
	i.group.Go(func() { i.beat(ctx) })
	return i, nil
}

func (i *instance) close() {
	i.stop()
	_ = i.server.Close()
	i.group.Wait()
}

func (i *instance) beat(ctx context.Context) {
	ticker := time.NewTicker(i.cfg.machine.heartbeat)
	defer ticker.Stop()
	for {
		i.mu.Lock()
		beating := i.beating
		i.mu.Unlock()
		if beating {
			i.send(i.heartbeat())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeat returns the next heartbeat.
func (i *instance) heartbeat() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	m := i.cfg.machine
	body, _ := json.Marshal(map[string]any{
		"address": m.address(portInstance), "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": i.cfg.slots},
		"status": map[string]any{"state": i.state, "sequence": i.sequence, "cold_remaining": "0ms"},
	})
	return body
}

// send sends a heartbeat to the node of this machine and reports whether it was acknowledged.
func (i *instance) send(body []byte) bool { return i.call("instances.heartbeat", body) }

// deregister tells the node that the instance leaves. No heartbeat follows.
func (i *instance) deregister() bool {
	i.mu.Lock()
	i.beating = false
	i.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": i.born.UnixMilli()})
	return i.call("instances.deregister", body)
}

func (i *instance) call(name string, body []byte) bool {
	url := "http://" + i.cfg.machine.address(portControl) + "/-/rpc?call=" + name + "&of=" + i.cfg.id
	resp, err := i.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// setTruncate sets the share of the answers that are broken off.
func (i *instance) setTruncate(share float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.truncate = share
}

// runsOf returns the runs of a request.
func (i *instance) runsOf(id string) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs[id]...)
}

// reachedAt returns when a request arrived; zero if it did not.
func (i *instance) reachedAt(id string) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reached[id]
}

// ServeHTTP serves one request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", i.cfg.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	i.mu.Lock()
	if i.reached[id].IsZero() {
		i.reached[id] = time.Now()
	}
	expected := r.Header.Get("Expected-Instance")
	status := 0
	switch {
	case expected != "" && expected != i.cfg.id:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case i.running >= i.cfg.slots:
		status = http.StatusServiceUnavailable
	default:
		i.running++
	}
	breaks := rand.Float64() < i.truncate
	i.mu.Unlock()
	if status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		i.mu.Lock()
		i.running--
		i.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	n := i.begin(id)
	select {
	case <-time.After(i.cfg.work):
	case <-r.Context().Done():
		return
	}
	i.answer(w, id, n, breaks)
}

func (i *instance) begin(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs[id] = append(i.runs[id], run{instance: i.cfg.id, begun: time.Now()})
	return len(i.runs[id]) - 1
}

// answer writes the answer of run n, or its first chunk if it breaks.
func (i *instance) answer(w http.ResponseWriter, id string, n int, breaks bool) {
	w.Header().Set("Response-Signature", "3e1b."+id)
	piece := bytes.Repeat([]byte("x"), max(i.cfg.chunkBytes, 1))
	if i.cfg.chunks == 0 {
		w.Header().Set("Content-Length", fmt.Sprint(len(piece)))
	}
	for k := range max(i.cfg.chunks, 1) {
		if _, err := w.Write(piece); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if breaks && k == 0 && i.cfg.chunks > 1 {
			i.mark(id, n, func(r *run) { r.broken = true })
			panic(http.ErrAbortHandler)
		}
	}
	i.mark(id, n, func(r *run) { r.whole = true })
}

func (i *instance) mark(id string, n int, set func(r *run)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	set(&i.runs[id][n])
}
