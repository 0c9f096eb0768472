package loader

import (
	"fmt"
	"reflect"
	"strings"

	"gentianbarrow.example/internal/decoder"
)

// Reference returns the text of docs/SETTINGS.md: every key with its meaning, default
// and bounds.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\n")
	b.WriteString("Each node has one YAML file. `gentian-node --check-settings --settings FILE` checks it without starting the node.\n")
	b.WriteString("It reports all problems at once, with line and key, and then exits with code 2.\n\n")
	b.WriteString("| key | meaning | default | bounds |\n|---|---|---|---|\n")
	describeFields(&b, reflect.TypeFor[Settings](), "")
	return b.String()
}

func describeFields(b *strings.Builder, t reflect.Type, parent string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		key := decoder.Join(parent, name)
		if f.Type.Kind() == reflect.Struct {
			describeFields(b, f.Type, key)
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, f.Tag.Get("doc"), formatDefault(f), formatBounds(f))
	}
}

func formatDefault(f reflect.StructField) string {
	if v, ok := f.Tag.Lookup("default"); ok {
		return "`" + v + "`"
	}
	if f.Type.Kind() == reflect.Slice {
		return "none"
	}
	return "required"
}

func formatBounds(f reflect.StructField) string {
	if minimum, ok := f.Tag.Lookup("min"); ok {
		return minimum + " to " + f.Tag.Get("max")
	}
	return strings.ReplaceAll(f.Tag.Get("oneof"), " ", ", ")
}
