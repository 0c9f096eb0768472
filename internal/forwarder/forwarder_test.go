package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

func testRequest() *exchanger.Request {
	return &exchanger.Request{
		ID: "r-1", Method: "GET", Path: "/read?x=1", Host: "booking",
		Header:  http.Header{"Accept": {"text/plain"}},
		Service: "booking", Class: snapshotter.ClassShort, Depth: 1, Attempt: 1,
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// forwarderTo returns a forwarder whose streams are answered by serve instead of another node.
func forwarderTo(group *sync.WaitGroup, serve func(s *linker.Stream)) *Forwarder {
	open := func(_ context.Context, _ string, _ linker.Traffic, _ string, first proto.Message, limit int) (*linker.Stream, error) {
		local, remote := net.Pipe()
		group.Go(func() {
			defer remote.Close()
			serve(&linker.Stream{Conn: remote, Reader: bufio.NewReader(remote)})
		})
		if err := encoder.Write(local, first, limit); err != nil {
			return nil, err
		}
		return &linker.Stream{Conn: local, Reader: bufio.NewReader(local)}, nil
	}
	return New(Config{Open: open, Tracker: drainer.NewTracker()})
}

// readRequestHeader reads the header of a request.
func readRequestHeader(s *linker.Stream) {
	var m wirepb.ForwardRequest
	_ = encoder.Read(s.Reader, &m, encoder.MaxHeaderBytes)
}

func answerWith(m *wirepb.ForwardResponse, chunks ...*wirepb.BodyChunk) func(*linker.Stream) {
	return func(s *linker.Stream) {
		readRequestHeader(s)
		_ = encoder.Write(s, m, encoder.MaxHeaderBytes)
		for _, c := range chunks {
			_ = encoder.Write(s, c, encoder.MaxChunkBytes)
		}
	}
}

func doneResponse(id string, length int64) *wirepb.ForwardResponse {
	return &wirepb.ForwardResponse{RequestId: id, Outcome: "done", Status: 200, ContentLength: length}
}

// forward sends one request to a peer and returns the answer and its body.
func forward(t *testing.T, serve func(*linker.Stream)) (a *exchanger.Answer, body []byte, err error) {
	t.Helper()
	var group sync.WaitGroup
	defer group.Wait()
	a = forwarderTo(&group, serve).Forward(t.Context(), "peer", testRequest())
	defer a.Close()
	if a.Outcome == retrier.OutcomeDone {
		body, err = io.ReadAll(a.Body)
	}
	return a, body, err
}

func assertTruncated(t *testing.T, err error) {
	t.Helper()
	var truncated *TruncatedError
	assert.Assert(t, errors.As(err, &truncated), "got %v", err)
}

func TestForwardAnswers(t *testing.T) {
	half := &wirepb.BodyChunk{Data: []byte("half")}
	cases := []struct {
		name  string
		serve func(*linker.Stream)
		want  string
	}{
		{"complete", answerWith(doneResponse("r-1", -1), half, &wirepb.BodyChunk{Data: []byte("+rest"), End: true, Total: 9}), "half+rest"},
		{"truncated", answerWith(doneResponse("r-1", -1), half), ""},
		{"wrong total length", answerWith(doneResponse("r-1", -1), half, &wirepb.BodyChunk{End: true, Total: 9}), ""},
		{"not of the declared length", answerWith(doneResponse("r-1", 9), half, &wirepb.BodyChunk{End: true, Total: 4}), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, body, err := forward(t, c.serve)
			if c.want == "" {
				assertTruncated(t, err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), c.want)
		})
	}
}

// doneAnswer returns the head of an answer without a body; field may be nil.
func doneAnswer(status int32, field *wirepb.Header) *wirepb.ForwardResponse {
	m := doneResponse("r-1", 0)
	m.Status = status
	if field != nil {
		m.Headers = append(m.Headers, field)
	}
	return m
}

func TestForwardFailures(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(*linker.Stream)
		reason exchanger.Reason
	}{
		{"answer to another request", answerWith(doneResponse("r-2", 0)), exchanger.ReasonCrossedAnswer},
		{"answer without an outcome", answerWith(&wirepb.ForwardResponse{RequestId: "r-1"}), exchanger.ReasonMalformedAnswer},
		{"answer without a status", answerWith(&wirepb.ForwardResponse{RequestId: "r-1", Outcome: "done"}), exchanger.ReasonMalformedAnswer},
		{"answer with a status of two digits", answerWith(doneAnswer(99, nil)), exchanger.ReasonMalformedAnswer},
		{"answer with a blank in the name of a field", answerWith(doneAnswer(200, &wirepb.Header{Name: "X Field", Value: []byte("v")})), exchanger.ReasonMalformedAnswer},
		{"answer with a line feed in a field", answerWith(doneAnswer(200, &wirepb.Header{Name: "X-Field", Value: []byte("v\nX-Other: v")})), exchanger.ReasonMalformedAnswer},
		{"no answer", readRequestHeader, exchanger.ReasonConnectionLost},
		{"answer over the limit", func(s *linker.Stream) {
			readRequestHeader(s)
			_, _ = s.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
		}, exchanger.ReasonConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, _, _ := forward(t, c.serve)
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			assert.Equal(t, a.Reason, c.reason)
		})
	}
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, _, _ := forward(t, func(s *linker.Stream) {
				readRequestHeader(s)
				_, _ = s.Reader.ReadByte()
			})
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			assert.Equal(t, a.Reason, exchanger.ReasonDeadline)
		})
	})
	t.Run("unreachable peer is outcome not-run", func(t *testing.T) {
		f := New(Config{Open: func(context.Context, string, linker.Traffic, string, proto.Message, int) (*linker.Stream, error) {
			return nil, &linker.UnreachableError{}
		}})
		assert.Equal(t, f.Forward(t.Context(), "peer", testRequest()).Outcome, retrier.OutcomeNotRun)
	})
	t.Run("a peer that hangs leaves time for another one", func(t *testing.T) {
		for name, c := range map[string]struct{ soft, deadline, want time.Duration }{
			"objective":            {2 * time.Second, 20 * time.Second, 500 * time.Millisecond},
			"deadline only":        {0, 4 * time.Second, time.Second},
			"objective has passed": {-time.Second, 4 * time.Second, time.Second},
			"short objective":      {100 * time.Millisecond, 4 * time.Second, minOpenTime},
			"short deadline":       {0, 100 * time.Millisecond, 100 * time.Millisecond},
		} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := New(Config{Open: func(ctx context.Context, address string, _ linker.Traffic, _ string, _ proto.Message, _ int) (*linker.Stream, error) {
						<-ctx.Done()
						return nil, &linker.UnreachableError{Address: address, Cause: ctx.Err()}
					}})
					r, start := testRequest(), time.Now()
					r.Deadline, r.AbortAt = start.Add(c.deadline), time.Time{}
					if c.soft != 0 {
						r.SoftDeadline = start.Add(c.soft)
					}
					a := f.Forward(t.Context(), "peer", r)
					assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
					assert.Equal(t, a.Reason, exchanger.ReasonUnreachable)
					assert.Equal(t, time.Since(start), c.want)
				})
			})
		}
	})
	t.Run("interrupted open is outcome unknown", func(t *testing.T) {
		f := New(Config{Open: func(context.Context, string, linker.Traffic, string, proto.Message, int) (*linker.Stream, error) {
			return nil, &linker.InterruptedError{}
		}})
		assert.Equal(t, f.Forward(t.Context(), "peer", testRequest()).Outcome, retrier.OutcomeUnknown)
	})
}

// handleOpen passes bytes to the serving side and tells whether a request was executed.
// The stream stays open after them.
func handleOpen(data []byte) (executed bool) {
	return handleStream(func(open io.Reader) io.Reader { return io.MultiReader(bytes.NewReader(data), open) })
}

// handleEnded does the same with a stream that ends after the bytes.
func handleEnded(data []byte) (executed bool) {
	return handleStream(func(io.Reader) io.Reader { return bytes.NewReader(data) })
}

func handleStream(source func(open io.Reader) io.Reader) (executed bool) {
	local, remote := net.Pipe()
	f := New(Config{
		Tracker: drainer.NewTracker(),
		Execute: func(_ context.Context, r *exchanger.Request) *exchanger.Answer {
			executed = true
			if r.Body != nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			// The peer closes its end, because no other exchange follows.
			_ = local.Close()
			return exchanger.NotRun(exchanger.ReasonNoTarget, nil)
		},
	})
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(io.Discard, local) })
	s := &linker.Stream{Conn: remote, Reader: bufio.NewReader(source(remote))}
	f.Handle(context.Background(), s)
	_ = remote.Close()
	group.Wait()
	return executed
}

func encodeMessages(m *wirepb.ForwardRequest, chunks ...*wirepb.BodyChunk) []byte {
	var buf bytes.Buffer
	_ = encoder.Write(&buf, m, encoder.MaxHeaderBytes)
	for _, c := range chunks {
		_ = encoder.Write(&buf, c, encoder.MaxChunkBytes)
	}
	return buf.Bytes()
}

func TestHandleRejects(t *testing.T) {
	mutations := map[string]func(m *wirepb.ForwardRequest){
		"request_id":      func(m *wirepb.ForwardRequest) { m.RequestId = strings.Repeat("x", 200) },
		"method":          func(m *wirepb.ForwardRequest) { m.Method = "GET /\r\n" },
		"path":            func(m *wirepb.ForwardRequest) { m.Path = "read" },
		"service":         func(m *wirepb.ForwardRequest) { m.Service = "" },
		"class":           func(m *wirepb.ForwardRequest) { m.Class = "slow" },
		"remaining_micro": func(m *wirepb.ForwardRequest) { m.RemainingMicro = -1 },
		"depth":           func(m *wirepb.ForwardRequest) { m.Depth = exchanger.MaxDepth + 1 },
		"attempt":         func(m *wirepb.ForwardRequest) { m.Attempt = 0 },
		"content_length":  func(m *wirepb.ForwardRequest) { m.ContentLength = -2 },
	}
	end := &wirepb.BodyChunk{End: true}
	t.Run("a valid request is executed", func(t *testing.T) {
		assert.Assert(t, handleOpen(encodeMessages(encodeRequest(testRequest()))))
	})
	t.Run("a request whose caller left before it was read", func(t *testing.T) {
		assert.Assert(t, !handleEnded(encodeMessages(encodeRequest(testRequest()))))
	})
	for field, mutate := range mutations {
		t.Run(field, func(t *testing.T) {
			m := encodeRequest(testRequest())
			mutate(m)
			_, err := decodeRequest(m, time.Now())
			var invalid *InvalidFieldError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Equal(t, invalid.Field, field)
			assert.Assert(t, !handleOpen(encodeMessages(m, end)))
		})
	}
	t.Run("an undeclared body cancels the request", func(t *testing.T) {
		local, remote := net.Pipe()
		var group sync.WaitGroup
		group.Go(func() { _, _ = io.Copy(io.Discard, local) })
		f := New(Config{
			Tracker: drainer.NewTracker(),
			Execute: func(ctx context.Context, _ *exchanger.Request) *exchanger.Answer {
				<-ctx.Done()
				assert.Equal(t, ctx.Err(), context.Canceled)
				return exchanger.Unknown(exchanger.ReasonCancelled, ctx.Err())
			},
		})
		data := encodeMessages(encodeRequest(testRequest()), &wirepb.BodyChunk{Data: []byte("x"), End: true, Total: 1})
		f.Handle(t.Context(), &linker.Stream{Conn: remote, Reader: bufio.NewReader(bytes.NewReader(data))})
		_ = remote.Close()
		group.Wait()
	})
}

func FuzzHandle(f *testing.F) {
	f.Add(encodeMessages(encodeRequest(testRequest())))
	m := encodeRequest(testRequest())
	m.ContentLength = -1
	f.Add(encodeMessages(m, &wirepb.BodyChunk{Data: []byte("half")}, &wirepb.BodyChunk{End: true, Total: 4}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		allocated := testing.AllocsPerRun(1, func() { handleEnded(data) })
		assert.Assert(t, allocated < float64(2000+len(data)))
	})
}

func FuzzReadChunk(f *testing.F) {
	f.Add([]byte{0x0a, 0x0a, 0x04, 'h', 'a', 'l', 'f', 0x10, 0x01, 0x18, 0x04})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &chunkReader{r: bufio.NewReader(bytes.NewReader(data)), contentLength: -1}
		n, err := io.Copy(io.Discard, c)
		if err == nil {
			assert.Equal(t, n, c.receivedBytes)
			return
		}
		assertTruncated(t, err)
		assert.Assert(t, cap(c.buf) <= encoder.MaxChunkBytes)
	})
}

func TestLeavingTargetPassesBetweenNodes(t *testing.T) {
	leaving := &exchanger.TargetProcess{ID: "i-1", Started: 1_800_000_000_000}
	runPair(t, func(t *testing.T, p *forwarderPair) {
		p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
			assert.DeepEqual(t, r.Leaving, leaving)
			a := echoID(ctx, r)
			a.Leaving = leaving
			return a
		}
		r := testRequest()
		r.Leaving = leaving
		a := p.client.Forward(t.Context(), "peer", r)
		defer a.Close()
		assert.DeepEqual(t, a.Leaving, leaving)
	})
}
