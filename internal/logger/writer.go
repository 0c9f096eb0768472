package logger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait for a slow or blocked output.
const maxQueuedLines = 2048

// Writer writes lines to an output without blocking its callers. If the queue is
// full, it drops the line and later writes how many lines it has dropped.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the dropped lines since the last report.
	dropped atomic.Int64
}

// NewWriter returns a writer to out. Lines are written while Run runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues or drops one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	buffered := bufio.NewWriter(w.out)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(buffered, line)
		case <-ctx.Done():
			w.drain(buffered)
			return
		}
	}
}

// writeLine writes one line and flushes if no other line is queued. It ignores
// errors, since the log is the only place to report them.
func (w *Writer) writeLine(buffered *bufio.Writer, line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(buffered, `{"event":"GB%04d","level":"warning","msg":%q,"count":%d}`+"\n",
			LinesDropped.Number, LinesDropped.Name, n)
	}
	_, _ = buffered.Write(line)
	if len(w.lines) == 0 {
		_ = buffered.Flush()
	}
}

func (w *Writer) drain(buffered *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(buffered, line)
		default:
			_ = buffered.Flush()
			return
		}
	}
}
