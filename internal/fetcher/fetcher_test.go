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
	s.Config.Following = true
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
	heard := func(running, version uint64) blackboard.State {
		s, _ := Reduce(stateWith(running), blackboard.NodeUpdated{Host: "a-1", Version: version, Now: start})
		return s
	}
	asks := func(t *testing.T, s blackboard.State, at time.Time, want int) blackboard.State {
		t.Helper()
		s, effects := Reduce(s, blackboard.Tick{Now: at})
		assert.Equal(t, len(effects), want)
		return s
	}
	t.Run("a greater version is asked for once the platform had its time", func(t *testing.T) {
		s := heard(3, 7)
		s = asks(t, s, start.Add(askAfter-time.Millisecond), 0)
		s = asks(t, s, start.Add(askAfter), 1)
		asks(t, s, start.Add(askAfter+blackboard.TickEvery), 0)
	})
	t.Run("a node without a configuration asks at once", func(t *testing.T) { asks(t, heard(0, 7), start, 1) })
	t.Run("versions that are not greater are not asked for", func(t *testing.T) {
		asks(t, heard(7, 7), start.Add(time.Minute), 0)
	})
	t.Run("a version that has come is not asked for", func(t *testing.T) {
		s, _ := Reduce(heard(3, 7), blackboard.ConfigRead{Snapshot: snapshot(7), Now: start})
		asks(t, s, start.Add(time.Minute), 0)
	})
	t.Run("an answer without a version ends the question, and the next update asks again", func(t *testing.T) {
		s, _ := Reduce(heard(3, 7), blackboard.ConfigAskEnded{Now: start})
		asks(t, s, start.Add(time.Minute), 0)
		s, _ = Reduce(s, blackboard.NodeUpdated{Host: "a-1", Version: 7, Now: start})
		asks(t, s, start.Add(time.Minute), 1)
	})
}

func TestWait(t *testing.T) {
	s := stateWith(3)
	cfg := Config{State: func() *blackboard.State { return &s }}
	assert.Equal(t, cfg.wait(), shortWait, "the second node of a data centre asks again and again")
	s.Members.ByHost["a-0"] = blackboard.Member{Host: "a-0", DataCentre: "a", Status: blackboard.MemberAlive}
	assert.Equal(t, cfg.wait(), longWait, "the third does not")
	s.Members.ByHost["a-0"] = blackboard.Member{Host: "a-0", DataCentre: "a", Status: blackboard.MemberDead}
	assert.Equal(t, cfg.wait(), shortWait, "unless one of the others is gone")
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
		cfg := Config{Platform: client, Kind: "config", Decode: decodeDigit, State: func() *blackboard.State { return &s }, Now: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			cfg.follow(ctx, func(m blackboard.Msg) { got = append(got, m.(blackboard.ConfigRead).Snapshot.Version) })
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
	})
}
