package wire_test

import (
	"fmt"
	"strings"
	"testing"

	"dalefront/internal/golden"
	"dalefront/wire"
)

// messages has the zero value of every message.
var messages = []golden.Message{
	{Name: "job", Zero: wire.Job{}},
	{Name: "job status", Zero: wire.JobStatus{}},
	{Name: "task in a report", Zero: wire.TaskStatus{}},
	{Name: "report", Zero: wire.Heartbeat{}},
	{Name: "order", Zero: wire.Command{}},
	{Name: "answer to a report", Zero: wire.HeartbeatResponse{}},
	{Name: "redirect", Zero: wire.Redirect{}},
	{Name: "orders to a worker", Zero: wire.CommandBatch{}},
	{Name: "machine type", Zero: wire.MachineType{}},
	{Name: "catalog", Zero: wire.Catalog{}},
	{Name: "rental", Zero: wire.ScaleOutRequest{}},
	{Name: "machine names", Zero: wire.MachineIDs{}},
	{Name: "machine", Zero: wire.Machine{}},
	{Name: "machines", Zero: wire.MachinePage{}},
	{Name: "error", Zero: wire.Error{}},
	{Name: "key", Zero: wire.KeyValue{}},
	{Name: "keys", Zero: wire.KeyValuePage{}},
	{Name: "condition", Zero: wire.Condition{}},
	{Name: "change", Zero: wire.Mutation{}},
	{Name: "transaction", Zero: wire.Txn{}},
	{Name: "answer to a transaction", Zero: wire.TxnResponse{}},
	{Name: "lease", Zero: wire.Lease{}},
	{Name: "event", Zero: wire.Event{}},
	{Name: "events", Zero: wire.Events{}},
	{Name: "run of a schedule", Zero: wire.ScheduleRun{}},
	{Name: "schedule", Zero: wire.Schedule{}},
	{Name: "schedules", Zero: wire.Schedules{}},
	{Name: "job in a list", Zero: wire.JobSummary{}},
	{Name: "job list", Zero: wire.JobList{}},
}

// Compares the encoding of every message, and its decoding, with testdata/messages.golden. The file
// has the names on the wire and must not be rewritten.
func TestMessageEncodings(t *testing.T) {
	golden.Messages(t, "messages.golden", messages)
	golden.CheckCoverage(t, messages)
}

// Compares the paths, words and limits of the protocol with testdata/words.golden.
func TestWireValues(t *testing.T) {
	var out strings.Builder
	for _, constant := range []struct {
		name  string
		value any
	}{
		{"path of jobs", wire.PathJobs},
		{"path of health", wire.PathHealth},
		{"path of reports", wire.PathHeartbeat},
		{"path of orders", wire.PathCommands},
		{"path of inspection", wire.PathInspect},
		{"path of the catalog", wire.PathCatalog},
		{"path of rentals", wire.PathMachines},
		{"path of returns", wire.PathScaleIn},
		{"path of schedules", wire.PathSchedules},
		{"path of the job list", wire.PathJobList},
		{"verb to cancel", wire.CancelAction},
		{"verb to pause", wire.PauseAction},
		{"verb to resume", wire.ResumeAction},
		{"bytes of a body", wire.MaxBodyBytes},
		{"bytes of a transaction", wire.MaxTxnBytes},
		{"conditions for each change", wire.ConditionsPerMutation},
		{"shape array", wire.Array},
		{"shape gang", wire.Gang},
		{"shape service", wire.Service},
		{"priority production", wire.Production},
		{"priority high", wire.High},
		{"priority normal", wire.Normal},
		{"priority low", wire.Low},
		{"job queued", wire.JobQueued},
		{"job running", wire.JobRunning},
		{"job done", wire.JobDone},
		{"job cancelled", wire.JobCancelled},
		{"task fetching", wire.TaskFetching},
		{"task waiting", wire.TaskWaitingForGang},
		{"task running", wire.TaskRunning},
		{"task saving", wire.TaskCheckpointing},
		{"task exited", wire.TaskExited},
		{"cause done", wire.CauseDone},
		{"cause stopped", wire.CauseStopped},
		{"cause peers", wire.CauseGangMemberLost},
		{"cause alone", wire.CauseGangIncomplete},
		{"cause error", wire.CauseError},
		{"cause no room", wire.CauseInsufficientResources},
		{"cause busy", wire.CauseAttemptConflict},
		{"cause unknown", wire.CauseUnknown},
		{"order launch", wire.Launch},
		{"order stop", wire.Stop},
		{"order clear", wire.Clear},
		{"machine booting", wire.MachineBooting},
		{"machine running", wire.MachineRunning},
		{"machine failed", wire.MachineFailed},
		{"run submitted", wire.RunSubmitted},
		{"run missed", wire.RunMissed},
		{"run noted", wire.RunScheduleChanged},
		{"name of a task", wire.TaskName("j-1", 2)},
	} {
		fmt.Fprintf(&out, "%s: %v\n", constant.name, constant.value)
	}
	golden.Text(t, "words.golden", out.String())
}

// Checks that all fields of a submission are decoded, with numbers encoded as integers or as floats.
func TestSubmissionIsRead(t *testing.T) {
	body, err := wire.Marshal(map[string]any{
		"Id": "j-1", "Jobclass": "c", "Owner": "o", "Shape": "ensemble", "Urgency": "urgent", "Pieces": 3, "Cores": 4, "Gpus": 1.5,
		"RamGb": 5, "Bundle": "b", "SizeGb": 6.5, "Builds": []string{"x"}, "District": "d", "SamePlace": true, "Spread": false,
		"Loaners": true, "ExpectedS": 7, "SnapshotEveryS": 8, "SnapshotS": 9, "DueS": 10})
	if err != nil {
		t.Fatal(err)
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := wire.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "submission.golden", fmt.Sprintf("%x\n", encoded))
}
