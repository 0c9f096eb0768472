package soaker

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/platform/emulator"
)

// rawBody is the body of the answers of targets.
const rawBody = "the body of a target"

// rawMesh is a mesh of real nodes in which only the first data centre has targets. They
// write their answers byte by byte.
type rawMesh struct {
	*mesh
	targets []*emulator.RawTarget
}

func newRawMesh(t *testing.T, seed uint64) *rawMesh {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	m := &rawMesh{mesh: newMesh(ctx, t, buildNode(t), seed)}
	m.settle(t, "at first")
	for _, h := range m.hosts {
		h.crashTarget()
	}
	for _, h := range m.hostsOf(dataCentres[0]) {
		raw, err := emulator.StartRaw(ctx, emulator.TargetConfig{
			ID: h.name + "-raw", Service: h.service, Address: h.ip + ":7605", Control: h.ip + ":7602",
			Zone: h.dataCentre, Slots: targetSlots, AnnounceEvery: announceEvery,
		}, m.ledger, answerSound)
		assert.NilError(t, err)
		t.Cleanup(raw.Crash)
		m.targets = append(m.targets, raw)
	}
	return m
}

// answerSound gives an ordinary answer.
func answerSound(x *emulator.RawExchange) {
	x.Write("HTTP/1.1 200 OK\r\n" + x.Fields(rawBody) + "Connection: close\r\nContent-Length: " + strconv.Itoa(len(rawBody)) + "\r\n\r\n" + rawBody)
}

// atBothNodes runs a test for the node on the host of the target of a kind of request, and
// for a node of another data centre.
func (m *rawMesh) atBothNodes(t *testing.T, kind int, f func(t *testing.T, c *emulator.Caller)) {
	t.Helper()
	for name, dataCentre := range map[string]string{"at the node of the target": dataCentres[0], "at another node": dataCentres[1]} {
		t.Run(name, func(t *testing.T) {
			h := m.hostsOf(dataCentre)[kind]
			c := emulator.NewCaller(h.name, h.callers(), m.ledger)
			defer c.Close()
			f(t, c)
		})
	}
}

// ask sends requests until the target has answered n of them by the function, and passes
// on what their callers received. The target answers other requests well in between, so
// that its node does not take it out for a series of failures.
func (m *rawMesh) ask(t *testing.T, c *emulator.Caller, kind int, r emulator.Request, n int, answer func(x *emulator.RawExchange), check func(reply emulator.Reply)) {
	t.Helper()
	end := time.Now().Add(patience)
	for range n {
		var answered atomic.Bool
		m.targets[kind].SetAnswer(func(x *emulator.RawExchange) {
			answered.Store(true)
			answer(x)
		})
		for {
			reply := c.Ask(m.ctx, rand.Text(), r)
			if answered.Load() {
				check(reply)
				break
			}
			assert.Assert(t, time.Now().Before(end), "the target is not asked: status %d, %v", reply.Status, reply.Err)
			time.Sleep(pollEvery)
		}
		m.targets[kind].SetAnswer(answerSound)
		for c.Ask(m.ctx, rand.Text(), kinds()[kind]).Status != http.StatusOK {
			assert.Assert(t, time.Now().Before(end), "the target is not asked again")
			time.Sleep(pollEvery)
		}
	}
}

// askForBroken is ask for answers that must not be passed on. It checks as well that no other
// request comes on a connection that has carried one.
func (m *rawMesh) askForBroken(t *testing.T, c *emulator.Caller, kind int, r emulator.Request, n int, answer func(x *emulator.RawExchange), check func(reply emulator.Reply)) {
	t.Helper()
	var reused atomic.Int64
	m.ask(t, c, kind, r, n, func(x *emulator.RawExchange) {
		reused.Add(int64(x.Sequence - 1))
		answer(x)
	}, check)
	assert.Check(t, reused.Load() == 0, "the connection was used again")
}

// assertBadGateway checks that callers are told that there is no answer of the target.
func (m *rawMesh) assertBadGateway(t *testing.T, c *emulator.Caller, kind int, r emulator.Request, n int, answer func(x *emulator.RawExchange)) {
	t.Helper()
	m.askForBroken(t, c, kind, r, n, answer, func(reply emulator.Reply) {
		assert.NilError(t, reply.Err)
		assert.Check(t, reply.Status == http.StatusBadGateway && !reply.IsSigned(), "the caller got status %d, header %v, body %q", reply.Status, reply.Header, shorten(reply.Body))
	})
}

// assertNotWhole checks that callers are told that there is no answer of the target, or see
// that it is cut.
func (m *rawMesh) assertNotWhole(t *testing.T, c *emulator.Caller, kind int, r emulator.Request, n int, answer func(x *emulator.RawExchange)) {
	t.Helper()
	m.askForBroken(t, c, kind, r, n, answer, func(reply emulator.Reply) {
		isCut := reply.Err != nil
		assert.Check(t, isCut || reply.Status == http.StatusBadGateway && !reply.IsSigned(), "the caller got status %d, header %v, body %q", reply.Status, reply.Header, shorten(reply.Body))
	})
}

func shorten(b []byte) string { return string(b[:min(len(b), 60)]) }

// assertReported waits until the node of a target has logged and counted n broken answers.
func (m *rawMesh) assertReported(t *testing.T, kind int, part dispatcher.Part, n int) {
	t.Helper()
	h := m.hostsOf(dataCentres[0])[kind]
	counted := fmt.Sprintf("gentian_broken_answers_total{part=%q} %d\n", part, n)
	for end := time.Now().Add(patience); ; time.Sleep(pollEvery) {
		log, err := os.ReadFile(h.node.log)
		assert.NilError(t, err)
		lines := strings.Count(string(log), logger.AnswerBroken.Name)
		isCounted := strings.Contains(get(t, h.ip+":7604/metrics"), counted)
		if lines == n && isCounted {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d lines in the log, not %d; counted: %t", lines, n, isCounted)
	}
}
