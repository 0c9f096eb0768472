// Package parser reads ticket files. It is strict, and reports every problem
// of a file at once with its line and key, unknown keys included.
//
//	draft, err := parser.Parse(data)
package parser

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

// Problem is one fault of a file.
type Problem struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Key is the path to the value, as in "services[0].slots".
	Key string `json:"key"`
	// Text says what is wrong, without the key.
	Text string `json:"text"`
}

// String returns the problem as people read it.
func (p Problem) String() string { return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text) }

// InvalidError holds every problem of a ticket file, in order of line. Source: the file.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a ticket file. It returns *InvalidError.
func Parse(data []byte) (ticketer.Draft, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return ticketer.Draft{}, &InvalidError{Problems: []Problem{{Line: 1, Key: "file", Text: err.Error()}}}
	}
	root := &yaml.Node{Kind: yaml.MappingNode, Line: 1}
	if len(doc.Content) > 0 {
		root = doc.Content[0]
	}
	var d ticketer.Draft
	dec := &decoder{lines: map[string]int{}, broken: map[string]bool{}}
	dec.decode(root, reflect.ValueOf(&d).Elem(), "")
	dec.checkChange(d.Change)
	if len(dec.problems) == 0 {
		return d, nil
	}
	slices.SortStableFunc(dec.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return ticketer.Draft{}, &InvalidError{Problems: dec.problems}
}

// checkChange adds what the rules for tickets say about the values, unless the
// key has a problem already.
func (d *decoder) checkChange(c snapshotter.Change) {
	var refused *snapshotter.RefusedError
	if !errors.As(snapshotter.Check(c), &refused) {
		return
	}
	d.checkRefusal(c, *refused)
	for _, more := range refused.More {
		d.checkRefusal(c, more)
	}
}

func (d *decoder) checkRefusal(c snapshotter.Change, e snapshotter.RefusedError) {
	key := "file"
	if place := locate(c, e.Resource); place != "" {
		key = join(place, e.Field)
	}
	for parent := key; parent != ""; parent = parentOf(parent) {
		if d.broken[parent] {
			return
		}
	}
	d.fail(d.lineOf(key), key, "%s (rule %s)", e.Detail, e.Rule)
}

// locate returns the path of a resource in the change. Of two with one name it
// is the last.
func locate(c snapshotter.Change, resource string) string {
	for i, s := range slices.Backward(c.Services) {
		if resource == "service "+s.Name {
			return fmt.Sprintf("services[%d]", i)
		}
	}
	for i, r := range slices.Backward(c.Routes) {
		if resource == "route "+r.Name {
			return fmt.Sprintf("routes[%d]", i)
		}
	}
	return ""
}

func parentOf(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// lineOf returns the line of a key, or of the nearest parent that the file has.
func (d *decoder) lineOf(key string) int {
	for ; key != ""; key = parentOf(key) {
		if line, ok := d.lines[key]; ok {
			return line
		}
	}
	return 1
}
