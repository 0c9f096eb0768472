package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/platform/emulator"
)

const soundSeed = 9102

// soundAnswer is an answer that is rare but sound.
type soundAnswer struct {
	name, method string
	// head lacks the fields by which the answer is known as the target's.
	head, body string
	// want is the body that the caller gets; wantStatus is 200 if it is 0.
	want       string
	wantStatus int
	field      string
}

// assertPassedOn checks that an answer of the target reaches the caller unchanged.
func (m *rawMesh) assertPassedOn(t *testing.T, c *emulator.Caller, kind int, r emulator.Request, a soundAnswer, answer func(x *emulator.RawExchange)) {
	t.Helper()
	const tries = 3
	m.ask(t, c, kind, r, tries, answer, func(reply emulator.Reply) {
		assert.NilError(t, reply.Err)
		assert.Equal(t, reply.Status, max(a.wantStatus, http.StatusOK))
		assert.Assert(t, reply.IsSigned(), "%v", reply.Header)
		assert.Equal(t, string(reply.Body), a.want)
		assert.Equal(t, reply.Header.Get("X-Field"), a.field)
	})
}

// TestSoundAnswers guards against checks of answers that refuse more than what is broken.
func TestSoundAnswers(t *testing.T) {
	m := newRawMesh(t, soundSeed)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(rawBody))
	long := strings.Repeat("v", 20<<10)
	answers := []soundAnswer{
		{name: "no length", head: "HTTP/1.1 200 OK\r\n\r\n", body: rawBody, want: rawBody},
		{name: "no length, HTTP/1.0", head: "HTTP/1.0 200 OK\r\n\r\n", body: rawBody, want: rawBody},
		{name: "no length and no body", head: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "a long body without a length", head: "HTTP/1.1 200 OK\r\n\r\n", body: strings.Repeat(long, 20), want: strings.Repeat(long, 20)},
		{name: "no reason", head: "HTTP/1.1 200\r\n" + length + "\r\n", body: rawBody, want: rawBody},
		{name: "interim answers", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n", body: rawBody, want: rawBody},
		{name: "chunks with extensions and trailers", head: "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "3;a=b\r\nthe\r\n4\r\n end\r\n0;last\r\nX-Sum: 7\r\nX-Other:\r\n\r\n", want: "the end"},
		{name: "chunks and a length", head: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n", body: "3\r\nthe\r\n0\r\n\r\n", want: "the"},
		{name: "one length twice", head: "HTTP/1.1 200 OK\r\n" + length + length + "\r\n", body: rawBody, want: rawBody},
		{name: "line feeds alone", head: "HTTP/1.1 200 OK\nX-Field: v\n" + strings.ReplaceAll(length, "\r", "") + "\n", body: rawBody, want: rawBody, field: "v"},
		{name: "a name of rare characters", head: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: v\r\nx-FIELD:v\r\n" + length + "\r\n", body: rawBody, want: rawBody, field: "v"},
		{name: "blanks around a value", head: "HTTP/1.1 200 OK\r\nX-Field: \t a \t b \t \r\n" + length + "\r\n", body: rawBody, want: rawBody, field: "a \t b"},
		{name: "an empty value", head: "HTTP/1.1 200 OK\r\nX-Field:\r\n" + length + "\r\n", body: rawBody, want: rawBody},
		{name: "bytes above 127", head: "HTTP/1.1 200 OK\r\nX-Field: caf\xe9\r\n" + length + "\r\n", body: rawBody, want: rawBody, field: "caf\xe9"},
		{name: "a long head", head: "HTTP/1.1 200 OK\r\nX-Field: " + long + "\r\nX-Long: " + long + "\r\n" + length + "\r\n", body: rawBody, want: rawBody, field: long},
		{name: "HEAD", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n" + length + "\r\n"},
		{name: "HEAD without a length", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "HEAD with chunks", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{name: "204", head: "HTTP/1.1 204 No Content\r\n\r\n", wantStatus: http.StatusNoContent},
		{name: "304 with a length", head: "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n", wantStatus: http.StatusNotModified},
		{name: "304 without a length", head: "HTTP/1.1 304 Not Modified\r\n\r\n", wantStatus: http.StatusNotModified},
	}
	for _, status := range []int{200, 201, 205, 206, 226, 299, 300, 302, 399, 400, 404, 418, 451, 499, 500, 502, 504, 511, 599, 600, 799, 999} {
		answers = append(answers, soundAnswer{
			name: fmt.Sprint("status ", status), head: fmt.Sprintf("HTTP/1.1 %d Text\r\n%s\r\n", status, length), body: rawBody, want: rawBody, wantStatus: status,
		})
	}
	for _, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			m.atBothNodes(t, 0, func(t *testing.T, c *emulator.Caller) {
				r := kinds()[0]
				r.Method = a.method
				m.assertPassedOn(t, c, 0, r, a, func(x *emulator.RawExchange) {
					// The fields go into the last head, in front of the empty line that ends it.
					end := strings.LastIndex(strings.TrimRight(a.head, "\r\n"), "\n") + 1
					x.Write(a.head[:end] + endFields(a.head[end:], x.Fields(a.want)) + a.body)
				})
			})
		})
	}
}

// endFields puts fields behind the last line of a head.
func endFields(last, fields string) string {
	line := strings.TrimRight(last, "\r\n")
	return line + "\r\n" + fields + "\r\n"
}

// TestEarlyAnswers guards against early answers to uploads that are lost: the target answers
// before it has read the body, and then reads on or closes the connection.
func TestEarlyAnswers(t *testing.T) {
	m := newRawMesh(t, soundSeed+2)
	upload := kinds()[2]
	upload.Bytes = brokenUploadBytes
	long := strings.Repeat("part of a body; ", 4000)
	for name, early := range map[string]struct {
		framing, body string
		readsOn       bool
	}{
		"with a length, reads on":       {fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, true},
		"with a length, closes":         {fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, false},
		"in chunks, reads on":           {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), true},
		"in chunks, closes":             {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), false},
		"without a length, then closes": {"", long, false},
	} {
		t.Run(name, func(t *testing.T) {
			m.atBothNodes(t, 2, func(t *testing.T, c *emulator.Caller) {
				m.assertPassedOn(t, c, 2, upload, soundAnswer{want: long}, func(x *emulator.RawExchange) {
					time.Sleep(5 * time.Millisecond)
					x.Write("HTTP/1.1 200 OK\r\n" + x.Fields(long) + early.framing + "\r\n" + early.body)
					x.Keep = early.readsOn
					if !early.readsOn {
						// The target ends its side and goes on, so that what it has not read resets the
						// connection only after the end of the answer.
						_ = x.Conn.CloseWrite()
						time.Sleep(20 * time.Millisecond)
					}
				})
			})
		})
	}
}
