package standby

import (
	"testing"

	"dalefront/internal/golden"
)

// Who stands by is told as testdata/messages.golden has it.
func TestMessagesStayAsTheyAre(t *testing.T) {
	messages := []golden.Message{{Name: "view", Zero: View{}}}
	golden.Messages(t, "messages.golden", messages)
	golden.Complete(t, messages)
}
