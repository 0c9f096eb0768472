package receiver

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

func withKey(id, key string) map[string]string {
	return map[string]string{exchanger.HeaderRequestID: id, exchanger.HeaderIdempotencyKey: key}
}

// assertKeyRuns checks how often requests with a key have run at all targets together.
func assertKeyRuns(t *testing.T, m *mesh, key string, want int) {
	t.Helper()
	assert.Equal(t, m.counts().ByKey[key], want)
}

// homeOf returns the index of the home of a key.
func (m *mesh) homeOf(key string) int {
	var hosts []string
	for _, n := range m.nodes {
		hosts = append(hosts, n.host)
	}
	home := deduplicator.Home(key, hosts)
	for i, n := range m.nodes {
		if n.host == home {
			return i
		}
	}
	return -1
}

func TestIdempotencyKey(t *testing.T) {
	const key = "order-41"
	t.Run("done: the recorded answer is returned through any node", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			first := m.send(t.Context(), 0, "POST", "/book?bytes=30", nil, withKey("b-0", key))
			assertDone(t, first)
			for i := range m.nodes {
				again := m.send(t.Context(), i, "POST", "/book?bytes=30", nil, withKey(fmt.Sprintf("b-%d", i+1), key))
				assertDone(t, again)
				assert.DeepEqual(t, again.body, first.body)
				assert.Equal(t, again.header.Get(exchanger.HeaderReplayed), "true")
			}
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("running: the outcome is unknown", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{ServiceTime: 5 * time.Second}, func(t *testing.T, m *mesh) {
			var group sync.WaitGroup
			group.Go(func() { m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key)) })
			time.Sleep(time.Second)
			r := m.send(t.Context(), 1, "POST", "/book", nil, withKey("b-1", key))
			group.Wait()
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyRunning)
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("unknown: the outcome is unknown and the request is not run again", func(t *testing.T) {
		cfg := targeter.Config{Choose: func(id string) targeter.Fault {
			if id == "b-0" {
				return targeter.FaultCutDuring
			}
			return targeter.FaultNone
		}}
		runInMesh(t, 3, cfg, func(t *testing.T, m *mesh) {
			m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key))
			r := m.send(t.Context(), 1, "POST", "/book", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyUnknown)
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("not run: the request is run when it is sent again", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.nodes[m.homeOf(key)].target.SetFaults(targeter.Faults{Fault: targeter.FaultShed, Count: 1})
			r := m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
			assertDone(t, m.send(t.Context(), 1, "POST", "/book", nil, withKey("b-1", key)))
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("a different request with the key is refused", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key)))
			r := m.send(t.Context(), 1, "POST", "/book?other", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusUnprocessableEntity)
		})
	})
	t.Run("a different request with the key is refused by a draining home", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := m.homeOf(key)
			assertDone(t, m.send(t.Context(), home, "POST", "/book", nil, withKey("b-0", key)))
			m.nodes[home].tracker.Close()
			r := m.send(t.Context(), (home+1)%3, "POST", "/book?other", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusUnprocessableEntity)
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("a key is forgotten after its TTL", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key)))
			time.Sleep(deduplicator.KeyTTL + time.Second)
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-1", key)))
			assertKeyRuns(t, m, key, 2)
		})
	})
}

func TestIdempotencyKeyHome(t *testing.T) {
	const key = "order-42"
	t.Run("a request whose home is dead is refused and not run again", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := m.homeOf(key)
			entry := (home + 1) % 3
			assertDone(t, m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-0", key)))
			m.nodes[home].kill()
			// Until the peers have detected the closed connections, an answer may be lost instead.
			synctest.Wait()
			r := m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyHomeLost)
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("a request whose home is a dead member is refused", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := m.homeOf(key)
			entry := m.nodes[(home+1)%3]
			entry.setStatus(m.nodes[home].host, blackboard.MemberDead)
			r := m.send(t.Context(), (home+1)%3, "POST", "/book", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyHomeLost)
		})
	})
	for _, draining := range []string{"target", "node"} {
		t.Run("a home whose "+draining+" drains answers for its keys and disclaims new ones", func(t *testing.T) {
			runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
				home := m.homeOf(key)
				entry := (home + 1) % 3
				assertDone(t, m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-0", key)))
				if draining == "target" {
					m.nodes[home].setPhase(blackboard.TargetDraining)
				} else {
					m.nodes[home].tracker.Close()
				}
				again := m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-1", key))
				assertDone(t, again)
				assert.Equal(t, again.header.Get(exchanger.HeaderReplayed), "true")
				for i := range 10 {
					fresh := fmt.Sprintf("fresh-%d", i)
					assertDone(t, m.send(t.Context(), entry, "POST", "/book", nil, withKey(fresh, fresh)))
					assertKeyRuns(t, m, fresh, 1)
				}
				assertKeyRuns(t, m, key, 1)
			})
		})
	}
	for _, age := range []time.Duration{time.Second, deduplicator.KeyTTL + time.Minute} {
		t.Run("a home that joins before the retry, others known for "+age.String(), func(t *testing.T) {
			runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
				home := m.homeOf(key)
				entry := (home + 1) % 3
				m.shareMembersExcept(home)
				assertDone(t, m.send(t.Context(), entry, "GET", "/read", nil, nil))
				time.Sleep(age)
				assertDone(t, m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-0", key)))
				m.shareMembers()
				again := m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-1", key))
				assertDone(t, again)
				assert.Equal(t, again.header.Get(exchanger.HeaderReplayed), "true")
				assertKeyRuns(t, m, key, 1)
			})
		})
	}
	t.Run("a home that resumes after draining", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := m.homeOf(key)
			entry := (home + 1) % 3
			read := func() { assertDone(t, m.send(t.Context(), entry, "GET", "/read", nil, nil)) }
			read()
			time.Sleep(deduplicator.KeyTTL + time.Minute)
			m.nodes[home].setPhase(blackboard.TargetDraining)
			m.shareMembers()
			assertDone(t, m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-0", key)))
			m.nodes[home].setPhase(blackboard.TargetReady)
			m.shareMembers()
			again := m.send(t.Context(), entry, "POST", "/book", nil, withKey("b-1", key))
			assertDone(t, again)
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("the HTTP client does not retry a request because it carries a key", func(t *testing.T) {
		runInMesh(t, 1, targeter.Config{}, func(t *testing.T, m *mesh) {
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", "warm")))
			m.nodes[0].target.SetFaults(targeter.Faults{Fault: targeter.FaultCutDuring, Count: 1})
			r := m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-1", key))
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assertKeyRuns(t, m, key, 1)
		})
	})
}

func TestNewHome(t *testing.T) {
	const key = "order-43"
	// isolateHome makes the home of the key new and known only to itself.
	isolateHome := func(m *mesh) (home int) {
		home = m.homeOf(key)
		m.shareMembersExcept(home)
		m.nodes[home].change(func(s *stateType) { s.Target.ReadySince = time.Now() })
		return home
	}
	t.Run("disclaims keys until the others know it", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := isolateHome(m)
			assertDone(t, m.send(t.Context(), home, "POST", "/book", nil, withKey("b-0", key)))
			assertDone(t, m.send(t.Context(), (home+1)%3, "POST", "/book", nil, withKey("b-1", key)))
			assertKeyRuns(t, m, key, 1)
		})
	})
	t.Run("takes keys once the others know it", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := isolateHome(m)
			m.shareMembers()
			time.Sleep(10 * time.Second)
			assertDone(t, m.send(t.Context(), (home+1)%3, "POST", "/book", nil, withKey("b-0", key)))
			assert.Equal(t, m.nodes[home].target.Counts().ByKey[key], 1)
		})
	})
	t.Run("is waited for when all targets are new", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			for _, n := range m.nodes {
				n.change(func(s *stateType) { s.Target.ReadySince = time.Now() })
			}
			start := time.Now()
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withKey("b-0", key)))
			assert.Assert(t, time.Since(start) <= 6*time.Second)
			assert.Equal(t, m.nodes[m.homeOf(key)].target.Counts().ByKey[key], 1)
		})
	})
	t.Run("is not waited for beyond the deadline", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			for _, n := range m.nodes {
				n.change(func(s *stateType) { s.Target.ReadySince = time.Now() })
			}
			header := withKey("b-0", key)
			header[exchanger.HeaderDeadline] = "2000"
			r := m.send(t.Context(), 0, "POST", "/book", nil, header)
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyHomeNew)
		})
	})
	t.Run("refuses when the answer of an earlier home is lost", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			home := m.homeOf(key)
			entry := m.nodes[home]
			entry.receiver.cfg.Forward = func(_ context.Context, _ string, r *exchanger.Request) *exchanger.Answer {
				assert.Assert(t, r.LookupOnly)
				return exchanger.Unknown(exchanger.ReasonConnectionLost, nil)
			}
			r := m.send(t.Context(), home, "POST", "/book", nil, withKey("b-0", key))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
			assert.Equal(t, r.reason(), exchanger.ReasonKeyHomeLost)
			assertKeyRuns(t, m, key, 0)
		})
	})
}

func TestNotRunCoversAllAttempts(t *testing.T) {
	runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
		var requests sync.Map
		choose := func(id string) targeter.Fault {
			if _, loaded := requests.LoadOrStore(id, true); loaded {
				return targeter.FaultShed
			}
			return targeter.FaultCutDuring
		}
		for _, n := range m.nodes {
			n.target.SetChoose(choose)
		}
		r := m.send(t.Context(), 0, "GET", "/read", nil, withID("r-1"))
		assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
		assert.Equal(t, m.counts().ByRequest["r-1"], 1)
	})
}
