package dispatcher

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
