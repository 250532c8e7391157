// Package deploy contains sample settings and a sample calendar for operators. The sample jobs are also
// embedded in the program.
package deploy

import "embed"

// Examples contains the sample jobs in examples/*.json.
//
//go:embed examples/*.json
var Examples embed.FS
