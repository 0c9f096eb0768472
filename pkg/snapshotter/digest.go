package snapshotter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
)

// ShardCount is how many shards hold a snapshot. It is part of the stored
// format and never changes.
const ShardCount = 64

// Digest is the SHA-256 of a canonical encoding.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in hexadecimal.
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

// ShardOf returns the shard that holds the resources of a name.
func ShardOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % ShardCount)
}

// digestDomain separates these digests from others and names their format.
const digestDomain = "gentianbarrow-snapshot-1"

// DigestOf returns the digest of a snapshot with the given version, floor and shards.
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

// Digests returns the digest of each shard.
func ShardDigests(s *Snapshot) [ShardCount]Digest {
	if kept := s.shards.Load(); kept != nil {
		return *kept
	}
	var digests [ShardCount]Digest
	for i, shard := range split(s) {
		digests[i] = sha256.Sum256(shard.encode())
	}
	s.shards.Store(&digests)
	return digests
}

// Digest of the whole snapshot, its version and tickets included.
func (s *Snapshot) Digest() Digest {
	digests := ShardDigests(s)
	return DigestOf(s.Version, s.RemovedFloor, digests[:])
}

// Equal tells whether two snapshots are the same in every field.
func (s *Snapshot) Equal(o *Snapshot) bool {
	if s == nil || o == nil {
		return s == o
	}
	return s.Digest() == o.Digest()
}

// keepShards gives next the digests of those shards of base that the named
// resources are not in, so that a small change is cheap to digest.
func keepShards(base, next *Snapshot, touched names) {
	kept := base.shards.Load()
	if kept == nil || base.RemovedFloor != next.RemovedFloor {
		return
	}
	dirty := map[int]*resources{}
	for _, name := range append(touched.services, touched.routes...) {
		dirty[ShardOf(name)] = &resources{}
	}
	fill(next, dirty)
	digests := *kept
	for i, shard := range dirty {
		digests[i] = sha256.Sum256(shard.encode())
	}
	next.shards.Store(&digests)
}
