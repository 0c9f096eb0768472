package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/pkg/storer"
)

// sweepEvery is the time between two readings of all nodes, and so the resolution.
const sweepEvery = 50 * time.Millisecond

// reach returns for each node the seconds from begun until it was ready with the version.
func (f *fleet) reach(ctx context.Context, version uint64, begun time.Time) ([]float64, error) {
	left := f.nodes
	var reached []float64
	for len(left) > 0 {
		next := time.Now().Add(sweepEvery)
		done := f.sweep(ctx, left, version)
		var waiting []node
		for _, n := range left {
			if at, ok := done[n.host]; ok {
				reached = append(reached, at.Sub(begun).Seconds())
				continue
			}
			waiting = append(waiting, n)
		}
		left = waiting
		if len(left) == 0 {
			break
		}
		if err := pause(ctx, time.Until(next)); err != nil {
			return reached, err
		}
	}
	return reached, nil
}

// sweep returns when each node that runs the version said so.
func (f *fleet) sweep(ctx context.Context, nodes []node, version uint64) map[string]time.Time {
	var mu sync.Mutex
	done := map[string]time.Time{}
	var group errgroup.Group
	group.SetLimit(readersAtOnce)
	for _, n := range nodes {
		group.Go(func() error {
			if s, ok := f.status(ctx, n); ok && s.Ready && s.Version >= version {
				mu.Lock()
				defer mu.Unlock()
				done[n.host] = time.Now()
			}
			return nil
		})
	}
	_ = group.Wait()
	return done
}

// window reports what the nodes and the platform used while work ran.
func (f *fleet) window(ctx context.Context, name string, work func() error) error {
	before, countsBefore, err := f.read(ctx)
	if err != nil {
		return err
	}
	if err = work(); err != nil {
		return err
	}
	after, countsAfter, err := f.read(ctx)
	if err != nil {
		return err
	}
	relays, err := f.relays(ctx)
	if err != nil {
		return err
	}
	var ofRelays, ofOthers usage
	for i, n := range f.nodes {
		u := &ofOthers
		if relays[n.host] {
			u = &ofRelays
		}
		u.add(before[i], after[i])
	}
	seconds := after[0].at.Sub(before[0].at).Seconds()
	f.report(name, fmt.Sprintf("window=%.0fs node: %s | relay: %s | platform: %s",
		seconds, ofOthers.String(), ofRelays.String(), calls(countsBefore, countsAfter, seconds)))
	return nil
}

func (f *fleet) read(ctx context.Context) ([]sample, storer.Counts, error) {
	counts, err := f.counts(ctx)
	if err != nil {
		return nil, counts, err
	}
	s, err := f.samples(ctx)
	return s, counts, err
}

func calls(before, after storer.Counts, seconds float64) string {
	return fmt.Sprintf("reads/s=%.2f writes/s=%.2f watches/s=%.2f", float64(after.Reads-before.Reads)/seconds,
		float64(after.Writes-before.Writes)/seconds, float64(after.Watches-before.Watches)/seconds)
}

// usage collects figures of some nodes, one value a node.
type usage struct {
	cpuPercent, rssMB, sent, received, packets []float64
}

func (u *usage) add(before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	u.cpuPercent = append(u.cpuPercent, 100*(after.cpuSeconds-before.cpuSeconds)/seconds)
	u.rssMB = append(u.rssMB, after.rssBytes/1e6)
	u.sent = append(u.sent, (after.sentBytes()-before.sentBytes())/seconds)
	u.received = append(u.received, (after.receivedBytes()-before.receivedBytes())/seconds)
	u.packets = append(u.packets, (after.packetSent+udpHeaderBytes*after.packetsSent-before.packetSent-udpHeaderBytes*before.packetsSent)/seconds)
}

// String gives the mean and, after a slash, the greatest.
func (u *usage) String() string {
	return fmt.Sprintf("n=%d cpu%%=%.2f/%.2f rss-MB=%.1f/%.1f sent-B/s=%.0f/%.0f of-it-udp=%.0f received-B/s=%.0f/%.0f",
		len(u.rssMB), mean(u.cpuPercent), quantile(u.cpuPercent, 1), mean(u.rssMB), quantile(u.rssMB, 1),
		mean(u.sent), quantile(u.sent, 1), mean(u.packets), mean(u.received), quantile(u.received, 1))
}

func times(seconds []float64) string {
	return fmt.Sprintf("p50=%.2fs p99=%.2fs max=%.2fs", quantile(seconds, 0.5), quantile(seconds, 0.99), quantile(seconds, 1))
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// quantile returns the smallest value that at least the share q of all do not pass.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

func (f *fleet) report(name, figures string) {
	load, _ := os.ReadFile("/proc/loadavg")
	one, _, _ := strings.Cut(string(load), " ")
	fmt.Printf("N=%d %s load=%s %s\n", len(f.nodes), name, one, figures)
}
