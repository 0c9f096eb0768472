package validator

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/answerer"
)

// TestTransport guards against malformed answers that net/http accepts, and against further
// requests on the connections of such answers.
func TestTransport(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	for head, want := range map[string]Rule{
		"HTTP/1.1 200 OK\r\n" + length:                              "",
		"HTTP/1.0 299 OK\r\n" + length:                              "",
		"HTTP/1.1 999 Text\r\nX-Field:\r\n" + length:                "",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length: "",
		"HTTP/1.1 000 Text\r\n" + length:                            RuleStatus,
		"HTTP/1.1 +20 Text\r\n" + length:                            RuleStatus,
		"HTTP/1.1 101 Text\r\n" + length:                            RuleStatus,
		"HTTP/2.0 200 OK\r\n" + length:                              RuleVersion,
		"HTTP/1.1 200 O\x01K\r\n" + length:                          RuleStatusLine,
		"HTTP/1.1 200 OK\r\nX Field: v\r\n" + length:                RuleFieldName,
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n" + length:        RuleFieldName,
	} {
		t.Run(head, func(t *testing.T) {
			a, err := answerer.Listen("127.0.0.1:0", answerer.Fixed(head+"\r\n{}"))
			assert.NilError(t, err)
			defer a.Close()
			base := &http.Transport{}
			defer base.CloseIdleConnections()
			client := &http.Client{Transport: &Transport{Base: base}}
			for range 2 {
				resp, err := client.Get("http://" + a.Address)
				assertRule(t, err, want)
				if want != "" {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "{}")
				assert.NilError(t, resp.Body.Close())
			}
			if want != "" {
				assert.Equal(t, a.Reused(), 0, "the connection was used again")
			}
		})
	}
}
