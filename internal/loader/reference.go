package loader

import (
	"fmt"
	"reflect"
	"strings"

	"gentianbarrow.example/internal/decoder"
)

// Reference returns docs/SETTINGS.md: every key with its meaning, default and bounds.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\n")
	b.WriteString("One YAML file a node. `gentian-node --check-settings --settings FILE` checks it and starts nothing.\n")
	b.WriteString("All problems are reported at once, with line and key; the exit code is then 2.\n\n")
	b.WriteString("| key | meaning | default | bounds |\n|---|---|---|---|\n")
	describe(&b, reflect.TypeFor[Settings](), "")
	return b.String()
}

func describe(b *strings.Builder, t reflect.Type, parent string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		key := decoder.Join(parent, name)
		if f.Type.Kind() == reflect.Struct {
			describe(b, f.Type, key)
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, f.Tag.Get("doc"), defaultOf(f), boundsOf(f))
	}
}

func defaultOf(f reflect.StructField) string {
	if v, ok := f.Tag.Lookup("default"); ok {
		return "`" + v + "`"
	}
	if f.Type.Kind() == reflect.Slice {
		return "none"
	}
	return "required"
}

func boundsOf(f reflect.StructField) string {
	if lowest, ok := f.Tag.Lookup("min"); ok {
		return lowest + " to " + f.Tag.Get("max")
	}
	return strings.ReplaceAll(f.Tag.Get("oneof"), " ", ", ")
}
