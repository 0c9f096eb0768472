package fetcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func snapshot(version uint64) *snapshotter.Snapshot {
	s := snapshotter.Empty()
	s.Version = version
	return s
}

func stateWith(version uint64) blackboard.State {
	s := blackboard.State{Self: blackboard.Self{Host: "a-2", DataCentre: "a"}}
	if version > 0 {
		s.Config.Running = snapshot(version)
	}
	s.Config.PollerStarted = true
	s.Members.ByHost = map[string]blackboard.Member{
		"a-1": {Host: "a-1", Address: "10.0.0.1:7600", DataCentre: "a", Status: blackboard.MemberAlive},
	}
	return s
}

func assertRunning(t *testing.T, s blackboard.State, want uint64) {
	t.Helper()
	assert.Equal(t, versionOf(s.Config.Running), want)
}

func TestGreatestVersionRuns(t *testing.T) {
	for name, c := range map[string]struct{ running, read, want uint64 }{
		"the first version":  {0, 3, 3},
		"a later version":    {3, 7, 7},
		"the same version":   {7, 7, 7},
		"an earlier version": {7, 3, 7},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := Reduce(stateWith(c.running), blackboard.ConfigRead{Snapshot: snapshot(c.read), Now: start})
			assertRunning(t, s, c.want)
		})
	}
}

func TestAskAfterNodeUpdate(t *testing.T) {
	withUpdate := func(s blackboard.State, host string, version uint64, at time.Time) blackboard.State {
		s, _ = Reduce(s, blackboard.NodeUpdated{Host: host, Version: version, Now: at})
		return s
	}
	stateAfterUpdate := func(running, version uint64) blackboard.State {
		return withUpdate(stateWith(running), "a-1", version, start)
	}
	assertAsks := func(t *testing.T, s blackboard.State, at time.Time, want ...string) blackboard.State {
		t.Helper()
		s, effects := Reduce(s, blackboard.Tick{Now: at})
		var addresses []string
		for _, e := range effects {
			addresses = append(addresses, e.(askPeer).address)
		}
		assert.DeepEqual(t, addresses, want)
		return s
	}
	t.Run("a node that watches the platform asks after a delay", func(t *testing.T) {
		s := stateAfterUpdate(3, 7)
		s = assertAsks(t, s, start.Add(watcherAskDelay-time.Millisecond))
		s = assertAsks(t, s, start.Add(watcherAskDelay), "10.0.0.1:7600")
		assertAsks(t, s, start.Add(watcherAskDelay+blackboard.TickInterval))
	})
	t.Run("a node that watches but cannot reach the platform asks at once", func(t *testing.T) {
		s, _ := Reduce(stateWith(3), blackboard.PlatformReachabilityChanged{Lost: true, Now: start})
		assertAsks(t, withUpdate(s, "a-1", 7, start), start, "10.0.0.1:7600")
	})
	t.Run("a node that does not watch asks at once", func(t *testing.T) {
		assertAsks(t, withUpdate(stateWithThreePeers(3), "a-1", 7, start), start, "10.0.0.1:7600")
	})
	t.Run("a node of the own data centre is preferred", func(t *testing.T) {
		s := withUpdate(stateWithThreePeers(3), "b-1", 7, start)
		s = assertAsks(t, s, start)
		s = withUpdate(s, "a-1", 7, start.Add(time.Millisecond))
		s = withUpdate(s, "b-1", 7, start.Add(2*time.Millisecond))
		assertAsks(t, s, start.Add(time.Millisecond), "10.0.0.1:7600")
	})
	t.Run("a node of another data centre is asked after a delay", func(t *testing.T) {
		s := withUpdate(stateWithThreePeers(3), "b-1", 7, start)
		assertAsks(t, s, start.Add(remoteAskDelay), "10.1.0.1:7600")
	})
	t.Run("further versions do not delay the request", func(t *testing.T) {
		s := withUpdate(stateWithThreePeers(3), "b-1", 7, start)
		s = withUpdate(s, "b-1", 9, start.Add(remoteAskDelay-time.Millisecond))
		assertAsks(t, s, start.Add(remoteAskDelay), "10.1.0.1:7600")
	})
	t.Run("a node without a configuration asks at once", func(t *testing.T) {
		assertAsks(t, stateAfterUpdate(0, 7), start, "10.0.0.1:7600")
	})
	t.Run("versions that are not greater are not requested", func(t *testing.T) {
		assertAsks(t, stateAfterUpdate(7, 7), start.Add(time.Minute))
	})
	t.Run("a version that has arrived is not requested", func(t *testing.T) {
		s, _ := Reduce(stateAfterUpdate(3, 7), blackboard.ConfigRead{Snapshot: snapshot(7), Now: start})
		assertAsks(t, s, start.Add(time.Minute))
	})
	t.Run("after a failure the next node that announces the version is asked", func(t *testing.T) {
		s := assertAsks(t, withUpdate(stateWithThreePeers(3), "a-1", 7, start), start, "10.0.0.1:7600")
		s, _ = Reduce(s, blackboard.ConfigFetchFailed{Address: "10.0.0.1:7600", Now: start})
		s = withUpdate(s, "a-0", 7, start)
		s = assertAsks(t, s, start.Add(askRetryDelay-time.Millisecond))
		assertAsks(t, s, start.Add(askRetryDelay), "10.0.0.0:7600")
	})
	// A configuration that a node of a later program sends is refused each time.
	t.Run("a version that was refused is seldom requested again, and a greater one at once", func(t *testing.T) {
		s := assertAsks(t, withUpdate(stateWithThreePeers(3), "a-1", 7, start), start, "10.0.0.1:7600")
		s, _ = Reduce(s, blackboard.ConfigFetchFailed{Address: "10.0.0.1:7600", Refused: true, Now: start})
		s = withUpdate(s, "a-0", 7, start.Add(time.Second))
		s = assertAsks(t, s, start.Add(refusedRetryDelay-time.Millisecond))
		assertAsks(t, s, start.Add(refusedRetryDelay), "10.0.0.0:7600")
		assertAsks(t, withUpdate(s, "a-0", 8, start.Add(time.Second)), start.Add(time.Second+askRetryDelay), "10.0.0.0:7600")
	})
	// A node loses power right after it has announced a version. It stays a member until
	// its silence is noticed.
	t.Run("a node that is silent keeps no other node from being asked", func(t *testing.T) {
		s := withUpdate(stateWithThreePeers(3), "a-1", 7, start)
		s = assertAsks(t, s, start, "10.0.0.1:7600")
		s = withUpdate(s, "b-1", 7, start.Add(100*time.Millisecond))
		s = assertAsks(t, s, start.Add(askNextDelay-time.Millisecond))
		s = assertAsks(t, s, start.Add(askNextDelay), "10.1.0.1:7600")
		s = assertAsks(t, s, start.Add(2*askNextDelay))
		s, _ = Reduce(s, blackboard.ConfigFetchFailed{Address: "10.0.0.1:7600", Now: start.Add(askTimeout)})
		assertAsks(t, s, start.Add(askTimeout+askRetryDelay), "10.0.0.1:7600")
	})
	t.Run("a node that announces the version after the one that is asked became silent is asked at once", func(t *testing.T) {
		s := withUpdate(stateWithThreePeers(3), "a-1", 7, start)
		s = assertAsks(t, s, start, "10.0.0.1:7600")
		s = withUpdate(s, "a-0", 7, start.Add(2*askNextDelay))
		assertAsks(t, s, start.Add(2*askNextDelay), "10.0.0.0:7600")
	})
	t.Run("the nodes that are remembered are bounded", func(t *testing.T) {
		s := stateWith(3)
		for i := range 3 * maxHolders {
			host := fmt.Sprintf("a-%d", i)
			s.Members.ByHost[host] = blackboard.Member{Host: host, Address: host, DataCentre: "a", Status: blackboard.MemberAlive}
			s = withUpdate(s, host, 7, start)
		}
		assert.Equal(t, len(s.Config.PeerVersion.Holders), maxHolders)
	})
	// Nodes that announced a version before they stood still must not keep out those that
	// announce it afterwards.
	t.Run("a node that failed gives way to one that announces the version", func(t *testing.T) {
		s := stateWith(3)
		for i := range maxHolders + 1 {
			host := fmt.Sprintf("a-%d", i)
			s.Members.ByHost[host] = blackboard.Member{Host: host, Address: host, DataCentre: "a", Status: blackboard.MemberAlive}
		}
		for i := range maxHolders {
			s = withUpdate(s, fmt.Sprintf("a-%d", i), 7, start)
		}
		s = assertAsks(t, s, start.Add(watcherAskDelay), "a-0")
		s, _ = Reduce(s, blackboard.ConfigFetchFailed{Address: "a-0", Now: start})
		s = withUpdate(s, fmt.Sprintf("a-%d", maxHolders), 7, start)
		assert.Equal(t, len(s.Config.PeerVersion.Holders), maxHolders)
		assert.Equal(t, s.Config.PeerVersion.Holders[maxHolders-1].Address, fmt.Sprintf("a-%d", maxHolders))
	})
}

// stateWithThreePeers returns the state of a node with two other members in its
// own data centre and one in another.
func stateWithThreePeers(version uint64) blackboard.State {
	s := stateWith(version)
	s.Members.ByHost["a-0"] = blackboard.Member{Host: "a-0", Address: "10.0.0.0:7600", DataCentre: "a", Status: blackboard.MemberAlive}
	s.Members.ByHost["b-1"] = blackboard.Member{Host: "b-1", Address: "10.1.0.1:7600", DataCentre: "b", Status: blackboard.MemberAlive}
	return s
}

// decodeDigit decodes a value of one digit as a snapshot of that version. It
// rejects any other value.
func decodeDigit(value []byte) (*snapshotter.Snapshot, error) {
	if len(value) != 1 {
		return nil, &snapshotter.MalformedError{Subject: "value"}
	}
	return snapshot(uint64(value[0] - '0')), nil
}

// TestFollow checks what is read from a store that changes, holds an invalid
// value, becomes unreachable and drops its history.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewFake()
		client := store.Client()
		put := func(value string, revision uint64) {
			_, err := client.Put(t.Context(), "config/main", []byte(value), revision)
			assert.NilError(t, err)
		}
		put("3", 0)
		s := stateWith(0)
		var versions []uint64
		var lostReports []bool
		cfg := Config{Platform: client, Kind: "config", Decode: decodeDigit, State: func() *blackboard.State { return &s }, Now: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			cfg.followPlatform(ctx, func(m blackboard.Msg) {
				switch m := m.(type) {
				case blackboard.ConfigRead:
					versions = append(versions, m.Snapshot.Version)
				case blackboard.PlatformReachabilityChanged:
					lostReports = append(lostReports, m.Lost)
				}
			})
		})
		step := func() {
			time.Sleep(3 * time.Second)
			synctest.Wait()
		}
		step()
		put("5", 1)
		step()
		put("not valid", 2)
		step()
		store.SetFaults(storer.Faults{Outage: true})
		step()
		store.SetFaults(storer.Faults{})
		put("7", 3)
		store.Compact()
		step()
		cancel()
		group.Wait()
		assert.DeepEqual(t, versions, []uint64{3, 5, 7})
		assert.DeepEqual(t, lostReports, []bool{true, false})
	})
}
