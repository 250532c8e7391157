package snapshot

import (
	"errors"
	"fmt"
)

var (
	// ErrBusy means that the keys changed faster than they could be read.
	ErrBusy = errors.New("snapshot: more changes than the state service keeps happened while its keys were read")
	// ErrDamaged means that a file is not what was written: cut short, changed, or
	// never a snapshot.
	ErrDamaged = errors.New("not a whole snapshot")
	// ErrNewer means that a file is of a later version of the program.
	ErrNewer = errors.New("snapshot of a newer version of the program")
	// ErrWrongKey means that a file was written with another key, or with none.
	ErrWrongKey = errors.New("snapshot was written with another key, or without one")
	// ErrEmptySecret means that a key's file holds no secret.
	ErrEmptySecret = errors.New("the secret is empty")
	// ErrNoCopy means that the state service has no valid copy.
	ErrNoCopy = errors.New("snapshot: no whole copy is stored")
	// ErrNotEmpty means that the state service has keys that a restore did not write.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrOtherRestore is an ErrNotEmpty: another snapshot is being restored.
	ErrOtherRestore = fmt.Errorf("%w: a restore of another snapshot is under way", ErrNotEmpty)
	// ErrDiffers means that keys have other values than the snapshot; they are left alone.
	ErrDiffers = errors.New("keys have other values than in the snapshot")
)

// DifferentKeysError is an ErrDiffers with the number of keys and one of them.
type DifferentKeysError struct {
	Count   int
	Example string
}

func (e *DifferentKeysError) Error() string {
	return fmt.Sprintf("%v: %d, such as %s", ErrDiffers, e.Count, e.Example)
}

// Unwrap returns ErrDiffers.
func (*DifferentKeysError) Unwrap() error { return ErrDiffers }
