package experiment

import (
	"strings"
	"testing"

	"dalefront/internal/golden"
)

// Every field of an experiment's file and of its report has the name that docs/load.md gives it.
func TestFieldsStayAsTheyAre(t *testing.T) {
	golden.Text(t, "experiment.golden", strings.Join(append(golden.Fields(Experiment{}, "hcl"), golden.Fields(file{}, "hcl")...), "\n")+"\n")
	golden.JSON(t, "report.golden", []golden.Message{{Name: "report", Zero: Report{}}, {Name: "mean", Zero: Mean{}}})
}
