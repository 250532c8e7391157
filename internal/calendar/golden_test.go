package calendar

import (
	"strings"
	"testing"

	"dalefront/internal/golden"
)

// Every field of a file of schedules has the name that docs/calendar.md gives it.
func TestFieldsStayAsTheyAre(t *testing.T) {
	var out []string
	for _, block := range []struct {
		name string
		body any
	}{{"calendar", calendarBlock{}}, {"schedule", scheduleBlock{}}} {
		for _, field := range golden.Fields(block.body, "hcl") {
			out = append(out, block.name+"."+field)
		}
	}
	golden.Text(t, "fields.golden", strings.Join(out, "\n")+"\n")
}
