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

// reloadInterval is the interval at which the file is read again without a signal.
const reloadInterval = 2 * time.Second

// Reload is the result of reading the settings file again.
type Reload struct {
	// Settings are the current settings, or the previous ones if Err is not nil.
	Settings Settings
	// Keys lists the changed keys in sorted order.
	Keys []string
	// Signalled is set if a signal requested the reload.
	Signalled bool
	// Err is the reason why the file is not valid. The previous settings stay in use.
	Err error
}

// Watch reads the file again at each signal and at a fixed interval until ctx ends.
// It reports each reload after a signal, each change, and each error once in a row.
func Watch(ctx context.Context, path string, current Settings, signals <-chan os.Signal, report func(Reload)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastError := ""
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
			if signalled || err.Error() != lastError {
				report(Reload{Settings: current, Signalled: signalled, Err: err})
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		keys := changedKeys(reflect.ValueOf(current), reflect.ValueOf(next), "")
		current = next
		if signalled || len(keys) > 0 {
			report(Reload{Settings: next, Keys: keys, Signalled: signalled})
		}
	}
}

// changedKeys returns the sorted keys whose values differ between two settings.
func changedKeys(a, b reflect.Value, parent string) []string {
	var keys []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		key := decoder.Join(parent, name)
		switch {
		case a.Field(i).Kind() == reflect.Struct:
			keys = append(keys, changedKeys(a.Field(i), b.Field(i), key)...)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
