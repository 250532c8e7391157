// Package hclerr turns faults in HCL files into errors of one line, with the file, line and
// column.
package hclerr

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
)

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
