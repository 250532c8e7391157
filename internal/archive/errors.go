package archive

import (
	"errors"
	"fmt"
)

var (
	// ErrDamaged means that a stored value is not what was written.
	ErrDamaged = errors.New("archive: damaged value")
	// ErrNewer means that a stored value is of a later version of the program.
	ErrNewer = errors.New("archive: value of a newer version")
	// ErrTermLost means that another compactor may be at work.
	ErrTermLost = errors.New("archive: the term is lost")

	// errMissingLeaf means that a leaf that the manifest names does not exist.
	errMissingLeaf = fmt.Errorf("%w: missing", ErrDamaged)
	// errManifestFull means that a shard's manifest has no room for more leaves.
	errManifestFull = errors.New("archive: manifest is full")
)

// NewerVersionError is an ErrNewer with the value's version.
type NewerVersionError struct{ Version byte }

func (e *NewerVersionError) Error() string { return fmt.Sprintf("%v: %d", ErrNewer, e.Version) }

// Unwrap returns ErrNewer.
func (*NewerVersionError) Unwrap() error { return ErrNewer }

// InvalidIDError means that a text is not the id of a job.
type InvalidIDError struct{ ID string }

func (e *InvalidIDError) Error() string { return fmt.Sprintf("%q is not a job id", e.ID) }

// LimitsError means that a compactor's limits are too low for any progress.
type LimitsError struct{ MaxMutations, MaxValueBytes int }

func (e *LimitsError) Error() string {
	return fmt.Sprintf("archive: %d changes in a transaction and %d bytes in a value are too few", e.MaxMutations, e.MaxValueBytes)
}
