package emulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dalefront/internal/golden"
)

// Every field of a site's file has the name that docs/site.md gives it.
func TestFieldsStayAsTheyAre(t *testing.T) {
	golden.Text(t, "spec.golden", strings.Join(golden.Fields(Spec{}, "hcl"), "\n")+"\n")
}

var (
	storedForms  = []golden.Message{{Name: "job", Zero: keptJob{}}}
	commandForms = []golden.Message{{Name: "summary", Zero: Summarized{}}, {Name: "transaction", Zero: txn{}}}
)

// What a site keeps in its data file is encoded and decoded as testdata/stored.golden has it.
func TestStoredStaysAsItIs(t *testing.T) {
	golden.Messages(t, "stored.golden", storedForms)
	golden.Text(t, "buckets.golden", fmt.Sprintf("format %d: %s %s %s %s; %s %s %s %s\n", keepFormat,
		bucketSite, bucketKeys, bucketHolds, bucketJobs, fieldFormat, fieldRevision, fieldLease, fieldRented))
}

// What a site's own commands say to it, and the faults that they name.
func TestCommandsStayAsTheyAre(t *testing.T) {
	golden.Messages(t, "commands.golden", commandForms)
	golden.Complete(t, slices.Concat(storedForms, commandForms))
	golden.Text(t, "words.golden", fmt.Sprintf("%s %s\n%s\n%s\n", PathFault, PathSummary, strings.Join(Faults, " "), strings.Join(MachineFaults, " ")))
}
