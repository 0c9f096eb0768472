package ticketer

import (
	"context"
	"crypto/sha256"
	"errors"
	"strings"

	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

const (
	// ShardPrefix is the prefix of the keys of shards. The SHA-256 of the encoded shard follows in hexadecimal.
	ShardPrefix = "config/shard/"
	// maxLoadAttempts limits how often Load starts again because the head changes.
	maxLoadAttempts = 5
)

// emptyShardDigest is the digest of a shard without resources. Such a shard is not stored.
var emptyShardDigest = snapshotter.Digest(sha256.Sum256(nil))

// ShardKey returns the key of a shard.
func ShardKey(d snapshotter.Digest) string { return ShardPrefix + d.String() }

func toValidUTF8(s string) string { return strings.ToValidUTF8(s, "?") }

// LoadHead reads the head and its revision. It returns EmptyHead and revision 0
// if no ticket was ever decided.
func LoadHead(ctx context.Context, client storer.Client) (Head, uint64, error) {
	obj, err := client.Get(ctx, HeadKey)
	if isNotFound(err) {
		return EmptyHead(), 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(obj.Value)
	return h, obj.Revision, err
}

// LoadSnapshot returns the snapshot that a head describes, verified by its digest.
// It replays the tickets accepted since the previous snapshot if the head lists
// them all and they are no more than the changed shards. Otherwise it fetches
// the shards that differ from previous, which may be nil. It returns
// *ShardGoneError if the head is too old, and *snapshotter.DigestMismatchError if
// the stored shards do not match it.
func LoadSnapshot(ctx context.Context, client storer.Client, h Head, previous *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
	if previous != nil && previous.Digest() == h.Digest {
		return previous, nil
	}
	if s := replayTickets(ctx, client, h, previous); s != nil {
		return s, nil
	}
	shards, err := fetchShards(ctx, client, h, previous)
	if err != nil {
		return nil, err
	}
	s, err := snapshotter.DecodeShards(h.Version, h.RemovedFloor, shards)
	if err != nil {
		return nil, err
	}
	if actual := s.Digest(); actual != h.Digest {
		return nil, &snapshotter.DigestMismatchError{
			Subject: "snapshot", Version: h.Version, Expected: h.Digest, Actual: actual,
		}
	}
	return s, nil
}

// fetchShards returns the encoded shards of a head. Each fetched shard is verified by its digest.
func fetchShards(ctx context.Context, client storer.Client, h Head, previous *snapshotter.Snapshot) ([][]byte, error) {
	if previous == nil {
		previous = snapshotter.Empty()
	}
	previousDigests := snapshotter.ShardDigests(previous)
	previousShards := snapshotter.EncodeShards(previous)
	shards := make([][]byte, len(h.Shards))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, digest := range h.Shards {
		if digest == emptyShardDigest {
			continue
		}
		if previousDigests[i] == digest {
			shards[i] = previousShards[i]
			continue
		}
		group.Go(func() error {
			data, err := fetchShard(ctx, client, h.Version, digest)
			shards[i] = data
			return err
		})
	}
	return shards, group.Wait()
}

func fetchShard(ctx context.Context, client storer.Client, version uint64, digest snapshotter.Digest) ([]byte, error) {
	obj, err := client.Get(ctx, ShardKey(digest))
	if isNotFound(err) {
		return nil, &ShardGoneError{Version: version, Digest: digest}
	}
	if err != nil {
		return nil, err
	}
	actual := snapshotter.Digest(sha256.Sum256(obj.Value))
	if actual != digest {
		return nil, &snapshotter.DigestMismatchError{Subject: "shard", Version: version, Expected: digest, Actual: actual}
	}
	return obj.Value, nil
}

// Load reads the head, its revision and its snapshot. If shards are deleted while
// they are read because the head has changed, it starts again from the new head.
func Load(ctx context.Context, client storer.Client, previous *snapshotter.Snapshot) (Head, uint64, *snapshotter.Snapshot, error) {
	for attempt := 1; ; attempt++ {
		head, revision, err := LoadHead(ctx, client)
		if err != nil {
			return Head{}, 0, nil, err
		}
		s, err := LoadSnapshot(ctx, client, head, previous)
		var gone *ShardGoneError
		if errors.As(err, &gone) && attempt < maxLoadAttempts {
			continue
		}
		return head, revision, s, err
	}
}
