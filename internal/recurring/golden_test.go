package recurring

import (
	"strings"
	"testing"
	"time"

	"dalefront/internal/golden"
)

// What is stored of a schedule is encoded and decoded as testdata/stored.golden has it.
func TestStoredStaysAsItIs(t *testing.T) {
	messages := []golden.Message{{Name: "state of a schedule", Zero: State{}}}
	golden.Messages(t, "stored.golden", messages)
	golden.Complete(t, messages)
}

// A schedule keeps its revision, and an occurrence the id of its job: otherwise a new version
// would take every schedule for a changed one, or run an occurrence twice.
func TestRevisionsAndIdsStayAsTheyAre(t *testing.T) {
	now := time.Date(2026, 9, 18, 10, 0, 0, 0, time.UTC).UnixMicro()
	engine := NewEngine(file(t, `cron = "*/5 * * * *"`, `cron = "17 10 * * *"`), nil, nil)
	var out []string
	for step := range Micros(3) {
		for _, d := range engine.Due(now+step*301*second, 10, fakeJobs(nil)) {
			out = append(out, d.Name+" "+d.State.Revision)
			for _, j := range d.Jobs {
				out = append(out, d.Name+" "+j.ID)
			}
			engine.Committed(d, uint64(step)+1)
		}
	}
	golden.Text(t, "ids.golden", strings.Join(out, "\n")+"\n")
}
