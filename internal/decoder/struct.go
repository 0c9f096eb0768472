package decoder

import (
	"maps"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// field is a field of a struct with its tags.
type field struct {
	value    reflect.Value
	tag      reflect.StructTag
	optional bool
}

// fieldsOf returns the fields by key, those of inlined structs included, and the
// keys in the order of the fields.
func fieldsOf(v reflect.Value) (map[string]field, []string) {
	fields := map[string]field{}
	var keys []string
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		name, options, _ := strings.Cut(tag.Get("yaml"), ",")
		if options == "inline" {
			inner, innerKeys := fieldsOf(v.Field(i))
			maps.Copy(fields, inner)
			keys = append(keys, innerKeys...)
		}
		if name == "-" || name == "" {
			continue
		}
		fields[name] = field{value: v.Field(i), tag: tag, optional: options == "omitempty"}
		keys = append(keys, name)
	}
	return fields, keys
}

func (d *Decoder) decodeStruct(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.MappingNode {
		d.reportAt(n.Line, key, "expected keys and values")
		return
	}
	fields, keys := fieldsOf(v)
	firstLines := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.decodeEntry(n.Content[i], n.Content[i+1], key, fields, firstLines)
	}
	for _, name := range keys {
		if firstLines[name] == 0 {
			d.fillMissing(n.Line, fields[name], Join(key, name))
		}
	}
}

func (d *Decoder) decodeEntry(name, value *yaml.Node, parent string, fields map[string]field, firstLines map[string]int) {
	key := Join(parent, name.Value)
	f, known := fields[name.Value]
	if !known {
		d.reportAt(name.Line, key, "unknown key")
		return
	}
	if first := firstLines[name.Value]; first != 0 {
		d.reportAt(name.Line, key, "stands twice, first on line %d", first)
		return
	}
	firstLines[name.Value] = name.Line
	d.lines[key] = name.Line
	d.decode(value, f, key)
}

// fillMissing sets the default of a key that the file leaves out, and reports a
// key without a default unless it is optional. When a struct is left out, its
// keys are filled one by one.
func (d *Decoder) fillMissing(line int, f field, key string) {
	value, hasDefault := f.tag.Lookup("default")
	switch {
	case f.optional:
	case f.value.Kind() == reflect.Struct:
		d.decodeStruct(&yaml.Node{Kind: yaml.MappingNode, Line: line}, f.value, key)
	case hasDefault:
		d.decode(&yaml.Node{Kind: yaml.ScalarNode, Value: value, Line: line}, f, key)
	default:
		d.reportAt(line, key, "is missing")
	}
}
