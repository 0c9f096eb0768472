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

// action is the kind of one step of a random schedule.
type action string

const (
	actPublish           action = "publish"
	actKill              action = "kill"
	actKillMany          action = "kill-many"
	actStart             action = "start"
	actPause             action = "pause"
	actResume            action = "resume"
	actOutage            action = "outage"
	actOutageEnd         action = "outage-end"
	actAnswersLost       action = "answers-lost"
	actPlatformCut       action = "platform-cut"
	actOnePlatform       action = "platform-cut-but-one"
	actIsolate           action = "isolate"
	actSplitRacks        action = "split-racks"
	actLoseUpdates       action = "lose-updates"
	actLoseSome          action = "lose-some"
	actLinksRestore      action = "links-restore"
	actRestartOnlyHolder action = "restart-only-holder"
)

var actions = []action{
	actPublish, actPublish, actKill, actKillMany, actStart, actStart, actPause, actResume, actOutage, actOutageEnd,
	actAnswersLost, actPlatformCut, actOnePlatform, actIsolate, actSplitRacks, actLoseUpdates, actLoseSome, actLinksRestore, actRestartOnlyHolder,
}

type scheduledAction struct {
	Action action
	Host   int
	Wait   time.Duration
}

func drawSchedule(rt *rapid.T) []scheduledAction {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) scheduledAction {
		return scheduledAction{
			Action: rapid.SampledFrom(actions).Draw(rt, "action"),
			Host:   rapid.IntRange(0, propertyHosts-1).Draw(rt, "host"),
			Wait:   time.Duration(rapid.IntRange(0, 8000).Draw(rt, "wait-ms")) * time.Millisecond,
		}
	}), 5, 25).Draw(rt, "schedule")
}

const (
	propertyHosts = 9
	propertyRacks = 4
	// convergenceLimit is the maximum time from the end of the last fault until
	// every node runs the head. A lease has to expire and the longest backoff to
	// end before the version is distributed.
	convergenceLimit = 60 * time.Second
)

func (fl *fleet) perform(s scheduledAction) {
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
	case actResume:
		fl.pause(host, false)
	case actOutage:
		fl.fake.SetFaults(storer.Faults{Outage: true})
	case actOutageEnd:
		fl.fake.SetFaults(storer.Faults{})
		fl.cutPlatform(false)
	case actAnswersLost:
		fl.fake.SetFaults(storer.Faults{LoseAnswers: 3, DelayMs: 700})
	case actPlatformCut:
		fl.cutPlatform(true)
	case actOnePlatform:
		fl.cutPlatformBut(host)
	case actRestartOnlyHolder:
		fl.restartOnlyHolder(s.Host % 4)
	default:
		fl.performOnLinks(s, host)
	}
}

func (fl *fleet) performOnLinks(s scheduledAction, host string) {
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

// restartOnlyHolder has only one relay apply a version, and restarts that relay
// while the platform is unreachable and some of the other hosts are dead.
func (fl *fleet) restartOnlyHolder(deadHosts int) {
	relays := fl.relays()
	if len(relays) == 0 || fl.fake.Faults().Outage {
		return
	}
	fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool { return isUpdate(frame) })
	fl.cutPlatformBut(relays[0])
	fl.publish()
	time.Sleep(3 * time.Second)
	fl.cutPlatform(true)
	for i := range deadHosts {
		fl.kill(fmt.Sprintf("host-%d", i))
	}
	fl.restart(relays[0])
	fl.loseFrames(nil)
	time.Sleep(8 * time.Second)
}

// restart ends the process of a host if it has one, and starts another.
func (fl *fleet) restart(host string) {
	fl.mu.Lock()
	up := fl.nodes[host].up
	fl.mu.Unlock()
	if up {
		fl.kill(host)
	}
	fl.start(host)
}

func (fl *fleet) clearFaults() {
	fl.fake.SetFaults(storer.Faults{})
	fl.cutPlatform(false)
	fl.loseFrames(nil)
	for host, n := range fl.nodes {
		fl.pause(host, false)
		if !n.up {
			fl.start(host)
		}
	}
}

// TestSchedules checks three guarantees with random schedules of faults: no
// host runs a version older than one it has run, every version that runs was
// accepted, and every node runs the head once the faults have ended.
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
			time.Sleep(maxApplyDelay)
			for _, s := range schedule {
				fl.perform(s)
				time.Sleep(s.Wait)
			}
			fl.clearFaults()
			time.Sleep(convergenceLimit)
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
