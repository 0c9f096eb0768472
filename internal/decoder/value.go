package decoder

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

func (d *Decoder) decode(n *yaml.Node, f field, key string) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.reportAt(n.Line, key, anchorProblem)
		return
	}
	switch f.value.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, f.value, key)
	case reflect.Slice:
		d.decodeList(n, f.value, key)
	case reflect.Int:
		d.decodeInt(n, f, key)
	case reflect.Array:
		d.decodeHex(n, f.value, key)
	case reflect.Bool:
		d.decodeBool(n, f.value, key)
	default:
		d.decodeString(n, f, key)
	}
}

func (d *Decoder) decodeList(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.SequenceNode {
		d.reportAt(n.Line, key, "expected a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		itemKey := fmt.Sprintf("%s[%d]", key, i)
		d.lines[itemKey] = item.Line
		d.decode(item, field{value: list.Index(i)}, itemKey)
	}
	v.Set(list)
}

func (d *Decoder) decodeInt(n *yaml.Node, f field, key string) {
	i, err := strconv.ParseInt(n.Value, 10, 32)
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!int" || err != nil {
		d.reportAt(n.Line, key, "expected a whole number without a unit, not %q", n.Value)
		return
	}
	if isOutOfBounds(i, f.tag) {
		d.reportAt(n.Line, key, "must be from %s to %s, not %d", f.tag.Get("min"), f.tag.Get("max"), i)
		return
	}
	f.value.SetInt(i)
}

// isOutOfBounds reports whether a number is outside the bounds that the tag sets,
// if any.
func isOutOfBounds(i int64, tag reflect.StructTag) bool {
	lowest, errMin := strconv.ParseInt(tag.Get("min"), 10, 64)
	highest, errMax := strconv.ParseInt(tag.Get("max"), 10, 64)
	return errMin == nil && i < lowest || errMax == nil && i > highest
}

// decodeHex decodes an array of bytes. A problem does not quote the value, as digests stand
// in place of secrets, and somebody may write a secret there by mistake.
func (d *Decoder) decodeHex(n *yaml.Node, v reflect.Value, key string) {
	raw, err := hex.DecodeString(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil || len(raw) != v.Len() {
		d.reportAt(n.Line, key, "expected %d hexadecimal digits", hex.EncodedLen(v.Len()))
		return
	}
	reflect.Copy(v, reflect.ValueOf(raw))
}

func (d *Decoder) decodeBool(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.ScalarNode || !slices.Contains([]string{"true", "false"}, n.Value) {
		d.reportAt(n.Line, key, "expected true or false, not %q", n.Value)
		return
	}
	v.SetBool(n.Value == "true")
}

func (d *Decoder) decodeString(n *yaml.Node, f field, key string) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		d.reportAt(n.Line, key, "expected a text")
		return
	}
	if allowed := strings.Fields(f.tag.Get("oneof")); len(allowed) > 0 && !slices.Contains(allowed, n.Value) {
		d.reportAt(n.Line, key, "must be one of %s, not %q", strings.Join(allowed, ", "), n.Value)
		return
	}
	f.value.SetString(n.Value)
}
