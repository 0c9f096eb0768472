package receiver

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func readSome(t *testing.T, r io.Reader, n int) {
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
		first := p.attempt()
		readSome(t, first, 100)
		first.detach()
		assert.Assert(t, p.replayable())
		assertReads(t, p.attempt(), short)
		assert.Assert(t, p.whole())
		assertReads(t, p.attempt(), short)
	})
	t.Run("two attempts side by side read the same", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(short)}
		first, second := p.attempt(), p.attempt()
		readSome(t, first, 100)
		readSome(t, second, 300)
		assertReads(t, first, short[100:])
		assertReads(t, second, short[300:])
	})
	t.Run("an attempt that has ended reads nothing more", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(short)}
		a := p.attempt()
		a.detach()
		_, err := a.Read(make([]byte, 1))
		var detached *detachedError
		assert.Assert(t, errors.As(err, &detached))
	})
	t.Run("a long body is read once and not kept", func(t *testing.T) {
		p := &replayer{src: bytes.NewReader(long)}
		assertReads(t, p.attempt(), long)
		assert.Assert(t, !p.replayable())
		assert.Equal(t, cap(p.kept), 0)
		_, err := p.attempt().Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	})
}
