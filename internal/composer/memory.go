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
	// maxCollectionsPerInterval is how many collections of garbage may happen in
	// memoryLimitInterval. A collection takes the processor a time that depends on the live
	// heap and the stacks, whatever little garbage it finds.
	maxCollectionsPerInterval = 1
	// headroomStepBytes is by how much the headroom grows when there were more, and
	// headroomDecayBytes by how much it shrinks when there was none. maxHeadroomBytes bounds it.
	headroomStepBytes  = 8 << 20
	headroomDecayBytes = 1 << 20
	maxHeadroomBytes   = 32 << 20
	// The heap may always grow to 3/2 of the live heap, so that the garbage collector
	// does not run all the time when requests use much memory.
	heapHeadroomNumerator, heapHeadroomDenominator = 3, 2
	// gcPercent is the growth of the heap over the live heap, in percent, that starts a
	// collection while the heap is below the memory limit. It is high because rare
	// collections keep the tail latency low.
	gcPercent = 400
)

// memoryLimit returns the soft memory limit in bytes for the size of the live heap
// and of the other memory of the runtime, and for the headroom of the heap.
func memoryLimit(liveBytes, otherBytes, headroomBytes uint64) int64 {
	return int64(max(minMemoryLimitBytes, otherBytes+max(liveBytes*heapHeadroomNumerator/heapHeadroomDenominator, liveBytes+headroomBytes)))
}

// nextHeadroom returns how much garbage the heap may hold, from the headroom before and
// the number of collections since then.
func nextHeadroom(headroomBytes, collections uint64) uint64 {
	switch {
	case collections > maxCollectionsPerInterval:
		return min(headroomBytes+headroomStepBytes, maxHeadroomBytes)
	case collections == 0 && headroomBytes > headroomDecayBytes:
		return headroomBytes - headroomDecayBytes
	case collections == 0:
		return 0
	default:
		return headroomBytes
	}
}

// limitMemory adjusts the soft memory limit of the runtime to the live heap until
// ctx ends, so that garbage is collected before the memory use of the node
// exceeds its bound, but not so often that the processor does little else.
func limitMemory(ctx context.Context) {
	debug.SetGCPercent(gcPercent)
	ticker := time.NewTicker(memoryLimitInterval)
	defer ticker.Stop()
	headroom, collections := uint64(0), countCollections()
	for {
		before := collections
		collections = countCollections()
		headroom = nextHeadroom(headroom, collections-before)
		liveBytes, otherBytes := readMemory()
		debug.SetMemoryLimit(memoryLimit(liveBytes, otherBytes, headroom))
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

// countCollections returns how many collections of garbage there have been.
func countCollections() uint64 {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}
