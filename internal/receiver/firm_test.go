package receiver

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
	"gentianbarrow.example/pkg/snapshotter"
)

func TestFirmReachesTarget(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprintf("over %d nodes", nodes), func(t *testing.T) {
			runWithFirms(t, nodes, targeter.Config{}, func(t *testing.T, m *firmMesh) {
				forwardToPeer(m.mesh)
				assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea)))
				m.assertFirm(t, "rocklea", 1)
				assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyYatala)))
				m.assertFirm(t, "yatala", 1)
			})
		})
	}
	t.Run("what the caller says of its firm is dropped", func(t *testing.T) {
		for _, names := range [][]string{
			{"Gentian-Firm"}, {"gentian-firm"}, {"GENTIAN-FIRM"}, {"Gentian-Firm", "gentian-firm", "gENTIAN-fIRM"},
		} {
			runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
				forwardToPeer(m.mesh)
				h := bearer(keyRocklea)
				for _, name := range names {
					h[name] = []string{"yatala", "southport"}
				}
				assertDone(t, m.askOnce(t.Context(), 0, "/read", h))
				m.assertFirm(t, "rocklea", 1)
				h["Connection"] = []string{"Gentian-Firm"}
				assertDone(t, m.askOnce(t.Context(), 0, "/read", h))
				m.assertFirm(t, "rocklea", 1)
				delete(h, "Authorization")
				assertDone(t, m.askOnce(t.Context(), 0, "/check", h))
				m.assertFirm(t, "", 1)
			})
		}
	})
	t.Run("retries name the firm and not the key", func(t *testing.T) {
		var arrived atomic.Int32
		cutFirst := func(string) targeter.Fault {
			if arrived.Add(1) == 1 {
				return targeter.FaultCutBefore
			}
			return targeter.FaultNone
		}
		runWithFirms(t, 3, targeter.Config{Choose: cutFirst}, func(t *testing.T, m *firmMesh) {
			forwardToPeer(m.mesh)
			assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea)))
			m.assertFirm(t, "rocklea", 2)
		})
	})
	t.Run("hedges name the firm and not the key", func(t *testing.T) {
		const requests = 200
		var arrived atomic.Int32
		slowLast := func(string) targeter.Fault {
			if arrived.Add(1) == requests {
				return targeter.FaultLoseAnswer
			}
			return targeter.FaultNone
		}
		runWithFirms(t, 3, targeter.Config{ServiceTime: 10 * time.Millisecond, Choose: slowLast}, func(t *testing.T, m *firmMesh) {
			forwardToPeer(m.mesh)
			client := m.client()
			defer client.CloseIdleConnections()
			for range requests {
				assertDone(t, m.ask(t.Context(), client, 0, "/read", bearer(keyRocklea)))
			}
			attempts := len(m.received)
			assert.Assert(t, attempts > requests, "%d attempts", attempts)
			m.assertFirm(t, "rocklea", attempts)
		})
	})
}

func TestUnknownKeys(t *testing.T) {
	for name, values := range map[string][]string{
		"no header":           nil,
		"an unknown key":      {"Bearer " + keyUnknown},
		"another scheme":      {"Basic " + keyRocklea},
		"no key":              {"Bearer"},
		"two headers":         {"Bearer " + keyRocklea, "Bearer " + keyRocklea},
		"a key and one more":  {"Bearer " + keyRocklea, "Bearer " + keyUnknown},
		"a firm but no key":   {"rocklea"},
		"the digest of a key": {"Bearer " + snapshotter.DigestKey(keyRocklea).String()},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
				h := http.Header{}
				if values != nil {
					h["Authorization"] = values
				}
				r := m.askOnce(t.Context(), 0, "/read", h)
				assertRefusal(t, r, http.StatusUnauthorized, exchanger.ReasonAccessKeyUnknown)
				assert.Equal(t, r.header.Get("WWW-Authenticate"), "Bearer")
				assert.Equal(t, r.header.Get("Retry-After"), "", "a caller does not come back with the same key")
				m.assertNothingRan(t)
				assert.Equal(t, m.taken, 0, "it counts against no limit")
			})
		})
	}
	t.Run("the route goes before the key", func(t *testing.T) {
		runWithFirms(t, 1, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			assertRefusal(t, m.askOnce(t.Context(), 0, "/nothing", http.Header{}), http.StatusNotFound, exchanger.ReasonNoRoute)
		})
	})
	t.Run("a route that needs no key takes requests with and without one", func(t *testing.T) {
		runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			forwardToPeer(m.mesh)
			assertDone(t, m.askOnce(t.Context(), 0, "/check", http.Header{}))
			m.assertFirm(t, "", 1)
			assertDone(t, m.askOnce(t.Context(), 0, "/check", bearer(keyUnknown)))
			m.assertFirm(t, "", 1)
			assertDone(t, m.askOnce(t.Context(), 0, "/check", bearer(keyYatala)))
			m.assertFirm(t, "yatala", 1)
		})
	})
	t.Run("without firms the header belongs to the target", func(t *testing.T) {
		runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			forwardToPeer(m.mesh)
			m.setSnapshot(bookingSnapshot())
			assertDone(t, m.askOnce(t.Context(), 0, "/read", http.Header{"Authorization": {"Basic abc", "Bearer def"}}))
			assert.Equal(t, m.taken, 0)
			assertDone(t, m.askOnce(t.Context(), 0, "/read", http.Header{}))
			assert.DeepEqual(t, m.received[0]["Authorization"], []string{"Basic abc", "Bearer def"})
			assert.Equal(t, len(m.received), 2)
		})
	})
}

// TestKeyOnOpenConnections guards against an identity that is kept with a connection:
// connections carry requests of several firms, and outlive the removal of a key.
func TestKeyOnOpenConnections(t *testing.T) {
	t.Run("several firms on one connection", func(t *testing.T) {
		runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			forwardToPeer(m.mesh)
			client := m.client()
			defer client.CloseIdleConnections()
			for range 3 {
				assertDone(t, m.ask(t.Context(), client, 0, "/read", bearer(keyRocklea)))
				m.assertFirm(t, "rocklea", 1)
				assertRefusal(t, m.ask(t.Context(), client, 0, "/read", http.Header{}), http.StatusUnauthorized, exchanger.ReasonAccessKeyUnknown)
				assertDone(t, m.ask(t.Context(), client, 0, "/read", bearer(keyYatala)))
				m.assertFirm(t, "yatala", 1)
			}
			assert.Equal(t, len(m.pipes.conns[m.nodes[0].callers]), 1, "connections of callers")
		})
	})
	t.Run("a key is removed, and comes back", func(t *testing.T) {
		runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			client := m.client()
			defer client.CloseIdleConnections()
			assertDone(t, m.ask(t.Context(), client, 0, "/read", bearer(keyRocklea)))
			m.assertFirm(t, "rocklea", 1)
			without := firmsSnapshot()
			without.Version++
			without.Firms["rocklea"] = snapshotter.Firm{Name: "rocklea"}
			m.setSnapshot(without)
			r := m.ask(t.Context(), client, 0, "/read", bearer(keyRocklea))
			assertRefusal(t, r, http.StatusUnauthorized, exchanger.ReasonAccessKeyUnknown)
			assert.Assert(t, !r.closesConnection)
			m.assertNothingRan(t)
			m.setSnapshot(firmsSnapshot())
			assertDone(t, m.ask(t.Context(), client, 0, "/read", bearer(keyRocklea)))
			assert.Equal(t, len(m.pipes.conns[m.nodes[0].callers]), 1, "connections of callers")
		})
	})
}

// TestNodeThatIsBehind guards against a 401 of a node that lacks the version in which a
// key is new: a caller does not come back after it.
func TestNodeThatIsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *blackboard.Config)
		delay  time.Duration
	}{
		"another node runs a greater version": {
			func(c *blackboard.Config) { c.PeerVersion.Version = c.Running.Version + 1 }, versionPendingDelay,
		},
		"a greater version waits for witnesses": {
			func(c *blackboard.Config) { c.Stage.Next = &snapshotter.Snapshot{Version: c.Running.Version + 1} }, versionPendingDelay,
		},
		"the platform does not answer": {
			func(c *blackboard.Config) { c.PlatformLost = true }, outOfTouchDelay,
		},
		"a greater version cannot be read": {
			func(c *blackboard.Config) { c.NoteRefused(blackboard.RefusedVersion{SinceAt: time.Now()}) }, outOfTouchDelay,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
				m.nodes[0].change(func(s *blackboard.State) { c.change(&s.Config) })
				r := m.askOnce(t.Context(), 0, "/read", bearer(keyUnknown))
				assertRefusal(t, r, http.StatusServiceUnavailable, exchanger.ReasonConfigBehind)
				assert.Assert(t, r.header.Get("Retry-After") != "")
				assert.Equal(t, m.nodes[0].receiver.configBehindDelay(firmsSnapshot()), c.delay)
				m.assertNothingRan(t)
				assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea)))
			})
		})
	}
	t.Run("no node of the data centre reaches the platform", func(t *testing.T) {
		runWithFirms(t, 4, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			last := m.nodes[3]
			lose := func(hosts ...int) {
				last.change(func(s *blackboard.State) {
					byHost := maps.Clone(s.Members.ByHost)
					for _, i := range hosts {
						member := byHost[m.nodes[i].host]
						member.PlatformLost = true
						byHost[m.nodes[i].host] = member
					}
					s.Members.ByHost = byHost
				})
			}
			// The last node does not watch while one of the others does.
			lose(0, 1)
			r := m.askOnce(t.Context(), 3, "/read", bearer(keyUnknown))
			assertRefusal(t, r, http.StatusUnauthorized, exchanger.ReasonAccessKeyUnknown)
			lose(2)
			last.change(func(s *blackboard.State) { s.Config.PlatformLost = true })
			r = m.askOnce(t.Context(), 3, "/read", bearer(keyUnknown))
			assertRefusal(t, r, http.StatusServiceUnavailable, exchanger.ReasonConfigBehind)
		})
	})
	t.Run("no configuration", func(t *testing.T) {
		runWithFirms(t, 1, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			m.setSnapshot(nil)
			r := m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea))
			assertRefusal(t, r, http.StatusServiceUnavailable, exchanger.ReasonNoConfig)
		})
	})
}

func TestTokens(t *testing.T) {
	assertTokens := func(t *testing.T, m *firmMesh, taken, returned int) {
		t.Helper()
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Equal(t, m.taken, taken)
		assert.Equal(t, m.returned, returned)
	}
	t.Run("beyond the limit nothing runs", func(t *testing.T) {
		runWithFirms(t, 2, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			m.refuseTokens = true
			r := m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea))
			assertRefusal(t, r, http.StatusTooManyRequests, exchanger.ReasonOverLimit)
			assert.Equal(t, r.header.Get("Retry-After"), "3")
			m.assertNothingRan(t)
			assertTokens(t, m, 1, 0)
			assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyYatala)))
			assertTokens(t, m, 1, 0)
		})
	})
	t.Run("a request takes one token over all its attempts", func(t *testing.T) {
		runWithFirms(t, 3, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			m.nodes[0].target.SetFaults(targeter.Faults{Fault: targeter.FaultShed, Count: 1})
			assertDone(t, m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea)))
			assertTokens(t, m, 1, 0)
		})
	})
	t.Run("the token of a request that did not run is returned", func(t *testing.T) {
		runWithFirms(t, 1, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			m.nodes[0].target.SetFaults(targeter.Faults{Fault: targeter.FaultShed})
			r := m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea))
			assert.Equal(t, r.outcome(), retrier.OutcomeNotRun)
			assertTokens(t, m, 1, 1)
		})
	})
	t.Run("the token of a request that may have run is kept", func(t *testing.T) {
		runWithFirms(t, 1, targeter.Config{}, func(t *testing.T, m *firmMesh) {
			m.nodes[0].target.SetFaults(targeter.Faults{Fault: targeter.FaultCutDuring})
			r := m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea))
			assert.Equal(t, r.outcome(), retrier.OutcomeUnknown)
			assertTokens(t, m, 1, 0)
		})
	})
}

// TestKeysAreSecret greps all that nodes send, write and show for the keys of requests.
func TestKeysAreSecret(t *testing.T) {
	runWithFirms(t, 3, targeter.Config{}, func(t *testing.T, m *firmMesh) {
		m.removeTarget(0)
		m.nodes[1].target.SetFaults(targeter.Faults{Fault: targeter.FaultCutBefore, Count: 1})
		m.nodes[2].target.SetFaults(targeter.Faults{Fault: targeter.FaultCutBefore, Count: 1})
		var replies []reply
		for _, path := range []string{"/read", "/book", "/check", "/nothing"} {
			for _, key := range []string{keyRocklea, keyYatala, keyUnknown} {
				h := bearer(key)
				h["Gentian-Firm"], h["Proxy-Authorization"] = []string{key}, []string{"Bearer " + key}
				replies = append(replies, m.askOnce(t.Context(), 0, path, h))
			}
		}
		replies = append(replies, m.askWithTrailer(t, 0, keyRocklea))
		m.refuseTokens = true
		replies = append(replies, m.askOnce(t.Context(), 0, "/read", bearer(keyRocklea)))
		synctest.Wait()

		shown := map[string]string{"messages": m.sent.String(), "logs": m.logs.String(), "metrics": exposed(t, m.metrics)}
		for i, r := range replies {
			assert.NilError(t, r.err)
			shown[fmt.Sprintf("answer %d", i)] = fmt.Sprint(r.header) + string(r.body)
		}
		for _, n := range m.nodes {
			shown["explanations of "+n.host] = fmt.Sprintf("%+v", n.ring)
		}
		for _, h := range m.received {
			shown["targets"] += fmt.Sprint(h)
		}
		for where, text := range shown {
			assert.Assert(t, text != "", where)
			for _, key := range []string{keyRocklea, keyYatala, keyUnknown} {
				assert.Assert(t, !strings.Contains(text, key), "%s show a key", where)
				digest := snapshotter.DigestKey(key)
				assert.Assert(t, !strings.Contains(text, digest.String()), "%s show the digest of a key", where)
			}
		}
		assert.Assert(t, strings.Contains(shown["messages"], "rocklea"), "the messages were not recorded")
		assert.Assert(t, strings.Contains(shown["logs"], `"firm":"rocklea"`), "the logs do not name the firm")
	})
}
