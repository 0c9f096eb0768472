package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPagesAgreeWithTheCode(t *testing.T) {
	for _, p := range pages() {
		t.Run(p.Name, func(t *testing.T) {
			kept, err := os.ReadFile(filepath.Join("..", "..", "docs", p.Name))
			assert.NilError(t, err)
			assert.Equal(t, string(kept), p.Text, "run: go run ./internal/documenter")
		})
	}
}
