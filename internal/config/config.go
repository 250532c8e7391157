// Package config reads and checks the platform's settings (TOML) and the operator's settings (HCL). Settings
// hold durations in the unit of the files, mostly seconds. Code that uses them converts them to whole
// microseconds.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Micros is a duration or a point in time in whole microseconds.
type Micros = int64

// Second is a second in microseconds.
const Second Micros = 1_000_000

// Micro converts seconds to microseconds.
func Micro(seconds float64) Micros { return Micros(math.Round(seconds * float64(Second))) }

// FieldError reports which setting has an invalid value, and why it is invalid.
type FieldError struct {
	Field   string // name of the setting in the file
	Problem string
}

// Error returns the field and the problem as one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// SyntaxError reports the position at which a file can't be decoded as settings.
type SyntaxError struct {
	File    string // path of the file; empty for the platform's settings, to which the caller adds the path
	Line    int
	Problem string
	Err     error // error from the decoder, or nil
}

// Error returns the position and the problem as one line.
func (e *SyntaxError) Error() string {
	if e.File == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Load reads the platform's file and, if operatorPath is not empty, the operator's HCL file.
// An error is one line that names the file and the field.
func Load(path, operatorPath string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if operatorPath != "" {
		if err := settings.LoadOperator(operatorPath); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// Parse reads and checks the platform's settings and sets the operator's settings to their defaults. Unknown
// fields are ignored. An error is a SyntaxError or a FieldError.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{}
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(settings); err != nil {
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return nil, err
		}
		line, _ := decodeErr.Position()
		return nil, &SyntaxError{Line: line, Problem: fmt.Sprintf("%v: %v", decodeErr.Key(), decodeErr), Err: err}
	}
	settings.Operator.setDefaults()
	return settings, settings.check()
}
