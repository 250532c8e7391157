package standby

import (
	"testing"

	"dalefront/internal/golden"
)

// Who stands by is told as testdata/messages.golden has it.
func TestMessagesStayAsTheyAre(t *testing.T) {
	golden.Messages(t, "messages.golden", []golden.Message{{Name: "view", Zero: View{}}})
}
