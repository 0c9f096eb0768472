package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/enroller"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/platform/emulator"
)

// keysSeed is that of the addresses of TestKeysAcrossACut; it is odd, so that there are firms.
const keysSeed = 9001

// TestKeysAcrossACut takes keys away while a data centre is cut off, first from the store
// alone and then from all other nodes as well. Callers keep their connections all the while.
func TestKeysAcrossACut(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := newMesh(ctx, t, buildNode(t), keysSeed)
	cut := m.hostsOf(dataCentres[0])
	var callers []*emulator.Caller
	for _, h := range cut {
		c := emulator.NewCaller(h.name, h.callers(), m.ledger)
		t.Cleanup(c.Close)
		callers = append(callers, c)
	}
	m.settle(t, "at first")
	for range keptVersions {
		m.configure(1)
	}
	m.assertKeys(t, cut, callers, "in reach of the store")

	var heals []func()
	for _, h := range cut {
		heals = append(heals, h.store.hold(inward, outward))
	}
	m.configure(1)
	m.assertKeys(t, cut, callers, "in reach of other nodes only")

	// Each node is reached through a proxy of its own, so to cut off some of them all are held.
	for _, h := range m.hosts {
		heals = append(heals, h.peers.hold(inward, outward))
	}
	before := m.latest().route
	for range keptVersions {
		m.configure(1)
	}
	begun := time.Now()
	end := begun.Add(within(recoverWithin))
	for i, h := range cut {
		ask := func(n int) emulator.Record {
			// The cut leaves a node its own target only.
			r := kinds()[slices.Index(services, h.service)]
			r.Key = versionKey(n)
			return m.send(callers[i], r)
		}
		// Out of touch, a node goes on with the keys that it knows, and says nothing final of others.
		for ask(before).Outcome != emulator.OutcomeWhole {
			assert.Assert(t, time.Now().Before(end), "%s serves no known key", h.name)
			time.Sleep(pollEvery)
		}
		// It needs some time to notice that it is out of touch.
		for ask(m.latest().route).Outcome != emulator.OutcomeRefused {
			assert.Assert(t, time.Now().Before(end), "%s answers %d", h.name, ask(m.latest().route).Status)
			time.Sleep(pollEvery)
		}
		t.Logf("%s knows that it is out of touch after %s", h.name, time.Since(begun).Round(time.Millisecond))
	}
	for _, heal := range heals {
		heal()
	}
	m.assertKeys(t, cut, callers, "after the cut")
	for _, line := range m.ledger.Judge() {
		t.Error(line)
	}
	m.assertSecret(t)
}

// assertSecret greps what nodes log, show and write for all keys and their digests.
func (m *mesh) assertSecret(t *testing.T) {
	t.Helper()
	keys := []string{firmKey, otherFirmKey}
	for n := 1; n <= m.latest().route; n++ {
		keys = append(keys, versionKey(n))
	}
	shown := map[string]string{"objects of nodes": get(t, m.hosts[0].ip+":7606/-/objects/"+enroller.Kind)}
	for _, h := range m.hosts {
		log, err := os.ReadFile(h.node.log)
		assert.NilError(t, err)
		shown["log of "+h.name] = string(log)
		shown["state of "+h.name] = get(t, h.ip+":7604/debug/blackboard")
		shown["metrics of "+h.name] = get(t, h.ip+":7604/metrics")
	}
	for where, text := range shown {
		assert.Assert(t, text != "", where)
		for _, key := range keys {
			assert.Assert(t, !strings.Contains(text, key), "the %s shows a key", where)
			assert.Assert(t, !strings.Contains(text, snapshotter.DigestKey(key).String()), "the %s shows the digest of a key", where)
		}
	}
	state := shown["state of "+m.hosts[0].name]
	assert.Assert(t, strings.Contains(state, fmt.Sprintf("%q", firmName)), "the state does not show firms")
}

// get returns the body of an answer.
func get(t *testing.T, address string) string {
	t.Helper()
	resp, err := http.Get("http://" + address) //nolint:noctx // ends with the test
	assert.NilError(t, err)
	defer resp.Body.Close() //nolint:errcheck // read to its end
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}
