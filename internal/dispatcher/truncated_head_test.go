package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/retrier"
)

// TestTruncatedHead guards against a target that stops in the middle of an answer's head
// and closes its connection: callers must not get an empty answer that looks whole.
func TestTruncatedHead(t *testing.T) {
	for name, framing := range map[string]string{
		"without a length": "",
		"with a length":    "Content-Length: 14\r\n",
		"in chunks":        "Transfer-Encoding: chunked\r\n",
		"closing":          "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			dialect := signedDialect()
			head := "HTTP/1.1 200 OK\r\n" + framing + dialect.RequestID + ": r-1\r\n" + dialect.Signature + ": 3e1b.07\r\n\r\n"
			for end := range len(head) {
				synctest.Test(t, func(t *testing.T) {
					target := &fakeTarget{serve: func(_ int, c net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err == nil {
							_, _ = io.WriteString(c, head[:end])
						}
					}}
					client := NewHTTP(WithDial(target.dial), WithDialect(dialect))
					a := client.Dispatch(context.Background(), "target:1", testRequest("r-1"))
					assert.Equal(t, a.Outcome, retrier.OutcomeUnknown, "after %q", lastLine(head[:end]))
					a.Close()
					client.Close()
					target.group.Wait()
				})
			}
		})
	}
}

func lastLine(text string) string {
	return text[strings.LastIndex(strings.TrimRight(text, "\r\n"), "\n")+1:]
}
