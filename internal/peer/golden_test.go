package peer

import (
	"strings"
	"testing"

	"google.golang.org/grpc/encoding"

	"dalefront/internal/golden"
)

// What controllers say to one another is encoded and decoded as testdata/messages.golden has
// it, so that two versions understand each other while a site is upgraded.
func TestMessagesStayAsTheyAre(t *testing.T) {
	messages := []golden.Message{
		{Name: "hello", Zero: Heartbeat{}},
		{Name: "heard", Zero: Contact{}},
		{Name: "relay", Zero: RelayRequest{}},
		{Name: "answer to a relay", Zero: RelayResponse{}},
		{Name: "counts", Zero: CountsRequest{}},
		{Name: "answer to counts", Zero: CountsResponse{}},
		{Name: "handover", Zero: TransferRequest{}},
		{Name: "answer to a handover", Zero: TransferResponse{}},
		{Name: "apply", Zero: ConfigApplyRequest{}},
		{Name: "answer to an apply", Zero: ConfigApplyResponse{}},
		{Name: "read", Zero: ConfigReadRequest{}},
		{Name: "answer to a read", Zero: ConfigReadResponse{}},
		{Name: "status", Zero: ConfigStatusRequest{}},
		{Name: "answer to status", Zero: ConfigStatusResponse{}},
	}
	golden.Messages(t, "messages.golden", messages)
	golden.Complete(t, messages)
}

// The methods' names, the outcomes of an apply, and the codec that both sides name.
func TestMethodsStayAsTheyAre(t *testing.T) {
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
