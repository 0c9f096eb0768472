package parser

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder fills a value from YAML nodes. Keys without "omitempty" in their
// yaml tag must be present.
type decoder struct {
	problems []Problem
	// lines holds the line of each key of the file.
	lines map[string]int
	// broken holds the keys that have a problem, so that none is reported twice.
	broken map[string]bool
}

func (d *decoder) fail(line int, key, format string, args ...any) {
	if d.broken[key] {
		return
	}
	d.broken[key] = true
	d.problems = append(d.problems, Problem{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func join(parent, key string) string {
	if parent == "" || key == "" {
		return parent + key
	}
	return parent + "." + key
}

func (d *decoder) decode(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.fail(n.Line, key, "anchors and aliases are not allowed: a ticket is read as it stands")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, key)
	case reflect.Slice:
		d.decodeList(n, v, key)
	case reflect.Int:
		d.decodeInt(n, v, key)
	case reflect.Bool:
		d.decodeBool(n, v, key)
	default:
		d.decodeString(n, v, key)
	}
}

// field is a field of a struct with what its yaml tag says.
type field struct {
	value    reflect.Value
	optional bool
}

// fieldsOf returns the fields by key, those of inlined structs included, and the keys in order.
func fieldsOf(v reflect.Value) (map[string]field, []string) {
	fields := map[string]field{}
	var order []string
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if options == "inline" {
			inner, names := fieldsOf(v.Field(i))
			maps.Copy(fields, inner)
			order = append(order, names...)
		}
		if name == "-" || name == "" {
			continue
		}
		fields[name] = field{value: v.Field(i), optional: options == "omitempty"}
		order = append(order, name)
	}
	return fields, order
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.MappingNode {
		d.fail(n.Line, key, "expected keys and values")
		return
	}
	fields, order := fieldsOf(v)
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.decodeEntry(n.Content[i], n.Content[i+1], key, fields, seen)
	}
	for _, name := range order {
		if seen[name] == 0 && !fields[name].optional {
			d.fail(n.Line, join(key, name), "is missing")
		}
	}
}

func (d *decoder) decodeEntry(name, value *yaml.Node, parent string, fields map[string]field, seen map[string]int) {
	key := join(parent, name.Value)
	f, known := fields[name.Value]
	if !known {
		d.fail(name.Line, key, "unknown key")
		return
	}
	if first := seen[name.Value]; first != 0 {
		d.fail(name.Line, key, "stands twice, first on line %d", first)
		return
	}
	seen[name.Value] = name.Line
	d.lines[key] = name.Line
	d.decode(value, f.value, key)
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.SequenceNode {
		d.fail(n.Line, key, "expected a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		itemKey := fmt.Sprintf("%s[%d]", key, i)
		d.lines[itemKey] = item.Line
		d.decode(item, list.Index(i), itemKey)
	}
	v.Set(list)
}

func (d *decoder) decodeInt(n *yaml.Node, v reflect.Value, key string) {
	i, err := strconv.ParseInt(n.Value, 10, 32)
	if n.Kind != yaml.ScalarNode || n.Tag != "!!int" || err != nil {
		d.fail(n.Line, key, "expected a whole number without a unit, not %q", n.Value)
		return
	}
	v.SetInt(i)
}

func (d *decoder) decodeBool(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.ScalarNode || !slices.Contains([]string{"true", "false"}, n.Value) {
		d.fail(n.Line, key, "expected true or false, not %q", n.Value)
		return
	}
	v.SetBool(n.Value == "true")
}

func (d *decoder) decodeString(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		d.fail(n.Line, key, "expected a text")
		return
	}
	v.SetString(n.Value)
}
