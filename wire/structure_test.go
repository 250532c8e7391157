package wire_test

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"dalefront/internal/golden"
	"dalefront/internal/malformed"
	"dalefront/wire"
)

// submission is the type with the fields of a submission.
var submission = reflect.TypeFor[wire.Job]()

// checkSubmission checks what it costs to parse a body as a submission, and that it is rejected.
func checkSubmission(t *testing.T, body []byte) {
	t.Helper()
	malformed.CheckCost(t, body, func() {
		if job, err := wire.ParseJob(body); job != nil || !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("% x...: got job %v and error %v, want no job and ErrMalformed", malformed.Start(body), job, err)
		}
	})
}

// Guards against: one malformed submission of fewer than 300 bytes ended every controller, because the decoder
// allocated memory for the 4,294,967,295 elements that the header of a list announced.
func TestAnnouncedElementsAreNotAllocated(t *testing.T) {
	for name, value := range malformed.Truncated {
		t.Run(name, func(t *testing.T) {
			for _, repeated := range append(malformed.Repeated(value), value) {
				for _, body := range malformed.Bodies(submission, repeated) {
					checkSubmission(t, body)
				}
			}
		})
	}
}

// Guards against the same for every other message: heartbeats of workers, and what the cloud, the state service and
// other controllers send.
func TestAnnouncedElementsOfMessagesAreNotAllocated(t *testing.T) {
	for name, value := range malformed.Truncated {
		t.Run(name, func(t *testing.T) {
			for _, message := range messages {
				for _, body := range malformed.Bodies(reflect.TypeOf(message.Zero), value) {
					checkMessage(t, message, body, true)
				}
				for _, repeated := range malformed.Repeated(value) {
					for _, body := range malformed.Bodies(reflect.TypeOf(message.Zero), repeated) {
						checkMessage(t, message, body, false)
					}
				}
			}
		})
	}
}

// checkMessage checks what it costs to decode a body as a message, and that a malformed body is rejected.
func checkMessage(t *testing.T, message golden.Message, body []byte, rejected bool) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(message.Zero)).Interface()
	malformed.CheckCost(t, body, func() {
		var structureError *wire.StructureError
		if err := wire.Unmarshal(body, decoded); rejected && !errors.As(err, &structureError) {
			t.Errorf("%s: % x: got %v, want a StructureError", message.Name, malformed.Start(body), err)
		}
	})
}

// Guards against: after a value that was cut off, the decoder kept a copy of every body that it decoded.
func TestMalformedValueLeavesNothingBehind(t *testing.T) {
	const (
		bodies   = 200_000
		maxGrown = 2 << 20 // bytes, a fraction of what the bodies have together
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that the same decoder is used again
	valid, err := wire.Marshal(wire.JobStatus{ID: "j-1", Status: wire.JobQueued})
	if err != nil {
		t.Fatal(err)
	}
	cutOff := slices.Concat([]byte{0x81, 0xa5}, []byte("Value"), []byte{0x9f, 0x01})
	var entry wire.KeyValue
	if err := wire.Unmarshal(cutOff, &entry); err == nil {
		t.Error("a list that is cut off was decoded")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range bodies {
		var status wire.JobStatus
		if err := wire.Unmarshal(valid, &status); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapInuse) - int64(before.HeapInuse); grown > maxGrown {
		t.Errorf("after %d bodies of %d bytes the heap has grown by %d bytes", bodies, len(valid), grown)
	}
}

// Guards against: a submission of 64 KiB with lists that are nested 60,000 deep took 30 MB while it was decoded, so
// that a few at a time exceeded the memory of a controller.
func TestDeepNestingCostsLittle(t *testing.T) {
	for name, value := range malformed.Nested() {
		t.Run(name, func(t *testing.T) {
			for _, body := range malformed.Bodies(submission, value) {
				checkSubmission(t, body)
			}
			for _, message := range messages {
				for _, body := range malformed.Bodies(reflect.TypeOf(message.Zero), value) {
					checkMessage(t, message, body, true)
				}
			}
		})
	}
}

// controllerMessages returns the messages that controllers decode.
func controllerMessages() []golden.Message {
	return slices.DeleteFunc(slices.Clone(messages), func(message golden.Message) bool {
		switch message.Zero.(type) {
		case wire.JobList, wire.Schedules, wire.Schedule, wire.Txn, wire.Mutation: // decoded by commands and by the emulator
			return true
		}
		return false
	})
}

// Guards against: a heartbeat of 64 KiB with 64,000 tasks that have no names took 8 MB, as did pages of the state
// service and the cloud with such entries.
func TestEmptyElementsCostLittle(t *testing.T) {
	for name, value := range malformed.Lists() {
		t.Run(name, func(t *testing.T) {
			for _, body := range malformed.Bodies(submission, value) {
				checkSubmission(t, body)
			}
			for _, message := range controllerMessages() {
				for _, body := range malformed.Bodies(reflect.TypeOf(message.Zero), value) {
					checkMessage(t, message, body, false)
				}
			}
		})
	}
}

// Checks that a heartbeat with a task that has no name is rejected, whatever the other tasks are.
func TestTaskWithoutNameIsRejected(t *testing.T) {
	for name, tasks := range map[string][]wire.TaskStatus{
		"alone": {{Attempt: 1, State: wire.TaskRunning}},
		"last":  {{Task: "j-1/0", Attempt: 1, State: wire.TaskRunning}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := wire.Marshal(wire.Heartbeat{Host: "n-1", Tasks: tasks})
			if err != nil {
				t.Fatal(err)
			}
			var heartbeat wire.Heartbeat
			if err := wire.Unmarshal(body, &heartbeat); err == nil {
				t.Errorf("%+v was decoded", heartbeat)
			}
		})
	}
}

// Checks that the error for a malformed submission is one line that tells what is wrong and where.
func TestStructureErrorTellsProblem(t *testing.T) {
	for _, test := range []struct {
		body []byte
		want string
	}{
		{[]byte{0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff}, "byte 3: 4294967295 elements are announced and 0 bytes follow"},
		{[]byte{0x81, 0xa1, 'x', 0xd9, 0x09, 'a'}, "byte 3: 9 bytes are announced and 1 follow"},
		{[]byte{0x82, 0xa1, 'x', 0xc0, 0xa1, 'y'}, "byte 6: the body ends before the value"},
		{[]byte{0x81, 0xa1, 'x', 0xd4, 0x00, 0x00}, "byte 3: an extension type, which the protocol does not have"},
		{[]byte{0x81, 0xa1, 'x', 0xc1}, "byte 3: an unknown type"},
		{[]byte{0x81, 0xa1, 'x', 0xdd, 0x00}, "byte 3: the body ends within a length"},
		{append(bytes.Repeat([]byte{0x81, 0xc0}, 101), 0xc0), "byte 200: lists and maps are nested more than 100 deep"},
	} {
		_, err := wire.ParseJob(test.body)
		if want := fmt.Sprintf("malformed: not MessagePack: %s", test.want); err == nil || err.Error() != want {
			t.Errorf("% x: got %v, want %q", test.body, err, want)
		}
	}
}
