package encoder

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxChunkDataBytes is the maximum number of body bytes in one chunk.
const MaxChunkDataBytes = 64 << 10

// Field numbers of wirepb.BodyChunk.
const (
	chunkData  protowire.Number = 1
	chunkEnd   protowire.Number = 2
	chunkTotal protowire.Number = 3
	chunkReuse protowire.Number = 4
)

// Chunk is a decoded wirepb.BodyChunk.
type Chunk struct {
	// Data is valid until the next call that uses the same buffer.
	Data []byte
	// End marks the last chunk of a body.
	End bool
	// Total is the length of the whole body; set with End.
	Total int64
	// Reuse reports that the stream can carry another exchange; set with End.
	Reuse bool
}

// WriteChunk writes a body chunk in the format of Write. It does not allocate.
func WriteChunk(w *bufio.Writer, c Chunk) error {
	if len(c.Data) > MaxChunkDataBytes {
		return &TooLargeError{Bytes: uint64(len(c.Data)), Limit: MaxChunkDataBytes}
	}
	var trailerBuf [24]byte
	trailer := appendEndFields(trailerBuf[:0], c)
	var prefixBuf [24]byte
	prefix := appendDataPrefix(prefixBuf[:0], c)
	var size [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(size[:], uint64(len(prefix)+len(c.Data)+len(trailer)))
	for _, part := range [][]byte{size[:n], prefix, c.Data, trailer} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func appendDataPrefix(b []byte, c Chunk) []byte {
	if len(c.Data) == 0 {
		return b
	}
	b = protowire.AppendTag(b, chunkData, protowire.BytesType)
	return protowire.AppendVarint(b, uint64(len(c.Data)))
}

func appendEndFields(b []byte, c Chunk) []byte {
	if !c.End {
		return b
	}
	b = protowire.AppendTag(b, chunkEnd, protowire.VarintType)
	b = protowire.AppendVarint(b, 1)
	b = protowire.AppendTag(b, chunkTotal, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(c.Total))
	if c.Reuse {
		b = protowire.AppendTag(b, chunkReuse, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	return b
}

// ReadChunk reads a body chunk into buf and returns the chunk and the buffer. It
// replaces a buffer that is too small by one of at most MaxChunkBytes. It returns
// io.EOF only if the stream ends between chunks.
func ReadChunk(r *bufio.Reader, buf []byte) (Chunk, []byte, error) {
	size, err := readSize(r, MaxChunkBytes)
	if err != nil {
		return Chunk{}, buf, err
	}
	if cap(buf) < size {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	if _, err := io.ReadFull(r, buf); err != nil {
		return Chunk{}, buf, &TruncatedError{Cause: err}
	}
	c, err := parseChunk(buf)
	return c, buf, err
}

func parseChunk(b []byte) (Chunk, error) {
	var c Chunk
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return Chunk{}, &MalformedError{Cause: protowire.ParseError(n)}
		}
		b = b[n:]
		n = c.parseField(num, kind, b)
		if n < 0 {
			return Chunk{}, &MalformedError{Cause: protowire.ParseError(n)}
		}
		b = b[n:]
	}
	return c, nil
}

// parseField parses one field, without its tag, and returns its length or a negative
// protowire error code.
func (c *Chunk) parseField(num protowire.Number, kind protowire.Type, b []byte) int {
	switch {
	case num == chunkData && kind == protowire.BytesType:
		data, n := protowire.ConsumeBytes(b)
		c.Data = data
		return n
	case num == chunkEnd && kind == protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		c.End = v != 0
		return n
	case num == chunkTotal && kind == protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		c.Total = int64(v)
		return n
	case num == chunkReuse && kind == protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		c.Reuse = v != 0
		return n
	default:
		return protowire.ConsumeFieldValue(num, kind, b)
	}
}
