package archive

import (
	"errors"
	"fmt"
)

var (
	// ErrCorrupt means that a stored value fails its checksum, cannot be decoded or is missing.
	ErrCorrupt = errors.New("archive: corrupt value")
	// ErrNewerVersion means that a stored value has the format of a later version of the program.
	ErrNewerVersion = errors.New("archive: value has a newer format version")
	// ErrTermLost means that the leadership term in which a compactor runs has ended. The compactor of
	// another leader may be running.
	ErrTermLost = errors.New("archive: leadership term lost")

	// errLeafNotFound means that the manifest names a leaf that does not exist.
	errLeafNotFound = fmt.Errorf("%w: leaf not found", ErrCorrupt)
	// errManifestFull means that a shard's manifest has no room for more leaves.
	errManifestFull = errors.New("archive: manifest is full")
)

// NewerVersionError wraps ErrNewerVersion and adds the format version of the value.
type NewerVersionError struct{ Version byte }

func (e *NewerVersionError) Error() string { return fmt.Sprintf("%v: %d", ErrNewerVersion, e.Version) }

// Unwrap returns ErrNewerVersion.
func (*NewerVersionError) Unwrap() error { return ErrNewerVersion }

// InvalidIDError means that a string is not a valid job id.
type InvalidIDError struct{ ID string }

func (e *InvalidIDError) Error() string { return fmt.Sprintf("%q is not a job id", e.ID) }

// LimitsError means that a compactor's limits are too low to archive even one result.
type LimitsError struct{ MaxMutations, MaxValueBytes int }

func (e *LimitsError) Error() string {
	return fmt.Sprintf("archive: limits of %d mutations per transaction and %d bytes per value are too low", e.MaxMutations, e.MaxValueBytes)
}
