package logger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// linesWaiting is how many lines may wait for a writer that is slow or blocked.
const linesWaiting = 2048

// Writer passes lines on without ever waiting: a line that finds the buffer
// full is dropped and counted, and the count is written once there is room.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines since the last report.
	dropped atomic.Int64
}

// NewWriter returns a writer to out. Run writes.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, linesWaiting)}
}

// Write takes one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) {
	buffered := bufio.NewWriter(w.out)
	for {
		select {
		case line := <-w.lines:
			w.write(buffered, line)
		case <-ctx.Done():
			w.drain(buffered)
			return
		}
	}
}

// write passes on one line, and flushes when no other waits. A writer that
// fails has nobody to be told of it.
func (w *Writer) write(buffered *bufio.Writer, line []byte) {
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
			w.write(buffered, line)
		default:
			_ = buffered.Flush()
			return
		}
	}
}
