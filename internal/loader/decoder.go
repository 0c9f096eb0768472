package loader

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder fills a struct from YAML nodes and collects problems instead of
// stopping at the first.
type decoder struct {
	problems []Problem
	// lines holds the line of each key that the file sets.
	lines map[string]int
	// broken holds keys that already have a problem, so that no key is reported twice.
	broken map[string]bool
}

func newDecoder() *decoder {
	return &decoder{lines: map[string]int{}, broken: map[string]bool{}}
}

func (d *decoder) fail(key string, line int, format string, args ...any) {
	if d.broken[key] {
		return
	}
	d.broken[key] = true
	d.problems = append(d.problems, Problem{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeDocument(doc *yaml.Node, s *Settings) {
	v := reflect.ValueOf(s).Elem()
	if len(doc.Content) == 0 {
		d.decodeStruct(&yaml.Node{Kind: yaml.MappingNode}, v, "")
		return
	}
	d.decodeStruct(doc.Content[0], v, "")
}

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, parent string) {
	if n.Kind != yaml.MappingNode {
		d.fail(join(parent, "file"), n.Line, "expected keys and values")
		return
	}
	fields := fieldsByKey(v)
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.decodeEntry(n.Content[i], n.Content[i+1], fields, parent)
	}
	for key, f := range fields {
		if _, set := d.lines[join(parent, key)]; !set {
			d.fillMissing(f, join(parent, key))
		}
	}
}

func (d *decoder) decodeEntry(keyNode, value *yaml.Node, fields map[string]structField, parent string) {
	key := join(parent, keyNode.Value)
	f, known := fields[keyNode.Value]
	if !known {
		d.fail(key, keyNode.Line, "unknown key")
		return
	}
	if first, twice := d.lines[key]; twice {
		d.fail(key, keyNode.Line, "stands twice, first on line %d", first)
		return
	}
	d.lines[key] = keyNode.Line
	d.decodeValue(value, f, key)
}

type structField struct {
	value reflect.Value
	tag   reflect.StructTag
}

func fieldsByKey(v reflect.Value) map[string]structField {
	out := map[string]structField{}
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		out[tag.Get("yaml")] = structField{value: v.Field(i), tag: tag}
	}
	return out
}

func (d *decoder) decodeValue(n *yaml.Node, f structField, key string) {
	switch f.value.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, f.value, key)
	case reflect.Slice:
		d.decodeList(n, f.value, key)
	case reflect.Int:
		d.decodeInt(n, f, key)
	default:
		d.decodeString(n, f, key)
	}
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.SequenceNode {
		d.fail(key, n.Line, "expected a list")
		return
	}
	for _, item := range n.Content {
		if item.Kind != yaml.ScalarNode {
			d.fail(key, item.Line, "expected a list of plain values")
			return
		}
		v.Set(reflect.Append(v, reflect.ValueOf(item.Value)))
	}
}

func (d *decoder) decodeInt(n *yaml.Node, f structField, key string) {
	i, err := strconv.Atoi(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.fail(key, n.Line, "expected a whole number without a unit, not %q", n.Value)
		return
	}
	lowest, _ := strconv.Atoi(f.tag.Get("min"))
	highest, _ := strconv.Atoi(f.tag.Get("max"))
	if i < lowest || i > highest {
		d.fail(key, n.Line, "must be from %d to %d, not %d", lowest, highest, i)
		return
	}
	f.value.SetInt(int64(i))
}

func (d *decoder) decodeString(n *yaml.Node, f structField, key string) {
	if n.Kind != yaml.ScalarNode {
		d.fail(key, n.Line, "expected a plain value")
		return
	}
	if allowed := f.tag.Get("oneof"); allowed != "" && !contains(strings.Fields(allowed), n.Value) {
		d.fail(key, n.Line, "must be one of %s, not %q", strings.ReplaceAll(allowed, " ", ", "), n.Value)
		return
	}
	f.value.SetString(n.Value)
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

// fillMissing sets the default of a key that the file leaves out. Groups of
// keys are filled key by key.
func (d *decoder) fillMissing(f structField, key string) {
	switch f.value.Kind() {
	case reflect.Struct:
		d.decodeStruct(&yaml.Node{Kind: yaml.MappingNode}, f.value, key)
	case reflect.Int:
		i, _ := strconv.Atoi(f.tag.Get("default"))
		f.value.SetInt(int64(i))
	case reflect.String:
		f.value.SetString(f.tag.Get("default"))
	}
}
