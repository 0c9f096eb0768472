package logger

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { w.Run(ctx) })
		l := New(w, FormatJSON, LevelInfo, "reyk-a-1", "reyk-a")
		for range 3 * maxQueuedLines {
			l.Write(NodeStarted, Fields{})
		}
		synctest.Wait()
		close(out.release)
		synctest.Wait()
		l.Write(NodeStopped, Fields{})
		cancel()
		group.Wait()
		assert.Assert(t, strings.Contains(out.text.String(), LinesDropped.Name))
		assert.Assert(t, strings.Contains(out.text.String(), NodeStopped.Name))
	})
}

func TestRequestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		l := New(&out, FormatJSON, LevelInfo, "reyk-a-1", "reyk-a")
		for range 10 * failureLinesPerSecond {
			l.WriteRequest(RequestAnswered, Fields{})
			l.WriteRequest(RequestRefused, Fields{})
		}
		answered := strings.Count(out.String(), RequestAnswered.Name)
		refused := strings.Count(out.String(), RequestRefused.Name)
		assert.Assert(t, refused > answered, "failures must have a higher limit than successes")
		assert.Assert(t, answered+refused <= 2*failureLinesPerSecond, "%d lines", answered+refused)
		assert.Assert(t, answered > 0)
	})
}
