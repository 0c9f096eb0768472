package apportioner

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"
	"unsafe"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/pkg/snapshotter"
)

// nodesPerKeeper is how many nodes of a data centre one keeper takes reports of. A report
// and its answer cost a keeper about 0.1 ms, and a node sends some five a second.
const nodesPerKeeper = 32

// checkedState is what the keepers were chosen by.
type checkedState struct {
	running    *snapshotter.Snapshot
	members    unsafe.Pointer
	phase      blackboard.LifecyclePhase
	hasLimits  bool
	recomputed time.Time
}

// check chooses the keepers anew if something has changed, and starts and ends exchanges.
func (a *Apportioner) check(ctx context.Context, group *sync.WaitGroup, now time.Time, seen *checkedState) {
	s := a.cfg.State()
	if s.Config.Running != seen.running {
		seen.running, seen.hasLimits = s.Config.Running, hasLimits(s.Config.Running)
	}
	members := reflect.ValueOf(s.Members.ByHost).UnsafePointer()
	wasLost := a.expireLost(now)
	if members == seen.members && s.Lifecycle.Phase == seen.phase && !wasLost && now.Sub(seen.recomputed) < time.Second {
		return
	}
	seen.members, seen.phase, seen.recomputed = members, s.Lifecycle.Phase, now
	nodes := a.cfg.CountNodes(s)
	a.node.SetNodes(nodes)
	a.keeper.SetNodes(nodes)
	var chosen []blackboard.Member
	if seen.hasLimits {
		chosen = a.chooseKeepers(s)
	}
	a.exchangeWith(ctx, group, now, chosen)
}

// chooseKeepers returns the keepers of this data centre: the first of the live nodes in an
// order that all agree on, without those that did not answer lately.
func (a *Apportioner) chooseKeepers(s *blackboard.State) []blackboard.Member {
	order := keeperOrder(s, s.Self.DataCentre)
	count := (len(order) + nodesPerKeeper - 1) / nodesPerKeeper
	a.mu.Lock()
	defer a.mu.Unlock()
	order = slices.DeleteFunc(order, func(m blackboard.Member) bool {
		_, isLost := a.lostUntil[m.Host]
		return isLost
	})
	return order[:min(count, len(order))]
}

// keeperOrder returns the live nodes of a data centre, this one included, in the order in
// which they become keepers. A node that stops is none.
func keeperOrder(s *blackboard.State, dataCentre string) []blackboard.Member {
	members := s.Members.ByHost
	if dataCentre == s.Self.DataCentre && s.Lifecycle.Phase != blackboard.LifecycleDraining {
		members = make(map[string]blackboard.Member, len(s.Members.ByHost)+1)
		for host, m := range s.Members.ByHost {
			if m.DataCentre == dataCentre {
				members[host] = m
			}
		}
		members[s.Self.Host] = blackboard.Member{
			Host: s.Self.Host, DataCentre: dataCentre, LinkMbit: s.Self.LinkMbit, Status: blackboard.MemberAlive,
		}
	}
	return ranker.ByLink(members, dataCentre)
}

// keeperOf returns the host of the keeper of a firm; empty when there is none.
func (a *Apportioner) keeperOf(firm string) string {
	return ranker.Rendezvous(firm, *a.keepers.Load())
}

// exchangeWith ends the exchanges with those that are no keepers any more and starts the missing ones.
func (a *Apportioner) exchangeWith(ctx context.Context, group *sync.WaitGroup, now time.Time, chosen []blackboard.Member) {
	hosts := make([]string, len(chosen))
	for i, m := range chosen {
		hosts[i] = m.Host
	}
	if slices.Equal(hosts, *a.keepers.Load()) {
		return
	}
	before := a.keepers.Swap(&hosts)
	a.node.Reassign(now)
	a.cfg.Log.Write(logger.LimitKeepersChanged, logger.Fields{Count: len(hosts), Peer: join(hosts), Reason: "before: " + join(*before)})
	a.mu.Lock()
	defer a.mu.Unlock()
	for host, e := range a.exchanges {
		if !slices.Contains(hosts, host) {
			e.cancel()
			delete(a.exchanges, host)
			a.node.Drop(host)
		}
	}
	for _, m := range chosen {
		if a.exchanges[m.Host] != nil {
			continue
		}
		exchangeCtx, cancel := context.WithCancel(ctx)
		e := &exchange{a: a, host: m.Host, address: m.Address, cancel: cancel, wake: make(chan struct{}, 1), interval: rationer.ReportInterval(len(hosts))}
		a.exchanges[m.Host] = e
		group.Go(func() { e.run(exchangeCtx) })
	}
}

// lose passes a keeper over for a while.
func (a *Apportioner) lose(host string, now time.Time) {
	a.mu.Lock()
	a.lostUntil[host] = now.Add(lostPeriod)
	a.mu.Unlock()
	signal(a.recheck)
}

// expireLost reports whether a keeper was lost or counts again since the last call.
func (a *Apportioner) expireLost(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := false
	for host, until := range a.lostUntil {
		if !now.Before(until) {
			delete(a.lostUntil, host)
			changed = true
		}
	}
	return changed || slices.ContainsFunc(*a.keepers.Load(), func(host string) bool {
		_, isLost := a.lostUntil[host]
		return isLost
	})
}

// reportSoon lets the keeper of a firm hear of it at once.
func (a *Apportioner) reportSoon(firm string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.exchanges[a.keeperOf(firm)]; e != nil {
		signal(e.wake)
	}
}

// signal wakes the reader of a channel with room for one token.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
