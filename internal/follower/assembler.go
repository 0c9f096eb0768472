package follower

import (
	"fmt"

	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// maxSnapshotBytes bounds what a peer can make this node hold of an unfinished snapshot.
const maxSnapshotBytes = 64 << 20

// ChunkError tells that the parts of a snapshot do not fit together. The stream is of no further use.
type ChunkError struct {
	Version      uint64
	Index, Count uint32
}

func (e *ChunkError) Error() string {
	return fmt.Sprintf("part %d of %d of version %d does not follow the parts before", e.Index, e.Count, e.Version)
}

// assembler joins the parts of a snapshot that arrive on one stream.
type assembler struct {
	whole WholeReceived
	// next is the index that the next part must have.
	next  uint32
	count uint32
}

// add takes one part and returns the whole after the last one.
func (a *assembler) add(address string, c *wirepb.SnapshotChunk) (WholeReceived, bool, error) {
	broken := &ChunkError{Version: c.GetVersion(), Index: c.GetIndex(), Count: c.GetCount()}
	if c.GetIndex() == 0 {
		digest, err := snapshotter.ParseDigest(c.GetDigest())
		if err != nil {
			return WholeReceived{}, false, err
		}
		*a = assembler{count: c.GetCount()}
		a.whole = WholeReceived{Address: address, Version: c.GetVersion(), Digest: digest}
	}
	if c.GetIndex() != a.next || c.GetCount() != a.count || c.GetVersion() != a.whole.Version || a.count == 0 {
		return WholeReceived{}, false, broken
	}
	if len(a.whole.Data)+len(c.GetData()) > maxSnapshotBytes {
		return WholeReceived{}, false, broken
	}
	a.whole.Data = append(a.whole.Data, c.GetData()...)
	a.next++
	if a.next < a.count {
		return WholeReceived{}, false, nil
	}
	whole := a.whole
	*a = assembler{}
	return whole, true, nil
}
