package loader

import (
	"cmp"
	"os"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Load reads and checks the settings file. It returns *UnreadableError or
// *InvalidError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &UnreadableError{Path: path, Cause: err}
	}
	return Parse(data)
}

// Parse reads and checks settings. It returns *InvalidError with every problem, in order of line.
func Parse(data []byte) (Settings, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return Settings{}, &InvalidError{Problems: []Problem{{Key: "file", Text: err.Error()}}}
	}
	var s Settings
	d := newDecoder()
	d.decodeDocument(&doc, &s)
	d.check(&s)
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, &InvalidError{Problems: d.problems}
	}
	return s, nil
}
