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
	// ShardPrefix is followed by the SHA-256 of the shard in hexadecimal.
	ShardPrefix = "config/shard/"
	// loadAttempts bounds how often Load follows a head that moves.
	loadAttempts = 5
)

// emptyShard is the digest of a shard without resources, which is not stored.
var emptyShard = snapshotter.Digest(sha256.Sum256(nil))

// ShardKey returns the key of a shard.
func ShardKey(d snapshotter.Digest) string { return ShardPrefix + d.String() }

func validText(s string) string { return strings.ToValidUTF8(s, "?") }

// LoadHead reads the head and its revision. Where no ticket was ever accepted
// it returns EmptyHead and revision 0.
func LoadHead(ctx context.Context, client storer.Client) (Head, uint64, error) {
	obj, err := client.Get(ctx, HeadKey)
	if notFound(err) {
		return EmptyHead(), 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(obj.Value)
	return h, obj.Revision, err
}

// LoadSnapshot returns the snapshot that a head names, verified by its digest.
// It applies the tickets since have where the head lists them and they are
// few, and else fetches the shards that differ from have, which may be nil. It
// returns *ShardGoneError when the head is too old.
func LoadSnapshot(ctx context.Context, client storer.Client, h Head, have *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
	if have != nil && have.Digest() == h.Digest {
		return have, nil
	}
	if s := replayTickets(ctx, client, h, have); s != nil {
		return s, nil
	}
	shards, err := collectShards(ctx, client, h, have)
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

// collectShards returns the encoded shards of a head, each verified.
func collectShards(ctx context.Context, client storer.Client, h Head, have *snapshotter.Snapshot) ([][]byte, error) {
	if have == nil {
		have = snapshotter.Empty()
	}
	owned := snapshotter.ShardDigests(have)
	encoded := snapshotter.EncodeShards(have)
	shards := make([][]byte, len(h.Shards))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, want := range h.Shards {
		if want == emptyShard {
			continue
		}
		if owned[i] == want {
			shards[i] = encoded[i]
			continue
		}
		group.Go(func() error {
			data, err := loadShard(ctx, client, h.Version, want)
			shards[i] = data
			return err
		})
	}
	return shards, group.Wait()
}

func loadShard(ctx context.Context, client storer.Client, version uint64, want snapshotter.Digest) ([]byte, error) {
	obj, err := client.Get(ctx, ShardKey(want))
	if notFound(err) {
		return nil, &ShardGoneError{Version: version, Digest: want}
	}
	if err != nil {
		return nil, err
	}
	actual := snapshotter.Digest(sha256.Sum256(obj.Value))
	if actual != want {
		return nil, &snapshotter.DigestMismatchError{Subject: "shard", Version: version, Expected: want, Actual: actual}
	}
	return obj.Value, nil
}

// Load reads the head and its snapshot. When the head moves on while its
// shards are read, and they are collected, it starts again from the new head.
func Load(ctx context.Context, client storer.Client, have *snapshotter.Snapshot) (Head, uint64, *snapshotter.Snapshot, error) {
	for attempt := 1; ; attempt++ {
		h, revision, err := LoadHead(ctx, client)
		if err != nil {
			return Head{}, 0, nil, err
		}
		s, err := LoadSnapshot(ctx, client, h, have)
		var gone *ShardGoneError
		if errors.As(err, &gone) && attempt < loadAttempts {
			continue
		}
		return h, revision, s, err
	}
}
