package commander

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// runTrace runs "trace", checks the exit code and returns the output and errors.
func runTrace(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errOut strings.Builder
	c := New(&out, &errOut)
	assert.Equal(t, c.Run(t.Context(), append([]string{"trace"}, args...)), want, "%s", errOut.String())
	return out.String() + errOut.String()
}

func TestTrace(t *testing.T) {
	t.Run("a refused request with the events of the involved nodes", func(t *testing.T) {
		golden.Assert(t, runTrace(t, ExitDone, "r-7", "--logs", "testdata/logs"), "trace.golden")
	})
	t.Run("as JSON", func(t *testing.T) {
		golden.Assert(t, runTrace(t, ExitDone, "r-7", "--logs", "testdata/logs", "--output", "json"), "trace-json.golden")
	})
	t.Run("from one file", func(t *testing.T) {
		assert.Assert(t, strings.Contains(runTrace(t, ExitDone, "r-8", "--logs", "testdata/logs/reyk-a-4.log"), "request-answered"))
	})
	t.Run("a request of a firm", func(t *testing.T) {
		text := runTrace(t, ExitDone, "r-10", "--logs", "testdata/logs")
		assert.Assert(t, strings.Contains(text, "firm-over-limit, route read, service roster, firm rocklea"), text)
	})
	t.Run("a request that is not in the logs", func(t *testing.T) {
		assert.Assert(t, strings.Contains(runTrace(t, ExitRefused, "r-9", "--logs", "testdata/logs"), "GB0424"))
	})
	t.Run("logs that do not exist", func(t *testing.T) { runTrace(t, ExitUsage, "r-7", "--logs", "testdata/none") })
	t.Run("no logs", func(t *testing.T) {
		assert.Equal(t, New(io.Discard, io.Discard).Run(t.Context(), []string{"trace", "r-7"}), ExitUsage)
	})
}
