package receiver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/retrier"
	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/internal/targeter"
)

// request is one request of a random schedule.
type request struct {
	id    string
	key   string
	path  string
	entry int
	bytes int
	// chunked is set if the answer states no length.
	chunked bool
	fault   targeter.Fault
	at      time.Duration
	cancel  time.Duration
}

// event is one fault of a random schedule.
type event struct {
	kind string
	node int
	at   time.Duration
}

func drawRequest(t *rapid.T, i int) request {
	faults := []targeter.Fault{
		targeter.FaultNone, targeter.FaultNone, targeter.FaultCutBefore, targeter.FaultCutDuring, targeter.FaultCutAfter,
		targeter.FaultFrozen, targeter.FaultLoseAnswer, targeter.FaultCrossed, targeter.FaultShed,
	}
	r := request{
		id:    fmt.Sprintf("q-%d", i),
		path:  rapid.SampledFrom([]string{"/book", "/book", "/read", "/upload"}).Draw(t, "path"),
		entry: rapid.IntRange(0, 2).Draw(t, "entry"),
		bytes: rapid.SampledFrom([]int{0, 10, 70_000, 400_000}).Draw(t, "bytes"),
		fault: rapid.SampledFrom(faults).Draw(t, "fault"),
		at:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "at")) * time.Millisecond,
	}
	r.chunked = r.path != "/upload" && rapid.Bool().Draw(t, "chunked")
	if r.path == "/book" && rapid.Bool().Draw(t, "keyed") {
		r.key = rapid.SampledFrom([]string{"key-1", "key-2"}).Draw(t, "key")
		r.bytes = 10
	}
	if rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
		r.cancel = time.Duration(rapid.IntRange(1, 2000).Draw(t, "cancel")) * time.Millisecond
	}
	return r
}

func drawEvent(t *rapid.T) event {
	kinds := []string{"silence-node", "silence-target", "cut-node", "cut-target", "drain-target", "drain-node", "kill-node"}
	return event{
		kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		node: rapid.IntRange(0, 2).Draw(t, "node"),
		at:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "event-at")) * time.Millisecond,
	}
}

func (m *mesh) injectFault(e event) {
	n := m.nodes[e.node]
	time.Sleep(e.at)
	switch e.kind {
	case "silence-node":
		m.pipes.blackhole(n.address)
	case "silence-target":
		m.pipes.blackhole(n.host + targetPort)
	case "cut-node":
		m.pipes.closeConns(n.address)
	case "cut-target":
		m.pipes.closeConns(n.host + targetPort)
	case "drain-target":
		n.setPhase(blackboard.TargetDraining)
	case "drain-node":
		n.tracker.Close()
	case "kill-node":
		n.kill()
	}
}

func (m *mesh) sendRequest(ctx context.Context, q request) reply {
	time.Sleep(q.at)
	if q.cancel > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.cancel)
		defer cancel()
	}
	var body io.Reader
	method, path := "POST", q.path
	if q.path == "/upload" {
		body = bytes.NewReader(targeter.Pattern(q.id, q.bytes))
	} else {
		path = fmt.Sprintf("%s?bytes=%d", q.path, q.bytes)
	}
	if q.chunked {
		path += "&chunked"
	}
	if q.path == "/read" {
		method = "GET"
	}
	return m.send(ctx, q.entry, method, path, body, withKey(q.id, q.key))
}

// violation returns what is wrong with an answer, given what the targets ran; empty if nothing is.
func violation(q request, r reply, c targeter.Counts) string {
	executed := c.ByRequest[q.id]
	if q.path != "/read" && executed > 1 {
		return fmt.Sprintf("ran %d times", executed)
	}
	if q.key != "" && c.ByKey[q.key] > 1 {
		return fmt.Sprintf("key ran %d times", c.ByKey[q.key])
	}
	if r.outcome() == retrier.OutcomeNotRun && r.isComplete() && executed > 0 {
		return fmt.Sprintf("reported not-run (%s) but ran", r.reason())
	}
	if r.outcome() != retrier.OutcomeDone || !r.isComplete() {
		return ""
	}
	return bodyViolation(q, r)
}

// bodyViolation checks a complete answer. An answer to a key may be that of an earlier request.
func bodyViolation(q request, r reply) string {
	switch {
	case q.path == "/upload" && !bytes.Contains(r.body, []byte(`"request-id":"`+q.id+`"`)):
		return "answer belongs to another request"
	case q.path == "/upload" && !bytes.Contains(r.body, fmt.Appendf(nil, `"bytes":%d`, q.bytes)):
		return "target has not read the complete body"
	case q.path != "/upload" && q.key == "" && !bytes.Equal(r.body, targeter.Pattern(q.id, q.bytes)):
		return "answer is not complete or belongs to another request"
	case q.key != "" && len(r.body) != q.bytes:
		return "answer is not complete"
	}
	return ""
}

func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var requests []request
		for i := range rapid.IntRange(1, 10).Draw(rt, "requests") {
			requests = append(requests, drawRequest(rt, i))
		}
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 0, 5).Draw(rt, "events")
		service := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "service-ms")) * time.Millisecond
		for _, v := range runSchedule(t, requests, events, service) {
			rt.Error(v)
		}
	})
}

// runSchedule runs a schedule under fake time and returns the violations.
func runSchedule(t *testing.T, requests []request, events []event, service time.Duration) []string {
	faults := map[string]targeter.Fault{}
	for _, q := range requests {
		faults[q.id] = q.fault
	}
	cfg := targeter.Config{ServiceTime: service, Choose: func(id string) targeter.Fault { return faults[id] }}
	var violations []string
	clearPools()
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(3, cfg)
		defer m.close(t)
		var group sync.WaitGroup
		replies := make([]reply, len(requests))
		for i, q := range requests {
			group.Go(func() { replies[i] = m.sendRequest(t.Context(), q) })
		}
		for _, e := range events {
			group.Go(func() { m.injectFault(e) })
		}
		group.Wait()
		// Requests whose callers went away may still be running.
		time.Sleep(time.Minute)
		counts := m.counts()
		for i, q := range requests {
			if v := violation(q, replies[i], counts); v != "" {
				violations = append(violations, q.id+": "+v)
			}
		}
	})
	return violations
}

// maxSpreadTime is how soon all nodes know of a target that has become ready.
const maxSpreadTime = 3 * time.Second

// TestRandomJoins sends requests with repeated keys, one after the other, while a
// host joins that becomes the home of some of the keys. A key must not run twice,
// as it would if the new home ran a key that an earlier home remembers. All nodes
// know of the host within maxSpreadTime.
func TestRandomJoins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		absent := rapid.IntRange(0, 2).Draw(rt, "absent")
		spread := time.Duration(rapid.IntRange(0, int(maxSpreadTime.Milliseconds())).Draw(rt, "spread")) * time.Millisecond
		age := time.Duration(rapid.IntRange(0, 20).Draw(rt, "age-minutes")) * time.Minute
		var requests []request
		faults := map[string]targeter.Fault{}
		for i := range 8 {
			q := drawRequest(rt, i)
			q.path, q.bytes, q.chunked, q.cancel = "/book", 10, false, 0
			q.at = time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond
			q.key = rapid.SampledFrom([]string{"key-1", "key-2", "key-3"}).Draw(rt, "key")
			requests = append(requests, q)
			faults[q.id] = q.fault
		}
		cfg := targeter.Config{Choose: func(id string) targeter.Fault { return faults[id] }}
		var violations []string
		runInMesh(t, 3, cfg, func(t *testing.T, m *mesh) {
			m.shareMembersExcept(absent)
			m.send(t.Context(), (absent+1)%3, "GET", "/read", nil, nil)
			time.Sleep(age)
			ready := time.Now()
			m.nodes[absent].change(func(s *stateType) { s.Target.ReadySince = ready })
			var group sync.WaitGroup
			group.Go(func() {
				time.Sleep(spread)
				m.shareMembers()
			})
			defer group.Wait()
			for _, q := range requests {
				if v := violation(q, m.sendRequest(t.Context(), q), m.counts()); v != "" {
					violations = append(violations, q.id+": "+v)
				}
			}
		})
		for _, v := range violations {
			rt.Error(v)
		}
	})
}

func TestViolation(t *testing.T) {
	q := request{id: "q-1", path: "/book", bytes: 10}
	assert.Equal(t, violation(q, reply{}, targeter.Counts{ByRequest: map[string]int{"q-1": 2}}), "ran 2 times")
}
