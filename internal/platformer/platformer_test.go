package platformer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/storer"
)

// assertAnswer makes a call and checks its status and body.
func assertAnswer(t *testing.T, h http.Handler, method, path, body string, status int, want string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	got, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	assert.Equal(t, w.Code, status, "%s", got)
	assert.Assert(t, strings.Contains(string(got), want), "%s", got)
}

func TestAdmin(t *testing.T) {
	h := New(storer.NewFake()).Handler()
	t.Run("a switch takes effect and is told", func(t *testing.T) {
		assertAnswer(t, h, "PUT", "/admin/faults", `{"outage":true}`, 200, `"outage":true`)
		assertAnswer(t, h, "GET", "/admin/faults", "", 200, `"outage":true`)
		assertAnswer(t, h, "GET", "/v1/objects/a", "", 503, "outage")
		assertAnswer(t, h, "PUT", "/admin/faults", `{}`, 200, `"outage":false`)
		assertAnswer(t, h, "GET", "/v1/objects/a", "", 404, "does not exist")
	})
	t.Run("calls are counted, admin calls are not", func(t *testing.T) {
		assertAnswer(t, h, "GET", "/admin/counts", "", 200, `"reads":2,"writes":0`)
	})
	t.Run("rates", func(t *testing.T) {
		assertAnswer(t, h, "PUT", "/admin/rates", `{"reads-per-second":1}`, 200, "")
		assertAnswer(t, h, "GET", "/v1/objects/a", "", 404, "")
		assertAnswer(t, h, "GET", "/v1/objects/a", "", 429, "too many")
	})
	t.Run("an unknown switch", func(t *testing.T) {
		assertAnswer(t, h, "PUT", "/admin/faults", `{"outages":true}`, 400, "unknown field")
	})
}

func TestMalformedCalls(t *testing.T) {
	h := New(storer.NewFake()).Handler()
	t.Run("a write without a revision", func(t *testing.T) {
		assertAnswer(t, h, "PUT", "/v1/objects/a", "x", 400, "")
	})
	t.Run("a watch without a revision", func(t *testing.T) {
		assertAnswer(t, h, "GET", "/v1/watch/a", "", 400, "")
	})
}
