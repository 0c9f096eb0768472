// Package decoder decodes YAML files strictly into structs. It reports every
// problem of a file at once, each with its line and key: unknown, duplicate and
// missing keys, wrong types, values out of bounds.
//
// The struct's tags say what is allowed: "yaml" names the key, with omitempty
// for an optional one; "default" is the value of a key that is left out; "min"
// and "max" bound a number, and "oneof" lists the allowed values of a string.
//
//	var s Settings
//	err := decoder.Decode(data, &s, func(d *decoder.Decoder) {
//		if s.From == s.To {
//			d.Reportf("to", "is the same as from")
//		}
//	})
package decoder

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decoder fills a struct from YAML nodes.
type Decoder struct {
	problems []Problem
	// lines holds the line of each key of the file.
	lines map[string]int
	// reported holds the keys that have a problem, so that each has at most one.
	reported map[string]bool
}

// anchorProblem is the problem of a file with anchors or aliases.
const anchorProblem = "anchors and aliases are not allowed: a file is read as it stands"

// Decode fills the struct that v points to, and calls check to report problems
// that the tags cannot express. It returns *InvalidError with all problems, in
// order of line.
func Decode(data []byte, v any, check func(d *Decoder)) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		text := err.Error()
		if strings.Contains(text, "unknown anchor") {
			// The error quotes what follows the asterisk, which may be a secret.
			text = anchorProblem
		}
		return &InvalidError{Problems: []Problem{{Line: 1, Key: "file", Text: text}}}
	}
	root := &yaml.Node{Kind: yaml.MappingNode, Line: 1}
	if len(doc.Content) > 0 {
		root = doc.Content[0]
	}
	d := &Decoder{lines: map[string]int{}, reported: map[string]bool{}}
	d.decode(root, field{value: reflect.ValueOf(v).Elem()}, "")
	check(d)
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Problems: d.problems}
}

// Reportf reports a problem of a key, unless the key or one of its parents has
// one already.
func (d *Decoder) Reportf(key, format string, args ...any) {
	for parent := key; parent != ""; parent = parentKey(parent) {
		if d.reported[parent] {
			return
		}
	}
	d.reportAt(d.lineOf(key), key, format, args...)
}

// reportAt reports a problem of a key, unless the key has one already.
func (d *Decoder) reportAt(line int, key, format string, args ...any) {
	if d.reported[key] {
		return
	}
	d.reported[key] = true
	d.problems = append(d.problems, Problem{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a key, or of its nearest parent in the file; 1 when
// there is none.
func (d *Decoder) lineOf(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := d.lines[key]; ok {
			return line
		}
	}
	return 1
}

// Join returns the path of a key below a parent; either may be empty.
func Join(parent, key string) string {
	if parent == "" || key == "" {
		return parent + key
	}
	return parent + "." + key
}

// parentKey returns the path of the key's parent; empty when it has none.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}
