package ticketer

import (
	"fmt"

	"gentianbarrow.example/pkg/snapshotter"
)

// ShardCountError tells that a head names another number of shards than snapshotter.ShardCount.
type ShardCountError struct{ Count int }

func (e *ShardCountError) Error() string {
	return fmt.Sprintf("%d shards, not %d", e.Count, snapshotter.ShardCount)
}

// ShardGoneError tells that a shard of an older head has been collected. Load the head again.
type ShardGoneError struct {
	Version uint64
	Digest  snapshotter.Digest
}

func (e *ShardGoneError) Error() string {
	return fmt.Sprintf("shard %s of version %d no longer exists", e.Digest, e.Version)
}
