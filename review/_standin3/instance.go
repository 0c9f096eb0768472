package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	slots      = 18
	// signature stands in each answer that an instance makes to a request that it ran.
	signature = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// instance is a server beside a node. It runs requests, and sends heartbeats.
type instance struct {
	record  *recorder
	id      string
	born    int64
	service string
	zone    string
	address string
	control string
	work    time.Duration
	// answerBytes is the length of the body of an answer.
	answerBytes int
	ln          net.Listener
	serving     sync.WaitGroup

	mu sync.Mutex
	// sequence of the last heartbeat. Guarded by mu.
	sequence uint64
	// arrivals holds when each request reached the instance, by id. Guarded by mu.
	arrivals map[string]time.Time
	// runs holds the ids of the requests that were run. Guarded by mu.
	runs map[string]int
	// rejectsEarly reports whether a request with a body is rejected before it is read; nil
	// means never. Guarded by mu.
	rejectsEarly func(id string) bool
	// isLeaving is set once the instance has begun to leave. Guarded by mu.
	isLeaving bool
	// breaksOff reports whether the answer to a request ends early; nil means never. Guarded by mu.
	breaksOff func(id string) bool
	// conns are the open connections. Guarded by mu.
	conns map[net.Conn]bool
}

// listen opens the instance's address.
func (i *instance) listen() error {
	ln, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.ln, i.arrivals, i.runs, i.conns = ln, map[string]time.Time{}, map[string]int{}, map[net.Conn]bool{}
	i.address = ln.Addr().String()
	i.serving.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			i.mu.Lock()
			i.conns[conn] = true
			i.mu.Unlock()
			i.serving.Go(func() { i.serve(conn) })
		}
	})
	return nil
}

// exit closes the instance's address and its connections.
func (i *instance) exit() {
	i.record.note("instance %s exits", i.id)
	_ = i.ln.Close()
	i.mu.Lock()
	for conn := range i.conns {
		_ = conn.Close()
	}
	i.mu.Unlock()
	i.serving.Wait()
}

func (i *instance) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the connection is no longer used
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !i.answer(conn, req) {
			return
		}
	}
}

// answer answers one request and reads the rest of its body. It reports whether the connection goes on.
func (i *instance) answer(conn net.Conn, req *http.Request) bool {
	if req.URL.Path == healthPath {
		return i.write(conn, i.health(), "", "Instance-Id: "+i.id+"\r\n", 0)
	}
	id := req.Header.Get("Request-Id")
	i.mu.Lock()
	i.arrivals[id] = time.Now()
	i.mu.Unlock()
	if want := req.Header.Get("Expected-Instance"); want != "" && want != i.id {
		i.record.note("instance %s answers 421 to %s, which expects %s", i.id, id, want)
		return i.write(conn, "421 Misdirected Request", id, "Instance-Id: "+i.id+"\r\n", 0)
	}
	if req.ContentLength != 0 && i.isRejected(id) {
		if _, err := io.CopyN(io.Discard, req.Body, rejectAfterBytes); err != nil {
			return false
		}
		i.record.note("instance %s rejects %s before its body is in", i.id, id)
		ok := i.write(conn, "503 Service Unavailable", id, "Not-Executed: 1\r\n", 0)
		_, err := io.Copy(io.Discard, req.Body)
		return ok && err == nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		i.record.note("instance %s: the body of %s breaks off", i.id, id)
		return false
	}
	i.mu.Lock()
	i.runs[id]++
	i.mu.Unlock()
	i.record.note("instance %s runs %s", i.id, id)
	time.Sleep(i.work)
	if i.isBrokenOff(id) {
		i.record.note("instance %s breaks off its answer to %s", i.id, id)
		i.writePart(conn, id)
		return false
	}
	return i.write(conn, "200 OK", id, "Response-Signature: "+signature+"\r\n", i.answerBytes)
}

// health returns the status of the health check, which a leaving instance fails.
func (i *instance) health() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isLeaving {
		return "503 Service Unavailable"
	}
	return "200 OK"
}

// leavingField is in all answers of a leaving instance.
func (i *instance) leavingField() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isLeaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

func (i *instance) isBrokenOff(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.breaksOff != nil && i.breaksOff(id)
}

// writePart sends an answer but for the last bytes of its body.
func (i *instance) writePart(conn net.Conn, id string) {
	head := "HTTP/1.1 200 OK\r\n" + i.leavingField() + "Response-Signature: " + signature + "\r\nRequest-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(i.answerBytes) + "\r\n\r\n"
	_, _ = conn.Write(append([]byte(head), bytes.Repeat([]byte("x"), i.answerBytes*9/10)...))
}

func (i *instance) isRejected(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rejectsEarly != nil && i.rejectsEarly(id)
}

// write sends an answer with a body of the given length.
func (i *instance) write(conn net.Conn, status, id, fields string, length int) bool {
	fields += i.leavingField()
	if id != "" {
		fields += "Request-Id: " + id + "\r\n"
	}
	head := "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(head), bytes.Repeat([]byte("x"), length)...))
	return err == nil
}

// arrivedAt returns when a request reached the instance.
func (i *instance) arrivedAt(id string) (time.Time, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	at, ok := i.arrivals[id]
	return at, ok
}

// nextBeat returns the body of the next heartbeat.
func (i *instance) nextBeat(state string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		i.address, i.born, i.service, i.zone, slots, state, i.sequence)
}

// send makes a call to the control address and returns its status; 0 when there is no answer.
func (i *instance) send(ctx context.Context, call, body string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + i.control + "/-/rpc?call=" + call + "&of=" + i.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// beat sends a heartbeat now and at the interval until ctx ends.
func (i *instance) beat(ctx context.Context) {
	for {
		i.send(ctx, "instances.heartbeat", i.nextBeat("ready"))
		if !sleep(ctx, heartbeat) {
			return
		}
	}
}

// deregister tells the node that the instance leaves, until that is acknowledged, and
// returns when it was.
func (i *instance) deregister(ctx context.Context) (acknowledged time.Time, ok bool) {
	i.mu.Lock()
	i.isLeaving = true
	i.mu.Unlock()
	for range 4 {
		status := i.send(ctx, "instances.deregister", fmt.Sprintf(`{"born":%d}`, i.born))
		i.record.note("instance %s deregisters: %d", i.id, status)
		if status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}
