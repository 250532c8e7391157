// Package malformed makes bodies for tests of decoders: bodies that announce more than they have, that are nested
// deeply, or that are larger when decoded than as bytes. It checks what decoding them costs.
package malformed

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"dalefront/wire"
)

// The bodies of requests may take three 64ths of a controller's memory at a time (package api). Decoded they take at
// most three quarters of it if each byte of a body costs no more than allowedCostPerByte bytes.
const (
	allowedCostPerByte = 16
	fixedCost          = 128 << 10 // bytes, whatever the size of the body; the runtime takes stacks in spans of 32 KiB
)

// valueSize is the size of the large values, so that a message with one has at most the protocol's size.
const valueSize = wire.MaxBodyBytes - 1<<10

// CheckCost fails the test if decoding a body costs memory out of proportion to its size. It calls decode on a new
// stack.
func CheckCost(t *testing.T, body []byte, decode func()) {
	t.Helper()
	var before, after runtime.MemStats
	done := make(chan struct{})
	go func() {
		defer close(done)
		runtime.ReadMemStats(&before)
		decode()
		runtime.ReadMemStats(&after)
	}()
	<-done
	heap := after.TotalAlloc - before.TotalAlloc
	stack := max(after.StackInuse, before.StackInuse) - before.StackInuse
	if limit := uint64(allowedCostPerByte*len(body) + fixedCost); heap+stack > limit {
		t.Errorf("a body of %d bytes, % x..., cost %d bytes of heap and %d of stack, want %d at most",
			len(body), Start(body), heap, stack, limit)
	}
}

// Start returns the beginning of a body, for messages.
func Start(body []byte) []byte { return body[:min(len(body), 64)] }

// Truncated has a header of each kind, whose elements or bytes do not follow, and other values that are not
// MessagePack as the protocol uses it.
var Truncated = map[string][]byte{
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

// Repeated returns a value several times in a row. A list or a map is thus the first element of another one.
func Repeated(value []byte) [][]byte {
	return [][]byte{slices.Repeat(value, 8), slices.Repeat(value, 1000)}
}

// Nested returns well-formed values of the protocol's size, in which lists or maps are nested as deeply as possible.
func Nested() map[string][]byte {
	return map[string][]byte{
		"lists":          append(bytes.Repeat([]byte{0x91}, valueSize), 0xc0),
		"lists of two":   append(bytes.Repeat([]byte{0x92, 0xc0}, valueSize/2), 0xc0),
		"long lists":     append(bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, valueSize/5), 0xc0),
		"maps":           append(bytes.Repeat([]byte{0x81, 0xc0}, valueSize/2), 0xc0),
		"maps as keys":   slices.Concat(bytes.Repeat([]byte{0x81}, valueSize/2), bytes.Repeat([]byte{0xc0}, valueSize/2+1)),
		"lists and maps": append(bytes.Repeat([]byte{0x91, 0x81, 0xc0}, valueSize/3), 0xc0),
	}
}

// Lists returns well-formed lists of the protocol's size, whose elements are the smallest that there are.
func Lists() map[string][]byte {
	lists := map[string][]byte{}
	for name, element := range map[string]byte{"nil": 0xc0, "map": 0x80, "list": 0x90, "text": 0xa0, "number": 0x01} {
		header := binary.BigEndian.AppendUint32([]byte{0xdd}, valueSize)
		lists[name] = append(header, bytes.Repeat([]byte{element}, valueSize)...)
	}
	return lists
}

// Bodies returns bodies that end with a value: the value alone, in a list, as a key, in a field that the message does
// not have, and in each field of the message and of the messages in it.
func Bodies(message reflect.Type, value []byte) [][]byte {
	bodies := [][]byte{value, slices.Concat([]byte{0x91}, value), slices.Concat([]byte{0x81}, value), field("Unknown", value)}
	return append(bodies, fieldBodies(message, value)...)
}

// fieldBodies returns bodies with the value in each field of a type and of the types in it.
func fieldBodies(message reflect.Type, value []byte) (bodies [][]byte) {
	switch message.Kind() {
	case reflect.Pointer:
		return fieldBodies(message.Elem(), value)
	case reflect.Slice:
		for _, body := range fieldBodies(message.Elem(), value) {
			bodies = append(bodies, slices.Concat([]byte{0x91}, body))
		}
	case reflect.Map:
		for _, body := range fieldBodies(message.Elem(), value) {
			bodies = append(bodies, field("key", body))
		}
	case reflect.Struct:
		for _, structField := range reflect.VisibleFields(message) {
			name := fieldName(structField)
			if name == "" || name == "-" {
				continue
			}
			emptyFirst := slices.Concat([]byte{0x92, 0x80}, value) // a list of an empty map and the value
			bodies = append(bodies, field(name, value), field(name, emptyFirst))
			for _, body := range fieldBodies(structField.Type, value) {
				bodies = append(bodies, field(name, body))
			}
		}
	}
	return bodies
}

// fieldName returns the name of a field on the wire, or "" if it has none.
func fieldName(structField reflect.StructField) string {
	name, _, _ := strings.Cut(structField.Tag.Get("msgpack"), ",")
	return name
}

// field returns a map with one field.
func field(name string, value []byte) []byte {
	return slices.Concat([]byte{0x81, 0xd9, byte(len(name))}, []byte(name), value)
}
