package peer

import (
	"strings"
	"testing"

	"google.golang.org/grpc/encoding"

	"dalefront/internal/golden"
)

// messages has the zero value of every message.
var messages = []golden.Message{
	{Name: "hello", Zero: Heartbeat{}},
	{Name: "heard", Zero: WorkerContact{}},
	{Name: "relay", Zero: RelayRequest{}},
	{Name: "answer to a relay", Zero: RelayResponse{}},
	{Name: "counts", Zero: TaskCountsRequest{}},
	{Name: "answer to counts", Zero: TaskCountsResponse{}},
	{Name: "handover", Zero: TransferRequest{}},
	{Name: "answer to a handover", Zero: TransferResponse{}},
	{Name: "apply", Zero: ConfigApplyRequest{}},
	{Name: "answer to an apply", Zero: ConfigApplyResponse{}},
	{Name: "read", Zero: ConfigReadRequest{}},
	{Name: "answer to a read", Zero: ConfigReadResponse{}},
	{Name: "status", Zero: ConfigStatusRequest{}},
	{Name: "answer to status", Zero: ConfigStatusResponse{}},
}

// The encoding of the messages matches testdata/messages.golden, so that controllers of two versions
// understand each other during an upgrade.
func TestMessageEncodings(t *testing.T) {
	golden.Messages(t, "messages.golden", messages)
	golden.CheckCoverage(t, messages)
}

// The names of the methods, the outcomes of an apply and the name of the codec match
// testdata/methods.golden.
func TestMethodNames(t *testing.T) {
	var out []string
	for _, m := range serviceDescription.Methods {
		out = append(out, "/"+serviceDescription.ServiceName+"/"+m.MethodName)
	}
	out = append(out, "codec "+codec{}.Name())
	for _, outcome := range []ConfigOutcome{ConfigApplied, ConfigUnchanged, ConfigInvalid, ConfigStale, ConfigRefused, ConfigUnknown} {
		out = append(out, "outcome "+string(outcome))
	}
	golden.Text(t, "methods.golden", strings.Join(out, "\n")+"\n")
	if encoding.GetCodecV2("msgpack") == nil && encoding.GetCodec("msgpack") == nil {
		t.Error("the codec is not registered")
	}
}
