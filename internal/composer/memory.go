package composer

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// minMemoryLimitBytes leaves room for the program itself within the 64 MB that a
	// node may use besides the memory for requests.
	minMemoryLimitBytes = 34 << 20
	// memoryLimitInterval is the interval at which the limit is adjusted to the live heap.
	memoryLimitInterval = 1 * time.Second
	// The heap may always grow to 3/2 of the live heap, so that the garbage collector
	// does not run all the time when requests use much memory.
	heapHeadroomNumerator, heapHeadroomDenominator = 3, 2
	// gcPercent is the growth of the heap over the live heap, in percent, that starts a
	// collection while the heap is below the memory limit. It is high because rare
	// collections keep the tail latency low.
	gcPercent = 400
)

// memoryLimit returns the soft memory limit in bytes for the size of the live heap
// and of the other memory of the runtime.
func memoryLimit(liveBytes, otherBytes uint64) int64 {
	return int64(max(minMemoryLimitBytes, otherBytes+liveBytes*heapHeadroomNumerator/heapHeadroomDenominator))
}

// limitMemory adjusts the soft memory limit of the runtime to the live heap until
// ctx ends, so that garbage is collected before the memory use of the node
// exceeds its bound.
func limitMemory(ctx context.Context) {
	debug.SetGCPercent(gcPercent)
	ticker := time.NewTicker(memoryLimitInterval)
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

// readMemory returns the size of the live heap and of the other memory of the
// runtime: stacks, metadata and the rest outside the heap.
func readMemory() (liveBytes, otherBytes uint64) {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/metadata/other:bytes"},
		{Name: "/memory/classes/other:bytes"},
	}
	metrics.Read(samples)
	for _, s := range samples[1:] {
		otherBytes += s.Value.Uint64()
	}
	return samples[0].Value.Uint64(), otherBytes
}
