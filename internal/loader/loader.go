package loader

import (
	"fmt"
	"os"

	"gentianbarrow.example/internal/decoder"
)

// UnreadableError reports that the settings file could not be read.
type UnreadableError struct {
	Path  string
	Cause error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("settings file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Load reads and checks the settings file. Errors are of type *UnreadableError or
// *decoder.InvalidError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &UnreadableError{Path: path, Cause: err}
	}
	return Parse(data)
}

// Parse decodes and checks settings. Errors are of type *decoder.InvalidError.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if err := decoder.Decode(data, &s, func(d *decoder.Decoder) { check(d, &s) }); err != nil {
		return Settings{}, err
	}
	return s, nil
}
