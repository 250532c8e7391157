package wire

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// List is a list of entries in a message, each of which has a name. Decoding ends with an error at the first entry
// without one, because the smallest entries are a hundred times larger in memory than in a body.
type List[T Named] []T

// Named is an entry of a List.
type Named interface {
	// EntryName returns what identifies the entry. It is empty if the entry is malformed.
	EntryName() string
}

// minEntryBytes is the size in a body from which entries have their memory allocated in advance. Entries with a name
// of a few letters are larger.
const minEntryBytes = 16

// DecodeMsgpack implements msgpack.CustomDecoder. It must follow checkStructure, as in Unmarshal.
func (l *List[T]) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	entries := make(List[T], 0, min(length, unreadBytes(decoder)/minEntryBytes))
	for range length {
		var empty T
		entries = append(entries, empty)
		entry := &entries[len(entries)-1]
		if err := decoder.DecodeValue(reflect.ValueOf(entry).Elem()); err != nil {
			return err
		}
		if (*entry).EntryName() == "" {
			return fmt.Errorf("entry %d of %d has no name", len(entries), length)
		}
	}
	*l = entries
	return nil
}

// unreadBytes returns how many bytes of a body the decoder has not read. It returns 0 if the decoder does not read
// from memory.
func unreadBytes(decoder *msgpack.Decoder) int {
	if body, ok := decoder.Buffered().(interface{ Len() int }); ok {
		return body.Len()
	}
	return 0
}

// EntryName returns the task's name.
func (t TaskStatus) EntryName() string { return t.Task }

// EntryName returns the name of the command's task.
func (c Command) EntryName() string { return c.Task }

// EntryName returns the type's name.
func (m MachineType) EntryName() string { return m.Name }

// EntryName returns the machine's ID.
func (m Machine) EntryName() string { return m.ID }

// EntryName returns the key.
func (kv KeyValue) EntryName() string { return kv.Key }

// EntryName returns the key that was set or deleted.
func (e Event) EntryName() string { return e.Put + e.Delete }

// EntryName returns the job's ID.
func (s JobStatus) EntryName() string { return s.ID }
