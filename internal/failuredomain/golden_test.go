package failuredomain

import (
	"testing"

	"dalefront/internal/golden"
)

// What is remembered of past silences is stored as testdata/stored.golden has it.
func TestStoredStaysAsItIs(t *testing.T) {
	messages := []golden.Message{{Name: "silences", Zero: History{}}}
	golden.Messages(t, "stored.golden", messages)
	golden.Complete(t, messages)
}
