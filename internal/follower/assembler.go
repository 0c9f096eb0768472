package follower

import (
	"fmt"

	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// maxSnapshotBytes bounds the memory that a peer can make this node use for an
// incomplete snapshot.
const maxSnapshotBytes = 64 << 20

// ChunkError reports a chunk that is out of sequence or makes the snapshot too
// large. The stream is closed after it.
type ChunkError struct {
	Version      uint64
	Index, Count uint32
}

func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d of %d of version %d is out of sequence or exceeds the size limit", e.Index, e.Count, e.Version)
}

// assembler joins the chunks of a snapshot that arrive on one stream.
type assembler struct {
	snapshot SnapshotReceived
	// nextIndex is the index that the next chunk must have.
	nextIndex uint32
	count     uint32
}

// add adds a chunk. After the last one it returns the snapshot and true.
func (a *assembler) add(address string, c *wirepb.SnapshotChunk) (SnapshotReceived, bool, error) {
	chunkErr := &ChunkError{Version: c.GetVersion(), Index: c.GetIndex(), Count: c.GetCount()}
	if c.GetIndex() == 0 {
		digest, err := snapshotter.ParseDigest(c.GetDigest())
		if err != nil {
			return SnapshotReceived{}, false, err
		}
		*a = assembler{count: c.GetCount()}
		a.snapshot = SnapshotReceived{Address: address, Version: c.GetVersion(), Digest: digest}
	}
	if c.GetIndex() != a.nextIndex || c.GetCount() != a.count || c.GetVersion() != a.snapshot.Version || a.count == 0 {
		return SnapshotReceived{}, false, chunkErr
	}
	if len(a.snapshot.Data)+len(c.GetData()) > maxSnapshotBytes {
		return SnapshotReceived{}, false, chunkErr
	}
	a.snapshot.Data = append(a.snapshot.Data, c.GetData()...)
	a.nextIndex++
	if a.nextIndex < a.count {
		return SnapshotReceived{}, false, nil
	}
	snapshot := a.snapshot
	*a = assembler{}
	return snapshot, true, nil
}
