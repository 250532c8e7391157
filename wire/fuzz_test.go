package wire_test

import (
	"reflect"
	"testing"

	"dalefront/internal/malformed"
	"dalefront/wire"
)

// addSeeds adds bodies of every kind of malformed value, in fields of a message, and valid ones.
func addSeeds(f *testing.F, message reflect.Type, valid ...any) {
	f.Helper()
	for _, values := range []map[string][]byte{malformed.Truncated, malformed.Nested(), malformed.Lists()} {
		for _, value := range values {
			bodies := malformed.Bodies(message, value)
			f.Add(bodies[0])
			f.Add(bodies[len(bodies)-1])
		}
	}
	for _, body := range valid {
		encoded, err := wire.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
}

// FuzzParseJob checks that any body of the protocol's size costs memory in proportion to its size, and is either
// rejected or a job that is accepted again after encoding.
func FuzzParseJob(f *testing.F) {
	addSeeds(f, submission, validSubmission)
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) > wire.MaxBodyBytes {
			return
		}
		malformed.CheckCost(t, body, func() {
			job, err := wire.ParseJob(body)
			if err != nil {
				return
			}
			encoded, err := wire.Marshal(job)
			if err == nil {
				_, err = wire.ParseJob(encoded)
			}
			if err != nil {
				t.Errorf("%+v was accepted, but not after encoding: %v", job, err)
			}
		})
	})
}

// FuzzUnmarshal checks that any body of the protocol's size costs memory in proportion to its size, whatever message
// of a controller it is decoded as.
func FuzzUnmarshal(f *testing.F) {
	addSeeds(f, reflect.TypeFor[wire.Heartbeat](), wire.Heartbeat{Host: "n-1", Tasks: []wire.TaskStatus{{Task: "j-1/0"}}},
		wire.KeyValuePage{Items: []wire.KeyValue{{Key: "k", Value: []byte{0xc0}}}}, wire.Events{Events: []wire.Event{{Put: "k"}}},
		wire.Catalog{Types: []wire.MachineType{{Name: "g8", Zones: []string{"a"}}}}, wire.MachinePage{Machines: []wire.Machine{{ID: "n-1"}}})
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) > wire.MaxBodyBytes {
			return
		}
		for _, message := range controllerMessages() {
			checkMessage(t, message, body, false)
		}
	})
}
