package peer

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dalefront/internal/golden"
	"dalefront/internal/malformed"
	"dalefront/wire"
)

// controllerMessages returns the messages that controllers decode. Operators' commands decode the others.
func controllerMessages() (received []golden.Message) {
	for _, message := range messages {
		switch message.Zero.(type) {
		case ConfigApplyResponse, ConfigReadResponse, ConfigStatusResponse:
		default:
			received = append(received, message)
		}
	}
	return received
}

// checkDecode checks what it costs to decode a body as a message, and that it is rejected if it has to be.
func checkDecode(t *testing.T, message golden.Message, body []byte, rejected bool) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(message.Zero)).Interface()
	malformed.CheckCost(t, body, func() {
		var structureError *wire.StructureError
		if err := (codec{}).Unmarshal(body, decoded); rejected && !errors.As(err, &structureError) {
			t.Errorf("%s: % x...: got %v, want a StructureError", message.Name, malformed.Start(body), err)
		}
	})
}

// Guards against: a message from another host on the address for controllers ended the process, because the header of
// a list announced elements that did not follow.
func TestMalformedMessagesCostLittle(t *testing.T) {
	for _, message := range controllerMessages() {
		t.Run(message.Name, func(t *testing.T) {
			typ := reflect.TypeOf(message.Zero)
			for _, value := range malformed.Truncated {
				for _, body := range malformed.Bodies(typ, value) {
					checkDecode(t, message, body, true)
				}
			}
			for _, value := range malformed.Nested() {
				for _, body := range malformed.Bodies(typ, value) {
					checkDecode(t, message, body, true)
				}
			}
			for _, value := range malformed.Lists() {
				for _, body := range malformed.Bodies(typ, value) {
					checkDecode(t, message, body, false)
				}
			}
		})
	}
}

// rawCodec sends bytes as they are.
type rawCodec struct{ codec }

func (rawCodec) Marshal(v any) ([]byte, error)      { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(data []byte, v any) error { *v.(*[]byte) = data; return nil }

// Checks that a malformed call to each method gets an error, and that the server goes on.
func TestMalformedCallsGetErrors(t *testing.T) {
	client := connect(t, &fakeServer{heartbeat: &Heartbeat{From: "b"}})
	for _, method := range serviceDescription.Methods {
		for name, value := range malformed.Truncated {
			var answer []byte
			err := client.conn.Invoke(context.Background(), "/"+serviceName+"/"+method.MethodName, &value, &answer, grpc.ForceCodec(rawCodec{}))
			if code := status.Code(err); code != codes.Internal {
				t.Errorf("%s: %s: got code %v and error %v, want %v", method.MethodName, name, code, err, codes.Internal)
			}
		}
	}
	if answer, err := client.Heartbeat(context.Background(), &Heartbeat{From: "a"}); err != nil || answer.From != "b" {
		t.Errorf("a heartbeat afterwards got %+v and error %v", answer, err)
	}
}
