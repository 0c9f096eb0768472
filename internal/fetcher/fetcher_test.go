package fetcher

import (
	"context"
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
	assert.Equal(t, version(s.Config.Running), want)
}

func TestNeverBack(t *testing.T) {
	for name, c := range map[string]struct{ running, read, want uint64 }{
		"the first version": {0, 3, 3},
		"a later one":       {3, 7, 7},
		"the same again":    {7, 7, 7},
		"an earlier one":    {7, 3, 7},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := Reduce(stateWith(c.running), blackboard.ConfigRead{Snapshot: snapshot(c.read), Now: start})
			assertRunning(t, s, c.want)
		})
	}
}

func TestHearing(t *testing.T) {
	hears := func(s blackboard.State, host string, version uint64, at time.Time) blackboard.State {
		s, _ = Reduce(s, blackboard.NodeUpdated{Host: host, Version: version, Now: at})
		return s
	}
	heard := func(running, version uint64) blackboard.State {
		return hears(stateWith(running), "a-1", version, start)
	}
	asks := func(t *testing.T, s blackboard.State, at time.Time, want ...string) blackboard.State {
		t.Helper()
		s, effects := Reduce(s, blackboard.Tick{Now: at})
		var addresses []string
		for _, e := range effects {
			addresses = append(addresses, e.(ask).address)
		}
		assert.DeepEqual(t, addresses, want)
		return s
	}
	t.Run("a node that watches asks once the platform had its time", func(t *testing.T) {
		s := heard(3, 7)
		s = asks(t, s, start.Add(askAfter-time.Millisecond))
		s = asks(t, s, start.Add(askAfter), "10.0.0.1:7600")
		asks(t, s, start.Add(askAfter+blackboard.TickInterval))
	})
	t.Run("unless it has lost the platform", func(t *testing.T) {
		s, _ := Reduce(stateWith(3), blackboard.PlatformReachabilityChanged{Lost: true, Now: start})
		asks(t, hears(s, "a-1", 7, start), start, "10.0.0.1:7600")
	})
	t.Run("a node that does not watch asks at once", func(t *testing.T) {
		asks(t, hears(amongThree(3), "a-1", 7, start), start, "10.0.0.1:7600")
	})
	t.Run("a node of its own data centre before one of another", func(t *testing.T) {
		s := hears(amongThree(3), "b-1", 7, start)
		s = asks(t, s, start)
		s = hears(s, "a-1", 7, start.Add(time.Millisecond))
		s = hears(s, "b-1", 7, start.Add(2*time.Millisecond))
		asks(t, s, start.Add(time.Millisecond), "10.0.0.1:7600")
	})
	t.Run("and one of another where the own one does not tell", func(t *testing.T) {
		s := hears(amongThree(3), "b-1", 7, start)
		asks(t, s, start.Add(askFarAfter), "10.1.0.1:7600")
	})
	t.Run("further versions do not put the question off", func(t *testing.T) {
		s := hears(amongThree(3), "b-1", 7, start)
		s = hears(s, "b-1", 9, start.Add(askFarAfter-time.Millisecond))
		asks(t, s, start.Add(askFarAfter), "10.1.0.1:7600")
	})
	t.Run("a node without a configuration asks at once", func(t *testing.T) {
		asks(t, heard(0, 7), start, "10.0.0.1:7600")
	})
	t.Run("versions that are not greater are not asked for", func(t *testing.T) {
		asks(t, heard(7, 7), start.Add(time.Minute))
	})
	t.Run("a version that has come is not asked for", func(t *testing.T) {
		s, _ := Reduce(heard(3, 7), blackboard.ConfigRead{Snapshot: snapshot(7), Now: start})
		asks(t, s, start.Add(time.Minute))
	})
	t.Run("after a failure it is asked for again, of whoever tells of it next", func(t *testing.T) {
		s := asks(t, hears(amongThree(3), "a-1", 7, start), start, "10.0.0.1:7600")
		s, _ = Reduce(s, blackboard.ConfigFetchFailed{Now: start})
		s = hears(s, "a-0", 7, start)
		s = asks(t, s, start.Add(askAgainAfter-time.Millisecond))
		asks(t, s, start.Add(askAgainAfter), "10.0.0.0:7600")
	})
}

// amongThree is a node behind two others of its data centre, with one in another.
func amongThree(version uint64) blackboard.State {
	s := stateWith(version)
	s.Members.ByHost["a-0"] = blackboard.Member{Host: "a-0", Address: "10.0.0.0:7600", DataCentre: "a", Status: blackboard.MemberAlive}
	s.Members.ByHost["b-1"] = blackboard.Member{Host: "b-1", Address: "10.1.0.1:7600", DataCentre: "b", Status: blackboard.MemberAlive}
	return s
}

// decodeDigit makes a snapshot of a value of one digit; other values are not valid.
func decodeDigit(value []byte) (*snapshotter.Snapshot, error) {
	if len(value) != 1 {
		return nil, &snapshotter.MalformedError{Subject: "value"}
	}
	return snapshot(uint64(value[0] - '0')), nil
}

// TestFollow plays a store that changes, drops its history and goes away.
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
		var got []uint64
		var seen []bool
		cfg := Config{Platform: client, Kind: "config", Decode: decodeDigit, State: func() *blackboard.State { return &s }, Now: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			cfg.follow(ctx, func(m blackboard.Msg) {
				switch m := m.(type) {
				case blackboard.ConfigRead:
					got = append(got, m.Snapshot.Version)
				case blackboard.PlatformReachabilityChanged:
					seen = append(seen, m.Lost)
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
		store.Set(storer.Faults{Outage: true})
		step()
		store.Set(storer.Faults{})
		put("7", 3)
		store.Compact()
		step()
		cancel()
		group.Wait()
		assert.DeepEqual(t, got, []uint64{3, 5, 7})
		assert.DeepEqual(t, seen, []bool{true, false})
	})
}
