// Package hclfile reads HCL files. Its errors are one line with the file, line and column.
package hclfile

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Decode reads text into a struct with hcl tags; the name is for errors.
func Decode(text []byte, name string, into any) error {
	f, diags := hclparse.NewParser().ParseHCL(text, name)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(f.Body, nil, into)
	}
	if diags.HasErrors() {
		return First(diags, name)
	}
	return nil
}

// First is the first of a file's faults; the name stands for a fault without a position.
func First(diags hcl.Diagnostics, name string) error {
	d := diags[0]
	at := hcl.Range{Filename: name}
	if d.Subject != nil {
		at = *d.Subject
	}
	return At(at, "%s: %s", d.Summary, d.Detail)
}

// At is an error at a place in a file.
func At(at hcl.Range, format string, args ...any) error {
	return fmt.Errorf("%s:%d:%d: %s", at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...))
}
