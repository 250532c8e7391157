package dynconfig

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNoChange means that all documents already are as requested.
	ErrNoChange = errors.New("nothing changes")
	// ErrApplyInProgress means that another configuration change is writing pending versions of documents,
	// or was writing pending versions when its controller stopped. The caller must claim GenerationKey with
	// State.Claim and read the state again before calling State.Plan again.
	ErrApplyInProgress = errors.New("another change is being stored")
	// ErrGenerationChanged means that the active generation differs from the generation that the request
	// expects.
	ErrGenerationChanged = errors.New("the configuration has changed")
	// ErrUnknownKind means that this version of the program does not know a document's kind.
	ErrUnknownKind = errors.New("this version knows no such kind of document")
	// ErrUnknownTeam means that the platform's settings don't define a team.
	ErrUnknownTeam = errors.New("the platform's settings have no such team")
	// ErrEmptyCordon means that a cordon selects no machines.
	ErrEmptyCordon = errors.New("zone, type or machine is needed")
	// ErrTooLarge means that a document exceeds the state service's limits on transactions.
	ErrTooLarge = errors.New("too large for the state service")
	// ErrInvalidAmount means that a guarantee or limit of a team is NaN or out of range.
	ErrInvalidAmount = errors.New("must be a number above 0, or for a guarantee 0; to keep a team from starting anything use the smallest limit")
	// ErrSettingsName means that a document of kind settings is not named SettingsName.
	ErrSettingsName = errors.New(`the document with settings is called "` + SettingsName + `"`)
	// ErrDuplicate means that a file contains a document twice.
	ErrDuplicate = errors.New("it is there twice")
	// errBeforeUnixEpoch means that a time is negative.
	errBeforeUnixEpoch = errors.New("before 1970")
)

// DocumentError reports which document is invalid and why.
type DocumentError struct {
	Kind, Name string
	Err        error
}

func (e *DocumentError) Error() string { return fmt.Sprintf("%s %q: %v", e.Kind, e.Name, e.Err) }

// Unwrap returns the cause.
func (e *DocumentError) Unwrap() error { return e.Err }

// FieldError reports which field of a document is invalid and why. Field is the field's name in files.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// NameError means that a document's name is empty or too long.
type NameError struct {
	Kind     string
	MaxBytes int
}

func (e *NameError) Error() string {
	return fmt.Sprintf("%s: a name of 1 to %d bytes is needed", e.Kind, e.MaxBytes)
}

// LengthError means that a string is too long.
type LengthError struct{ MaxBytes int }

func (e *LengthError) Error() string { return fmt.Sprintf("more than %d bytes", e.MaxBytes) }

// CeilingError means that a team's guarantee or limit exceeds the platform's value for it.
type CeilingError struct{ Value, Ceiling float64 }

func (e *CeilingError) Error() string {
	return fmt.Sprintf("%g is above the platform's %g, which is the ceiling", e.Value, e.Ceiling)
}

// GuaranteeError means that a team's guarantee exceeds its limit.
type GuaranteeError struct{ Guarantee, Limit float64 }

func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("the guarantee %g is above the limit %g", e.Guarantee, e.Limit)
}

// ZoneError means that the platform has no such zone.
type ZoneError struct {
	Zone  string
	Zones []string
}

func (e *ZoneError) Error() string {
	return fmt.Sprintf("%q is not one of %s", e.Zone, strings.Join(e.Zones, ", "))
}

// NotTunableError means that a setting can't be changed at run time. Tunable lists the settings that
// can be changed.
type NotTunableError struct{ Tunable []string }

func (e *NotTunableError) Error() string {
	return "can't be changed at run time; these can: " + strings.Join(e.Tunable, ", ")
}

// TimeError means that a string is not a time in the format of RFC 3339.
type TimeError struct{ Text string }

func (e *TimeError) Error() string {
	return fmt.Sprintf("%q is not a time such as 2026-12-31T18:00:00Z", e.Text)
}

// DocumentCountError means that a change may lead to too many documents. Count is the number of active
// documents plus the number of changed documents.
type DocumentCountError struct{ Count, Limit int }

func (e *DocumentCountError) Error() string {
	return fmt.Sprintf("%d documents, of %d at most", e.Count, e.Limit)
}

// GenerationMismatchError is an ErrGenerationChanged with the active and the expected generation.
type GenerationMismatchError struct{ Active, Expected uint64 }

func (e *GenerationMismatchError) Error() string {
	return fmt.Sprintf("%v: generation %d is in force, not %d", ErrGenerationChanged, e.Active, e.Expected)
}

// Unwrap returns ErrGenerationChanged.
func (*GenerationMismatchError) Unwrap() error { return ErrGenerationChanged }

// FutureGenerationError means that a generation does not exist yet.
type FutureGenerationError struct{ Generation uint64 }

func (e *FutureGenerationError) Error() string {
	return fmt.Sprintf("there has been no generation %d", e.Generation)
}

// ExpiredGenerationError means that a generation is older than the retained history.
type ExpiredGenerationError struct{ Generation, Oldest uint64 }

func (e *ExpiredGenerationError) Error() string {
	return fmt.Sprintf("generation %d is too long ago: history begins at %d", e.Generation, e.Oldest)
}
