package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gentianbarrow.example/internal/parser"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestFirms checks that the ticket file of the example is accepted, and that its digest is
// the one that "gentianctl key digest" prints for the key in its comment.
func TestFirms(t *testing.T) {
	draft, err := parser.Parse(golden.Get(t, "../firms.yaml"))
	assert.NilError(t, err)
	s, err := snapshotter.Apply(snapshotter.Empty(), draft.Change, 1)
	assert.NilError(t, err)
	firm, ok := snapshotter.KeyOwner(s, "an-example-and-no-secret")
	assert.Assert(t, ok)
	assert.Equal(t, firm.Name, "paza")
}

func TestRun(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, run(t.Context(), &out))
	golden.Assert(t, out.String(), "output.golden")
}
