// Command documenter writes the reference pages that are made from the code.
// A test of this package fails when a page and the code disagree.
//
//	go run ./internal/documenter
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
)

const pageMode = 0o644

// page is a document that is made from the code.
type page struct {
	// Name of the file below docs/.
	Name string
	Text string
}

func pages() []page {
	return []page{
		{Name: "SETTINGS.md", Text: loader.Reference()},
		{Name: "EVENTS.md", Text: logger.Reference()},
		{Name: "METRICS.md", Text: meter.Reference()},
	}
}

func main() {
	for _, p := range pages() {
		path := filepath.Join("docs", p.Name)
		if err := os.WriteFile(path, []byte(p.Text), pageMode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
