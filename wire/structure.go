package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth limits how deeply lists and maps may be nested, because the decoder needs stack for each level.
const maxDepth = 100

// StructureError means that a body is not MessagePack as the protocol uses it.
type StructureError struct {
	Offset  int // position in the body, in bytes
	Problem string
}

// Error returns one line with the problem and its position.
func (e *StructureError) Error() string {
	return fmt.Sprintf("not MessagePack: byte %d: %s", e.Offset, e.Problem)
}

// checkStructure checks the first value in a body and returns its size in bytes. It must precede every decoding,
// because the decoder allocates memory for as many elements as the header of a list or a map announces. After
// the check, each announced element, each byte of a text and each key of a map is known to be in the body, and the
// decoder needs little stack. The check itself allocates nothing. The error is a *StructureError.
func checkStructure(body []byte) (size int, err error) {
	scan := structureScan{body: body}
	if err := scan.value(); err != nil {
		return 0, err
	}
	for scan.depth > 0 {
		innermost := &scan.missing[scan.depth-1]
		if *innermost == 0 {
			scan.depth--
			continue
		}
		*innermost--
		if err := scan.value(); err != nil {
			return 0, err
		}
	}
	return scan.offset, nil
}

// structureScan is the state of checkStructure.
type structureScan struct {
	body    []byte
	offset  int              // start of the next value in the body
	missing [maxDepth]uint64 // for each open list or map, the outermost first: how many values have not been read
	depth   int              // number of open lists and maps
}

// value reads one value that is neither a list nor a map, or the header of a list or a map.
func (s *structureScan) value() error {
	if s.offset >= len(s.body) {
		return s.fail("the body ends before the value")
	}
	code := s.body[s.offset]
	switch {
	case msgpcode.IsFixedNum(code):
		return s.skip(0, 0)
	case msgpcode.IsFixedMap(code):
		return s.open(0, uint64(code&msgpcode.FixedMapMask), valuesPerMapEntry)
	case msgpcode.IsFixedArray(code):
		return s.open(0, uint64(code&msgpcode.FixedArrayMask), 1)
	case msgpcode.IsFixedString(code):
		return s.skip(0, uint64(code&msgpcode.FixedStrMask))
	}
	return s.longValue(code)
}

// valuesPerMapEntry is the number of values that an entry of a map consists of: the key and its value.
const valuesPerMapEntry = 2

// longValue reads a value whose code does not include its length.
func (s *structureScan) longValue(code byte) error {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return s.skip(0, 0)
	case msgpcode.Uint8, msgpcode.Int8:
		return s.skip(0, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return s.skip(0, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return s.skip(0, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return s.skip(0, 8)
	case msgpcode.Str8, msgpcode.Bin8:
		return s.text(1)
	case msgpcode.Str16, msgpcode.Bin16:
		return s.text(2)
	case msgpcode.Str32, msgpcode.Bin32:
		return s.text(4)
	case msgpcode.Array16:
		return s.container(2, 1)
	case msgpcode.Array32:
		return s.container(4, 1)
	case msgpcode.Map16:
		return s.container(2, valuesPerMapEntry)
	case msgpcode.Map32:
		return s.container(4, valuesPerMapEntry)
	}
	if msgpcode.IsExt(code) {
		return s.fail("an extension type, which the protocol does not have")
	}
	return s.fail("an unknown type")
}

// text reads a text or binary data whose length takes lengthBytes bytes.
func (s *structureScan) text(lengthBytes int) error {
	length, err := s.length(lengthBytes)
	if err != nil {
		return err
	}
	return s.skip(lengthBytes, length)
}

// container reads the header of a list or a map whose number of elements takes lengthBytes bytes.
func (s *structureScan) container(lengthBytes int, valuesPerElement uint64) error {
	elements, err := s.length(lengthBytes)
	if err != nil {
		return err
	}
	return s.open(lengthBytes, elements, valuesPerElement)
}

// length returns the big-endian number of up to four bytes that follows the code of the current value.
func (s *structureScan) length(lengthBytes int) (uint64, error) {
	start := s.offset + 1
	if len(s.body)-start < lengthBytes {
		return 0, s.fail("the body ends within a length")
	}
	var bigEndian [4]byte
	copy(bigEndian[len(bigEndian)-lengthBytes:], s.body[start:])
	return uint64(binary.BigEndian.Uint32(bigEndian[:])), nil
}

// skip moves behind the current value, which consists of its code, its length and its content.
func (s *structureScan) skip(lengthBytes int, contentBytes uint64) error {
	rest := s.rest(lengthBytes)
	if contentBytes > rest {
		return s.fail(fmt.Sprintf("%d bytes are announced and %d follow", contentBytes, rest))
	}
	s.offset += 1 + lengthBytes + int(contentBytes)
	return nil
}

// open moves behind the header of a list or a map, which becomes the innermost open one.
func (s *structureScan) open(lengthBytes int, elements, valuesPerElement uint64) error {
	rest := s.rest(lengthBytes)
	values := elements * valuesPerElement
	if values > rest { // each value takes at least one byte
		return s.fail(fmt.Sprintf("%d elements are announced and %d bytes follow", elements, rest))
	}
	if s.depth == maxDepth {
		return s.fail(fmt.Sprintf("lists and maps are nested more than %d deep", maxDepth))
	}
	s.missing[s.depth] = values
	s.depth++
	s.offset += 1 + lengthBytes
	return nil
}

// rest returns the number of bytes after the current value's code and length.
func (s *structureScan) rest(lengthBytes int) uint64 {
	return uint64(len(s.body) - s.offset - 1 - lengthBytes)
}

func (s *structureScan) fail(problem string) error {
	return &StructureError{Offset: s.offset, Problem: problem}
}

// isMap reports whether a value with this code is a map.
func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// isList reports whether a value with this code is a list.
func isList(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}
