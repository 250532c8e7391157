package scaletest

import (
	"strings"
	"testing"

	"dalefront/internal/golden"
)

// Every field of a specification and of its reports has the name that docs/site.md gives it.
func TestFieldsStayAsTheyAre(t *testing.T) {
	golden.Text(t, "spec.golden", strings.Join(golden.Fields(Spec{}, "hcl"), "\n")+"\n")
	golden.JSON(t, "report.golden", []golden.Message{{Name: "report", Zero: Report{}}, {Name: "sweep", Zero: SweepReport{}}})
}
