package wire_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"dalefront/internal/golden"
	"dalefront/wire"
)

// The bodies of requests may take three 64ths of a controller's memory at a time (package api). Decoded they take at
// most three quarters of it if each byte of a body costs no more than maxCostPerByte bytes.
const (
	maxCostPerByte = 16
	fixedCost      = 128 << 10 // bytes, whatever the size of the body; the runtime takes stacks in spans of 32 KiB
)

// checkCost fails the test if decoding the body costs memory out of proportion to its size.
func checkCost(t *testing.T, body []byte, decode func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	decode()
	runtime.ReadMemStats(&after)
	heap := after.TotalAlloc - before.TotalAlloc
	stack := max(after.StackInuse, before.StackInuse) - before.StackInuse
	if limit := uint64(maxCostPerByte*len(body) + fixedCost); heap+stack > limit {
		t.Errorf("a body of %d bytes, % x..., cost %d bytes of heap and %d of stack, want %d at most",
			len(body), body[:min(len(body), 64)], heap, stack, limit)
	}
}

// truncatedValues has a header of each kind, whose elements or bytes do not follow.
var truncatedValues = map[string][]byte{
	"list of 15":              {0x9f},
	"list of 65,535":          {0xdc, 0xff, 0xff},
	"list of 4,294,967,295":   {0xdd, 0xff, 0xff, 0xff, 0xff},
	"map of 15":               {0x8f},
	"map of 65,535":           {0xde, 0xff, 0xff},
	"map of 4,294,967,295":    {0xdf, 0xff, 0xff, 0xff, 0xff},
	"text of 31":              {0xbf},
	"text of 255":             {0xd9, 0xff},
	"text of 65,535":          {0xda, 0xff, 0xff},
	"text of 4,294,967,295":   {0xdb, 0xff, 0xff, 0xff, 0xff},
	"binary of 255":           {0xc4, 0xff},
	"binary of 65,535":        {0xc5, 0xff, 0xff},
	"binary of 4,294,967,295": {0xc6, 0xff, 0xff, 0xff, 0xff},
	"extension of 16":         {0xd8, 0x00},
	"extension of 255":        {0xc7, 0xff, 0x00},
	"extension of 65,535":     {0xc8, 0xff, 0xff, 0x00},
	"extension of 2^32-1":     {0xc9, 0xff, 0xff, 0xff, 0xff, 0x00},
	"time":                    {0xd6, 0xff},
	"map in an extension":     {0xc7, 0x05, 0x00, 0xdf, 0xff, 0xff, 0xff, 0xff},
	"length of a list":        {0xdd, 0xff},
	"length of a text":        {0xda},
	"number":                  {0xcf, 0x00},
	"unknown type":            {0xc1},
	"nothing":                 {},
}

// bodiesWith returns bodies that end with a value: the value alone, in a list, as a key, in each of the named
// fields and in a field that no message has.
func bodiesWith(value []byte, fields []string) [][]byte {
	bodies := [][]byte{value, slices.Concat([]byte{0x91}, value), slices.Concat([]byte{0x81}, value)}
	for _, field := range append(fields, "Unknown") {
		inMap := slices.Concat([]byte{0x81, 0xd9, byte(len(field))}, []byte(field), value)
		inList := slices.Concat([]byte{0x81, 0xd9, byte(len(field))}, []byte(field), []byte{0x92, 0x80}, value)
		bodies = append(bodies, inMap, inList)
	}
	return bodies
}

// repeatedValues returns a value several times in a row. A list or a map is thus the first element of another one.
func repeatedValues(value []byte) [][]byte {
	return [][]byte{slices.Repeat(value, 8), slices.Repeat(value, 1000)}
}

// fieldNames returns the names on the wire of a message's fields.
func fieldNames(message any) []string {
	var names []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(message)) {
		name, _, _ := strings.Cut(field.Tag.Get("msgpack"), ",")
		names = append(names, name)
	}
	return names
}

// Guards against: one malformed submission of fewer than 300 bytes ended every controller, because the decoder
// allocated memory for the 4,294,967,295 elements that the header of a list announced.
func TestAnnouncedElementsAreNotAllocated(t *testing.T) {
	fields := slices.Sorted(maps.Keys(validSubmission))
	fields = append(fields, "Builds", "District", "DueS")
	for name, value := range truncatedValues {
		t.Run(name, func(t *testing.T) {
			for _, repeated := range append(repeatedValues(value), value) {
				for _, body := range bodiesWith(repeated, fields) {
					checkCost(t, body, func() {
						if job, err := wire.ParseJob(body); job != nil || !errors.Is(err, wire.ErrMalformed) {
							t.Errorf("% x: got job %v and error %v, want no job and ErrMalformed", body, job, err)
						}
					})
				}
			}
		})
	}
}

// Guards against the same for every other message: heartbeats of workers, and what the cloud, the state service and
// other controllers send.
func TestAnnouncedElementsOfMessagesAreNotAllocated(t *testing.T) {
	for name, value := range truncatedValues {
		t.Run(name, func(t *testing.T) {
			for _, message := range messages {
				for _, body := range bodiesWith(value, fieldNames(message.Zero)) {
					checkMessage(t, message, body, true)
				}
				for _, repeated := range repeatedValues(value) {
					for _, body := range bodiesWith(repeated, fieldNames(message.Zero)) {
						checkMessage(t, message, body, false)
					}
				}
			}
		})
	}
}

// checkMessage checks what it costs to decode a body as a message, and that a malformed body is rejected.
func checkMessage(t *testing.T, message golden.Message, body []byte, malformed bool) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(message.Zero)).Interface()
	checkCost(t, body, func() {
		var structureError *wire.StructureError
		if err := wire.Unmarshal(body, decoded); malformed && !errors.As(err, &structureError) {
			t.Errorf("%s: % x: got %v, want a StructureError", message.Name, body[:min(len(body), 64)], err)
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
	malformed := slices.Concat([]byte{0x81, 0xa5}, []byte("Value"), []byte{0x9f, 0x01})
	var entry wire.KeyValue
	if err := wire.Unmarshal(malformed, &entry); err == nil {
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

// nestedValues has well-formed values of the protocol's size, in which lists or maps are nested as deeply as possible.
func nestedValues() map[string][]byte {
	const size = wire.MaxBodyBytes - 1<<10 // the rest is for the submission around the value
	return map[string][]byte{
		"lists":          append(bytes.Repeat([]byte{0x91}, size), 0xc0),
		"lists of two":   append(bytes.Repeat([]byte{0x92, 0xc0}, size/2), 0xc0),
		"long lists":     append(bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, size/5), 0xc0),
		"maps":           append(bytes.Repeat([]byte{0x81, 0xc0}, size/2), 0xc0),
		"maps as keys":   slices.Concat(bytes.Repeat([]byte{0x81}, size/2), bytes.Repeat([]byte{0xc0}, size/2+1)),
		"lists and maps": append(bytes.Repeat([]byte{0x91, 0x81, 0xc0}, size/3), 0xc0),
	}
}

// Guards against: a submission of 64 KiB with lists that are nested 60,000 deep took 30 MB while it was decoded, so
// that a few at a time exceeded the memory of a controller.
func TestDeepNestingCostsLittle(t *testing.T) {
	fields := append(slices.Sorted(maps.Keys(validSubmission)), "Builds", "District", "DueS")
	for name, value := range nestedValues() {
		t.Run(name, func(t *testing.T) {
			for _, body := range bodiesWith(value, fields) {
				onNewStack(func() {
					checkCost(t, body, func() {
						if _, err := wire.ParseJob(body); !errors.Is(err, wire.ErrMalformed) {
							t.Errorf("% x...: got %v, want ErrMalformed", body[:16], err)
						}
					})
				})
			}
			for _, message := range messages {
				for _, body := range bodiesWith(value, fieldNames(message.Zero)) {
					onNewStack(func() { checkMessage(t, message, body, true) })
				}
			}
		})
	}
}

// emptyElements has the smallest well-formed elements that a list can have.
var emptyElements = map[string]byte{"nil": 0xc0, "map": 0x80, "list": 0x90, "text": 0xa0, "number": 0x01}

// listOf returns a list of the protocol's size whose elements are all alike.
func listOf(element byte) []byte {
	const length = wire.MaxBodyBytes - 1<<10 // the rest is for the message around the list
	return append(binary.BigEndian.AppendUint32([]byte{0xdd}, length), bytes.Repeat([]byte{element}, length)...)
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
	fields := append(slices.Sorted(maps.Keys(validSubmission)), "Builds", "District", "DueS")
	for name, element := range emptyElements {
		t.Run(name, func(t *testing.T) {
			for _, body := range bodiesWith(listOf(element), fields) {
				checkCost(t, body, func() {
					if _, err := wire.ParseJob(body); !errors.Is(err, wire.ErrMalformed) {
						t.Errorf("% x...: got %v, want ErrMalformed", body[:16], err)
					}
				})
			}
			for _, message := range controllerMessages() {
				for _, body := range bodiesWith(listOf(element), fieldNames(message.Zero)) {
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

// onNewStack calls a function on a stack of its own, which the calls before have not grown.
func onNewStack(call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	<-done
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
