package standby

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLoaded means that a copy has not been loaded.
	ErrNotLoaded = errors.New("the copy has not been loaded")
	// ErrCompacted means that the store has compacted changes that follow the copy's revision.
	ErrCompacted = errors.New("the store has compacted changes since the copy's revision")
)

// GapError means that a watch returned no changes for the revisions from First to Last.
type GapError struct{ First, Last uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the watch returned no changes of revisions %d to %d", e.First, e.Last)
}

// OrderError means that a watch returned changes out of order.
type OrderError struct{ Revision uint64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("the watch returned changes out of order at revision %d", e.Revision)
}

// FutureChangeError means that a watch response has a change that is newer than the response's
// revision.
type FutureChangeError struct{ Change, Response uint64 }

func (e *FutureChangeError) Error() string {
	return fmt.Sprintf("the watch returned a change of revision %d in a response of revision %d", e.Change, e.Response)
}

// SizeError means that a copy exceeds its size limit.
type SizeError struct{ LimitBytes int }

func (e *SizeError) Error() string { return fmt.Sprintf("the copy exceeds %d bytes", e.LimitBytes) }

// Mismatch is the way in which a copy and the store differ in one key.
type Mismatch int

// The mismatches.
const (
	MissingInCopy Mismatch = iota
	MissingInStore
	DifferentValue
)

// MismatchError means that an audit found a key in which the copy differs from the store.
type MismatchError struct {
	Key      string
	Mismatch Mismatch
}

func (e *MismatchError) Error() string {
	switch e.Mismatch {
	case MissingInCopy:
		return fmt.Sprintf("%s is missing in the copy", e.Key)
	case MissingInStore:
		return fmt.Sprintf("%s is missing in the store", e.Key)
	}
	return fmt.Sprintf("%s has another value or version in the store", e.Key)
}
