package dispatcher

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/answerer"
	"gentianbarrow.example/internal/validator"
)

func TestCheckHealth(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	address := strings.TrimPrefix(server.URL, "http://")
	t.Run("a healthy target", func(t *testing.T) {
		err := CheckHealth(t.Context(), address, "")
		assert.NilError(t, err)
	})
	t.Run("an unhealthy target", func(t *testing.T) {
		status = http.StatusServiceUnavailable
		var unhealthy *UnhealthyError
		err := CheckHealth(t.Context(), address, "")
		assert.Assert(t, errors.As(err, &unhealthy))
		assert.Equal(t, unhealthy.Status, status)
	})
	t.Run("an unreachable target", func(t *testing.T) {
		server.Close()
		err := CheckHealth(t.Context(), address, "")
		assert.Assert(t, err != nil)
	})
}

// TestBrokenHealthCheck guards against a health check that passes by an answer that is none.
func TestBrokenHealthCheck(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Field: v\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			a, err := answerer.Listen("127.0.0.1:0", answerer.Fixed(answer))
			assert.NilError(t, err)
			defer a.Close()
			var malformed *validator.MalformedError
			err = CheckHealth(t.Context(), a.Address, "")
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
		})
	}
}
