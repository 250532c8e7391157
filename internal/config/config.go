// Package config reads and checks the platform's settings (TOML) and the
// operator's own (HCL). Durations become whole microseconds where they are used.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Micros is a duration or a point of time in whole microseconds.
type Micros = int64

// Second is a second in microseconds.
const Second Micros = 1_000_000

// Micro turns seconds into microseconds.
func Micro(seconds float64) Micros { return Micros(math.Round(seconds * float64(Second))) }

// FieldError says which setting has a value that is not valid, and what is wrong with it.
type FieldError struct {
	Field   string // as the file names it
	Problem string
}

// Error names the field and the problem in one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// SyntaxError says where a file can't be read as settings.
type SyntaxError struct {
	File    string // empty if the caller knows it
	Line    int
	Problem string
	Err     error // of the decoder; nil if there is none
}

// Error names the place and the problem in one line.
func (e *SyntaxError) Error() string {
	if e.File == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Load reads the platform's file and, when operatorPath is not empty, the operator's HCL file.
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

// Parse reads and checks the platform's settings; unknown fields are ignored. The operator's
// settings have their defaults. An error is a SyntaxError or a FieldError.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{}
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(settings); err != nil {
		var decode *toml.DecodeError
		if !errors.As(err, &decode) {
			return nil, err
		}
		line, _ := decode.Position()
		return nil, &SyntaxError{Line: line, Problem: fmt.Sprintf("%v: %v", decode.Key(), decode), Err: err}
	}
	settings.Operator.setDefaults()
	return settings, settings.check()
}
