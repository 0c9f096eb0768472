package commander

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// traced runs "trace" on the logs of testdata.
func traced(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errOut strings.Builder
	c := New(&out, &errOut)
	assert.Equal(t, c.Run(t.Context(), append([]string{"trace"}, args...)), want, "%s", errOut.String())
	return out.String() + errOut.String()
}

func TestTrace(t *testing.T) {
	t.Run("a refusal, on the nodes that it touched", func(t *testing.T) {
		golden.Assert(t, traced(t, ExitDone, "r-7", "--logs", "testdata/logs"), "trace.golden")
	})
	t.Run("as JSON", func(t *testing.T) {
		golden.Assert(t, traced(t, ExitDone, "r-7", "--logs", "testdata/logs", "--output", "json"), "trace-json.golden")
	})
	t.Run("from one file", func(t *testing.T) {
		assert.Assert(t, strings.Contains(traced(t, ExitDone, "r-8", "--logs", "testdata/logs/reyk-a-4.log"), "request-answered"))
	})
	t.Run("a request that no line names", func(t *testing.T) {
		assert.Assert(t, strings.Contains(traced(t, ExitRefused, "r-9", "--logs", "testdata/logs"), "GB0424"))
	})
	t.Run("logs that are not there", func(t *testing.T) { traced(t, ExitUsage, "r-7", "--logs", "testdata/none") })
	t.Run("no logs are named", func(t *testing.T) {
		assert.Equal(t, New(io.Discard, io.Discard).Run(t.Context(), []string{"trace", "r-7"}), ExitUsage)
	})
}
