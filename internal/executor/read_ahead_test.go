package executor

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
)

// sourceBody is a body that records whether it was read to its end and closed.
type sourceBody struct {
	io.Reader
	ended, closed bool
}

func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

func (b *sourceBody) Close() error { b.closed = true; return nil }

func answerOf(size int) (*exchanger.Answer, *sourceBody) {
	source := &sourceBody{Reader: bytes.NewReader(make([]byte, size))}
	return &exchanger.Answer{Body: source, ContentLength: int64(size)}, source
}

// TestReadAhead guards against slots that are held while an answer waits for the link.
func TestReadAhead(t *testing.T) {
	t.Run("a long answer is read before it is sent", func(t *testing.T) {
		var ra readAhead
		a, source := answerOf(90_000)
		ra.read(a)
		assert.Assert(t, source.ended && !source.closed)
		sent, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(sent), 90_000)
		assert.NilError(t, a.Body.Close())
		assert.NilError(t, a.Body.Close())
		assert.Assert(t, source.closed)
		assert.Equal(t, ra.total.Load(), int64(0))
	})
	t.Run("short and very long answers are not", func(t *testing.T) {
		var ra readAhead
		for _, size := range []int{400, 1 << 20} {
			a, source := answerOf(size)
			ra.read(a)
			assert.Assert(t, !source.ended, size)
		}
	})
	t.Run("a truncated answer stays truncated", func(t *testing.T) {
		var ra readAhead
		a, source := answerOf(90_000)
		source.Reader = io.MultiReader(bytes.NewReader(make([]byte, 50_000)), &failingReader{})
		ra.read(a)
		sent, err := io.ReadAll(a.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, len(sent), 50_000)
	})
	t.Run("the bytes that are held are bounded", func(t *testing.T) {
		var ra readAhead
		ended := 0
		for range 30 {
			a, source := answerOf(maxReadAheadBytes)
			ra.read(a)
			if source.ended {
				ended++
			}
		}
		assert.Equal(t, ended, maxReadAheadTotal/maxReadAheadBytes)
	})
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
