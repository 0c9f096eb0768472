package composer

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// leastMemoryLimit leaves room for the program itself in the 64 MB that a
	// node may spend on control.
	leastMemoryLimit = 48 << 20
	// memoryLimitEvery is how often the limit follows the live heap.
	memoryLimitEvery = 1 * time.Second
	// The heap may always grow by a half over what is live, so that requests
	// which need much memory do not make the collector run all the time.
	heapShareNumerator, heapShareDenominator = 3, 2
	// growthPercent is how far the heap grows over what is live before it is
	// collected, where the limit allows it: seldom, for the tail of latency.
	growthPercent = 400
)

// memoryLimit returns the soft limit, in bytes, for a live heap and what the runtime holds besides the heap.
func memoryLimit(live, other uint64) int64 {
	return int64(max(leastMemoryLimit, other+live*heapShareNumerator/heapShareDenominator))
}

// boundMemory collects garbage before it fills the memory for control. It runs until ctx ends.
func boundMemory(ctx context.Context) {
	debug.SetGCPercent(growthPercent)
	ticker := time.NewTicker(memoryLimitEvery)
	defer ticker.Stop()
	for {
		debug.SetMemoryLimit(memoryLimit(readMemory()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readMemory returns the bytes of the live heap and of what the runtime holds besides the heap.
func readMemory() (live, other uint64) {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/metadata/other:bytes"},
		{Name: "/memory/classes/other:bytes"},
	}
	metrics.Read(samples)
	for _, s := range samples[1:] {
		other += s.Value.Uint64()
	}
	return samples[0].Value.Uint64(), other
}
