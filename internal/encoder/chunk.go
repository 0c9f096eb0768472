package encoder

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxChunkDataBytes is how many body bytes one chunk carries at most.
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
	// Reuse tells that the stream can carry another exchange; set with End.
	Reuse bool
}

// WriteChunk writes a body chunk in the form of Write, without allocating.
func WriteChunk(w *bufio.Writer, c Chunk) error {
	if len(c.Data) > MaxChunkDataBytes {
		return &TooLargeError{Bytes: uint64(len(c.Data)), Limit: MaxChunkDataBytes}
	}
	var tail [24]byte
	end := appendEnd(tail[:0], c)
	var head [24]byte
	data := appendDataHead(head[:0], c)
	var size [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(size[:], uint64(len(data)+len(c.Data)+len(end)))
	for _, part := range [][]byte{size[:n], data, c.Data, end} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func appendDataHead(b []byte, c Chunk) []byte {
	if len(c.Data) == 0 {
		return b
	}
	b = protowire.AppendTag(b, chunkData, protowire.BytesType)
	return protowire.AppendVarint(b, uint64(len(c.Data)))
}

func appendEnd(b []byte, c Chunk) []byte {
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

// ReadChunk reads a body chunk into buf, which it grows to at most
// MaxChunkBytes. It returns io.EOF only when the stream ends between chunks.
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
		n = c.field(num, kind, b)
		if n < 0 {
			return Chunk{}, &MalformedError{Cause: protowire.ParseError(n)}
		}
		b = b[n:]
	}
	return c, nil
}

// field takes one field and returns its length, or a negative protowire error.
func (c *Chunk) field(num protowire.Number, kind protowire.Type, b []byte) int {
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
