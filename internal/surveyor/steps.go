package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

const (
	// changeEvery is the period of 38,000 changes a day.
	changeEvery       = 24 * time.Hour / 38_000
	servicesPerTicket = 900
	// settleTime is waited before a window without changes.
	settleTime = 40 * time.Second
	// timedChanges is how many changes are timed on every node, and burstChanges how many are made at once.
	timedChanges = 8
	burstChanges = 10
)

// survey measures a fleet that has just started.
func (f *fleet) survey(ctx context.Context, fl flags) error {
	if err := f.configure(ctx, fl.services); err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	window := time.Duration(fl.seconds) * time.Second
	if err := f.window(ctx, "quiet", func() error { return pause(ctx, window) }); err != nil {
		return err
	}
	if err := f.window(ctx, "busy", func() error { return f.changes(ctx, window) }); err != nil {
		return err
	}
	if err := f.converge(ctx); err != nil {
		return err
	}
	return f.window(ctx, "burst", func() error { return f.burst(ctx) })
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// configure accepts the services in several tickets, and waits until every node runs them.
func (f *fleet) configure(ctx context.Context, services int) error {
	for from := 0; from < services; from += servicesPerTicket {
		var c snapshotter.Change
		for i := from; i < min(from+servicesPerTicket, services); i++ {
			addService(&c, i, 0)
		}
		if err := f.accept(ctx, c); err != nil {
			return err
		}
	}
	begun := time.Now()
	reached, err := f.reach(ctx, uint64((services+servicesPerTicket-1)/servicesPerTicket), begun)
	if err != nil {
		return err
	}
	f.report("configured", fmt.Sprintf("services=%d all-run-after=%.1fs", services, quantile(reached, 1)))
	return nil
}

func addService(c *snapshotter.Change, i, generation int) {
	name := fmt.Sprintf("service-%d", i)
	c.Services = append(c.Services, snapshotter.Service{
		Name: name, Firm: fmt.Sprintf("firm-%d", i%4), Slots: 10, Connections: 120, Queue: 20 + generation%100,
		BulkPercent: 50, UrgentSlots: 2, RetryPercent: 10,
	})
	if generation > 0 {
		return
	}
	for _, kind := range []string{"read", "write"} {
		c.Routes = append(c.Routes, snapshotter.Route{
			Name: name + "-" + kind, Prefix: "/" + name + "/" + kind + "/", Service: name,
			Class: snapshotter.ClassShort, Idempotent: kind == "read", TimeoutMs: 5000,
		})
	}
}

func (f *fleet) accept(ctx context.Context, c snapshotter.Change) error {
	t, err := f.tickets.File(ctx, ticketer.Draft{Author: "ana", Firm: "firm-0", Reason: "measurement", Commit: "0", Change: c})
	if err != nil {
		return err
	}
	_, err = f.tickets.Approve(ctx, t.Number, "ion")
	return err
}

// change accepts a ticket for one service and returns the version that the head then has.
func (f *fleet) change(ctx context.Context, generation int) (uint64, error) {
	var c snapshotter.Change
	addService(&c, 0, generation)
	if err := f.accept(ctx, c); err != nil {
		return 0, err
	}
	head, _, err := ticketer.LoadHead(ctx, f.platform)
	return head.Version, err
}

// changes accepts a ticket each changeEvery.
func (f *fleet) changes(ctx context.Context, window time.Duration) error {
	end := time.Now().Add(window)
	for i, next := 1, time.Now(); next.Before(end); i, next = i+1, next.Add(changeEvery) {
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
		if _, err := f.change(ctx, i); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(end))
}

// converge times changes, at least changeEvery apart, until each node runs them.
func (f *fleet) converge(ctx context.Context) error {
	var all []float64
	for i := range timedChanges {
		if err := pause(ctx, changeEvery); err != nil {
			return err
		}
		version, err := f.change(ctx, 1000+i)
		if err != nil {
			return err
		}
		reached, err := f.reach(ctx, version, time.Now())
		if err != nil {
			return err
		}
		all = append(all, reached...)
	}
	f.report("convergence", fmt.Sprintf("changes=%d %s", timedChanges, times(all)))
	return nil
}

// burst accepts tickets as quickly as the platform takes them and waits for the last.
func (f *fleet) burst(ctx context.Context) error {
	begun := time.Now()
	var version uint64
	for i := range burstChanges {
		var err error
		if version, err = f.change(ctx, 2000+i); err != nil {
			return err
		}
	}
	accepted := time.Now()
	reached, err := f.reach(ctx, version, accepted)
	if err != nil {
		return err
	}
	f.report("burst", fmt.Sprintf("changes=%d in=%.2fs last: %s", burstChanges, accepted.Sub(begun).Seconds(), times(reached)))
	return nil
}

// restart waits until every node is ready after all were restarted.
func (f *fleet) restart(ctx context.Context, fl flags) error {
	var before storer.Counts
	data, err := os.ReadFile(fl.before)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &before); err != nil {
		return err
	}
	head, _, err := ticketer.LoadHead(ctx, f.platform)
	if err != nil {
		return err
	}
	reached, err := f.reach(ctx, head.Version, time.UnixMilli(fl.begun))
	if err != nil {
		return err
	}
	after, err := f.counts(ctx)
	if err != nil {
		return err
	}
	f.report("restart", fmt.Sprintf("ready: %s reads=%d writes=%d read-MB=%.1f", times(reached),
		after.Reads-before.Reads, after.Writes-before.Writes, float64(after.ReadBytes-before.ReadBytes)/1e6))
	return nil
}
