package snapshotter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"slices"
)

// ShardCount is the number of shards of a snapshot. It is part of the stored
// format and must never change.
const ShardCount = 64

// Digest is the SHA-256 of a canonical encoding.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a digest in hexadecimal. It returns *MalformedError.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return &MalformedError{Subject: "digest", Cause: err}
	}
	if len(raw) != len(d) {
		return &MalformedError{Subject: "digest", Cause: &sizeError{len(raw), len(d)}}
	}
	copy(d[:], raw)
	return nil
}

// ShardOf returns the number of the shard, from 0, that holds the resources of a name.
func ShardOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % ShardCount)
}

// digestDomain keeps these digests apart from other SHA-256 values and names their format.
const digestDomain = "gentianbarrow-snapshot-1"

// DigestOf returns the digest of a snapshot with the given version, floor and
// shard digests.
func DigestOf(version, removedFloor uint64, shards []Digest) Digest {
	buf := make([]byte, 0, len(digestDomain)+16+len(shards)*sha256.Size)
	buf = append(buf, digestDomain...)
	buf = binary.BigEndian.AppendUint64(buf, version)
	buf = binary.BigEndian.AppendUint64(buf, removedFloor)
	for _, d := range shards {
		buf = append(buf, d[:]...)
	}
	return sha256.Sum256(buf)
}

// ShardDigests returns the digest of each shard, by shard number.
func ShardDigests(s *Snapshot) [ShardCount]Digest {
	if cached := s.shardDigests.Load(); cached != nil {
		return *cached
	}
	var digests [ShardCount]Digest
	for i, shard := range splitIntoShards(s) {
		digests[i] = sha256.Sum256(shard.encode())
	}
	s.shardDigests.Store(&digests)
	return digests
}

// Digest returns the digest of the whole snapshot, its version and tickets
// included. The caller limits are not part of it.
func (s *Snapshot) Digest() Digest {
	digests := ShardDigests(s)
	return DigestOf(s.Version, s.RemovedFloor, digests[:])
}

// Equal reports whether two snapshots have the same digest, or both are nil.
// The caller limits are not compared.
func (s *Snapshot) Equal(o *Snapshot) bool {
	if s == nil || o == nil {
		return s == o
	}
	return s.Digest() == o.Digest()
}

// reuseShardDigests copies the shard digests of base to next and recomputes only
// those of the shards that hold the touched resources, so that the digest after
// a small change is cheap.
func reuseShardDigests(base, next *Snapshot, touched resourceNames) {
	cached := base.shardDigests.Load()
	if cached == nil || base.RemovedFloor != next.RemovedFloor {
		return
	}
	changed := map[int]*resources{}
	for _, name := range slices.Concat(touched.services, touched.routes, touched.firms) {
		changed[ShardOf(name)] = &resources{}
	}
	fillShards(next, changed)
	digests := *cached
	for i, shard := range changed {
		digests[i] = sha256.Sum256(shard.encode())
	}
	next.shardDigests.Store(&digests)
}
