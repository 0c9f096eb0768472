package receiver

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func readBytes(t *testing.T, r io.Reader, n int) {
	t.Helper()
	_, err := io.ReadFull(r, make([]byte, n))
	assert.NilError(t, err)
}

func assertReads(t *testing.T, r io.Reader, want []byte) {
	t.Helper()
	got, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want), "got %d bytes, want %d", len(got), len(want))
}

func TestReplayer(t *testing.T) {
	short := bytes.Repeat([]byte("swap "), 1000)
	long := bytes.Repeat([]byte("video "), maxReplayBytes)
	t.Run("a second attempt reads from the start", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(short)}
		first := p.newReader()
		readBytes(t, first, 100)
		first.detach()
		assert.Assert(t, p.isReplayable())
		assertReads(t, p.newReader(), short)
		assert.Assert(t, p.isComplete())
		assertReads(t, p.newReader(), short)
	})
	t.Run("two concurrent attempts read the same body", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(short)}
		first, second := p.newReader(), p.newReader()
		readBytes(t, first, 100)
		readBytes(t, second, 300)
		assertReads(t, first, short[100:])
		assertReads(t, second, short[300:])
	})
	t.Run("reads of a detached attempt fail", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(short)}
		a := p.newReader()
		a.detach()
		_, err := a.Read(make([]byte, 1))
		var detached *detachedError
		assert.Assert(t, errors.As(err, &detached))
	})
	t.Run("a long body is read once and not buffered", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(long)}
		assertReads(t, p.newReader(), long)
		assert.Assert(t, !p.isReplayable())
		assert.Equal(t, cap(p.buffered), 0)
		_, err := p.newReader().Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	})
}
