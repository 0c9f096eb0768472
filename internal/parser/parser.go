// Package parser parses ticket files. It is strict, and reports every problem of
// a file at once, each with its line and key, unknown keys included.
//
//	draft, err := parser.Parse(data)
package parser

import (
	"errors"
	"fmt"
	"slices"

	"gentianbarrow.example/internal/decoder"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

// Parse parses a ticket file. It returns *decoder.InvalidError.
func Parse(data []byte) (ticketer.Draft, error) {
	var draft ticketer.Draft
	err := decoder.Decode(data, &draft, func(d *decoder.Decoder) {
		for i, f := range draft.Change.Firms {
			snapshotter.SortKeys(f.Keys)
			if len(f.Keys) > 1 && f.Keys[1] == (snapshotter.Digest{}) {
				// More than one digest was not read, which the decoder has reported.
				draft.Change.Firms[i].Keys = nil
			}
		}
		checkChange(d, draft.Change)
	})
	if err != nil {
		return ticketer.Draft{}, err
	}
	return draft, nil
}

// checkChange reports the rules that the change breaks, each for its key, unless
// the key has a problem already.
func checkChange(d *decoder.Decoder, c snapshotter.Change) {
	var refused *snapshotter.RefusedError
	if !errors.As(snapshotter.ValidateChange(c), &refused) {
		return
	}
	reportRefusal(d, c, *refused)
	for _, more := range refused.More {
		reportRefusal(d, c, more)
	}
}

// reportRefusal reports one violation for the key that it names, or for the whole
// file when the resource is not found in the change.
func reportRefusal(d *decoder.Decoder, c snapshotter.Change, e snapshotter.RefusedError) {
	key := "file"
	if path := locate(c, e.Resource); path != "" {
		key = decoder.Join(path, e.Field)
	}
	d.Reportf(key, "%s (rule %s)", e.Detail, e.Rule)
}

// locate returns the path of a resource in the change, such as "services[0]";
// empty when there is none. Of two resources with the same name it takes the
// last.
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
	for i, f := range slices.Backward(c.Firms) {
		if resource == "firm "+f.Name {
			return fmt.Sprintf("firms[%d]", i)
		}
	}
	return ""
}
