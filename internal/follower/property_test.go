package follower

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/storer"
)

// action is one step of a random schedule.
type action string

const (
	actPublish      action = "publish"
	actKill         action = "kill"
	actKillMany     action = "kill-many"
	actStart        action = "start"
	actPause        action = "pause"
	actWake         action = "wake"
	actOutage       action = "outage"
	actOutageEnd    action = "outage-end"
	actAnswersLost  action = "answers-lost"
	actPlatformCut  action = "platform-cut"
	actOnePlatform  action = "platform-cut-but-one"
	actIsolate      action = "isolate"
	actSplitRacks   action = "split-racks"
	actLoseUpdates  action = "lose-updates"
	actLoseSome     action = "lose-some"
	actLinksRestore action = "links-restore"
	actHoard        action = "hoard"
)

var actions = []action{
	actPublish, actPublish, actKill, actKillMany, actStart, actStart, actPause, actWake, actOutage, actOutageEnd,
	actAnswersLost, actPlatformCut, actOnePlatform, actIsolate, actSplitRacks, actLoseUpdates, actLoseSome, actLinksRestore, actHoard,
}

type scheduled struct {
	Action action
	Host   int
	Wait   time.Duration
}

func drawSchedule(rt *rapid.T) []scheduled {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) scheduled {
		return scheduled{
			Action: rapid.SampledFrom(actions).Draw(rt, "action"),
			Host:   rapid.IntRange(0, propertyHosts-1).Draw(rt, "host"),
			Wait:   time.Duration(rapid.IntRange(0, 8000).Draw(rt, "wait-ms")) * time.Millisecond,
		}
	}), 5, 25).Draw(rt, "schedule")
}

const (
	propertyHosts = 9
	propertyRacks = 4
	// healLimit is how long after the last fault every node runs the head: a
	// lease has to lapse and the longest backoff to end before the version goes out.
	healLimit = 60 * time.Second
)

func (fl *fleet) act(s scheduled) {
	host := fmt.Sprintf("host-%d", s.Host)
	switch s.Action {
	case actPublish:
		if !fl.fake.Faults().Outage {
			fl.publish()
		}
	case actKill:
		fl.kill(host)
	case actKillMany:
		for i := range 1 + s.Host {
			fl.kill(fmt.Sprintf("host-%d", i))
		}
	case actStart:
		fl.restart(host)
	case actPause:
		fl.pause(host, true)
	case actWake:
		fl.pause(host, false)
	case actOutage:
		fl.fake.Set(storer.Faults{Outage: true})
	case actOutageEnd:
		fl.fake.Set(storer.Faults{})
		fl.cutPlatform(false)
	case actAnswersLost:
		fl.fake.Set(storer.Faults{LoseAnswers: 3, DelayMs: 700})
	case actPlatformCut:
		fl.cutPlatform(true)
	case actOnePlatform:
		fl.cutPlatformBut(host)
	case actHoard:
		fl.hoard(s.Host % 4)
	default:
		fl.actOnLinks(s, host)
	}
}

func (fl *fleet) actOnLinks(s scheduled, host string) {
	switch s.Action {
	case actIsolate:
		fl.loseFrames(func(from, to string, _ *wirepb.FollowFrame) bool { return from == host || to == host })
	case actSplitRacks:
		fl.loseFrames(func(from, to string, _ *wirepb.FollowFrame) bool {
			return (fl.nodes[from].rack < "rack-2") != (fl.nodes[to].rack < "rack-2")
		})
	case actLoseUpdates:
		fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool { return isUpdate(frame) })
	case actLoseSome:
		fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool { return frame != nil && fl.rng.IntN(3) == 0 })
	case actLinksRestore:
		fl.loseFrames(nil)
	}
}

// hoard puts a version in force on one relay only, and restarts it with the
// platform down while some of the other hosts are dead.
func (fl *fleet) hoard(dead int) {
	relays := fl.relays()
	if len(relays) == 0 || fl.fake.Faults().Outage {
		return
	}
	fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool { return isUpdate(frame) })
	fl.cutPlatformBut(relays[0])
	fl.publish()
	time.Sleep(3 * time.Second)
	fl.cutPlatform(true)
	for i := range dead {
		fl.kill(fmt.Sprintf("host-%d", i))
	}
	fl.restart(relays[0])
	fl.loseFrames(nil)
	time.Sleep(8 * time.Second)
}

// restart starts a host, after ending its process if it has one.
func (fl *fleet) restart(host string) {
	fl.mu.Lock()
	up := fl.nodes[host].up
	fl.mu.Unlock()
	if up {
		fl.kill(host)
	}
	fl.start(host)
}

func (fl *fleet) heal() {
	fl.fake.Set(storer.Faults{})
	fl.cutPlatform(false)
	fl.loseFrames(nil)
	for host, n := range fl.nodes {
		fl.pause(host, false)
		if !n.up {
			fl.start(host)
		}
	}
}

// TestSchedules checks the promises over random schedules of faults: no host
// runs a version older than one it has run, every version in force is one that
// was accepted, and every node reaches the head once the faults have ended.
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSchedule(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations, behind []string
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, propertyHosts, propertyRacks, seed)
			fl.publish()
			fl.startAll()
			time.Sleep(inForceLimit)
			for _, s := range schedule {
				fl.act(s)
				time.Sleep(s.Wait)
			}
			fl.heal()
			time.Sleep(healLimit)
			synctest.Wait()
			for host := range fl.nodes {
				if v := fl.running(host); v != fl.head.Version {
					behind = append(behind, fmt.Sprintf("%s runs %d, not %d", host, v, fl.head.Version))
				}
			}
			fl.mu.Lock()
			violations = fl.violations
			fl.mu.Unlock()
		})
		if len(violations)+len(behind) > 0 {
			rt.Fatalf("violations %v, behind %v", violations, behind)
		}
	})
}
