package encoder

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/wirepb"
)

func encode(t *testing.T, m proto.Message) []byte {
	t.Helper()
	var buf bytes.Buffer
	assert.NilError(t, Write(&buf, m, MaxHeaderBytes))
	return buf.Bytes()
}

func readMessage(data []byte, limit int) error {
	return Read(bufio.NewReader(bytes.NewReader(data)), &wirepb.BodyChunk{}, limit)
}

func TestRead(t *testing.T) {
	encoded := encode(t, &wirepb.BodyChunk{Data: []byte("roster"), Total: 6, End: true})

	t.Run("a complete message", func(t *testing.T) {
		var got wirepb.BodyChunk
		assert.NilError(t, Read(bufio.NewReader(bytes.NewReader(encoded)), &got, MaxHeaderBytes))
		assert.Equal(t, string(got.GetData()), "roster")
	})
	t.Run("an empty stream", func(t *testing.T) {
		assert.Assert(t, errors.Is(readMessage(nil, MaxHeaderBytes), io.EOF))
	})
	t.Run("a truncated message is not taken for the end of the stream", func(t *testing.T) {
		for n := 1; n < len(encoded); n++ {
			var truncated *TruncatedError
			assert.Assert(t, errors.As(readMessage(encoded[:n], MaxHeaderBytes), &truncated), "at %d", n)
		}
	})
	t.Run("a message above the limit is rejected before it is read", func(t *testing.T) {
		var large *TooLargeError
		huge := binary.AppendUvarint(nil, 1<<60)
		assert.Assert(t, errors.As(readMessage(huge, MaxHeaderBytes), &large))
	})
	t.Run("malformed bytes", func(t *testing.T) {
		var malformed *MalformedError
		assert.Assert(t, errors.As(readMessage([]byte{3, 0xff, 0xff, 0xff}, MaxHeaderBytes), &malformed))
	})
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{3, 10, 1, 65})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		allocated := testing.AllocsPerRun(1, func() {
			_ = readMessage(data, MaxHeaderBytes)
		})
		assert.Assert(t, allocated < 1000)
	})
}
