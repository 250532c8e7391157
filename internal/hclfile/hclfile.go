// Package hclfile decodes HCL files. Its errors are one line that starts with the file, line and column.
package hclfile

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Decode decodes text into a struct with hcl tags. The file's name is used in errors.
func Decode(text []byte, name string, into any) error {
	f, diags := Parse(text, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(f.Body, nil, into)
	}
	if diags.HasErrors() {
		return FirstError(diags, name)
	}
	return nil
}

// Parse parses text. The file's name is used in the diagnostics. A text that is nested too deeply for the parser
// is not parsed.
func Parse(text []byte, name string) (*hcl.File, hcl.Diagnostics) {
	if diags := checkNesting(text, name); diags.HasErrors() {
		return nil, diags
	}
	return hclparse.NewParser().ParseHCL(text, name)
}

// FirstError returns the first diagnostic as an error. The file's name is used if the diagnostic has no
// position.
func FirstError(diags hcl.Diagnostics, name string) error {
	d := diags[0]
	at := hcl.Range{Filename: name}
	if d.Subject != nil {
		at = *d.Subject
	}
	return Errorf(at, "%s: %s", d.Summary, d.Detail)
}

// Errorf returns an error whose text starts with a position in a file, followed by the formatted message.
func Errorf(at hcl.Range, format string, args ...any) error {
	return fmt.Errorf("%s:%d:%d: %s", at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...))
}
