package snapshot

import (
	"errors"
	"fmt"
)

var (
	// ErrTooManyChanges means that the state service repeatedly compacted its change history before all keys
	// were read.
	ErrTooManyChanges = errors.New("snapshot: the state service compacted its change history while its keys were being read")
	// ErrCorrupt means that a file is truncated, corrupted or not a snapshot.
	ErrCorrupt = errors.New("not a whole snapshot")
	// ErrNewerVersion means that a file was written by a newer version of the program.
	ErrNewerVersion = errors.New("snapshot of a newer version of the program")
	// ErrWrongKey means that a file was written with another key or without a key.
	ErrWrongKey = errors.New("snapshot was written with another key, or without one")
	// ErrEmptySecret means that a key file holds no secret.
	ErrEmptySecret = errors.New("the secret is empty")
	// ErrNoCopy means that the state service holds no valid copy.
	ErrNoCopy = errors.New("snapshot: the state service holds no valid copy")
	// ErrNotEmpty means that the state service holds keys that were not written by this restore.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrOtherRestore wraps ErrNotEmpty and means that another snapshot is being restored.
	ErrOtherRestore = fmt.Errorf("%w: a restore of another snapshot is under way", ErrNotEmpty)
	// ErrKeysDiffer means that keys have other values than in the snapshot. A restore does not overwrite them.
	ErrKeysDiffer = errors.New("keys have other values than in the snapshot")
)

// DifferentKeysError wraps ErrKeysDiffer. It has the number of keys that differ, and one of these keys as an
// example.
type DifferentKeysError struct {
	Count   int
	Example string
}

func (e *DifferentKeysError) Error() string {
	return fmt.Sprintf("%v: %d, such as %s", ErrKeysDiffer, e.Count, e.Example)
}

// Unwrap returns ErrKeysDiffer.
func (*DifferentKeysError) Unwrap() error { return ErrKeysDiffer }
