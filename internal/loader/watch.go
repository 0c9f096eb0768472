package loader

import (
	"context"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"gentianbarrow.example/internal/decoder"
)

// watchEvery is how often the file is read again: it may change without a signal.
const watchEvery = 2 * time.Second

// Change is what came of reading the settings file again.
type Reload struct {
	// Settings as they are now; the former ones when Err is not nil.
	Settings Settings
	// Keys that differ, in order.
	Keys []string
	// Signalled tells that a signal asked for it.
	Signalled bool
	// Err tells why the file is refused; the former settings stay in use.
	Err error
}

// Watch reads the file again at each signal and every few seconds until ctx
// ends, and reports each change, each refusal once, and each signal.
func Watch(ctx context.Context, path string, current Settings, signals <-chan os.Signal, report func(Reload)) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	refused := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		next, err := Load(path)
		if err != nil {
			if signalled || err.Error() != refused {
				report(Reload{Settings: current, Signalled: signalled, Err: err})
			}
			refused = err.Error()
			continue
		}
		refused = ""
		keys := differing(reflect.ValueOf(current), reflect.ValueOf(next), "")
		current = next
		if signalled || len(keys) > 0 {
			report(Reload{Settings: next, Keys: keys, Signalled: signalled})
		}
	}
}

// differing names the keys in which two settings differ.
func differing(a, b reflect.Value, parent string) []string {
	var keys []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		key := decoder.Join(parent, name)
		switch {
		case a.Field(i).Kind() == reflect.Struct:
			keys = append(keys, differing(a.Field(i), b.Field(i), key)...)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
