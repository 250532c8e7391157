package main

import (
	"errors"
	"fmt"
	"io"
)

// Exit codes other than 0. docs/operations.md lists them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitViolation   = 3 // a rule of the protocol was violated
	exitNotFound    = 4 // no such job or schedule
	exitUnavailable = 5 // no controller could serve the request; the same command may succeed later
)

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// isUnavailable reports whether the exit code of an error is exitUnavailable.
func isUnavailable(err error) bool {
	var coded *exitError
	return errors.As(err, &coded) && coded.code == exitUnavailable
}

// maxViolationsShown is the maximum number of violations that are printed.
const maxViolationsShown = 20

// reportViolations prints the violations of the protocol's rules, or that there are none. If there are any, it
// returns an error with the exit code exitViolation.
func reportViolations(out io.Writer, violations []string) error {
	if len(violations) == 0 {
		_, err := fmt.Fprintln(out, "no rule was broken")
		return err
	}
	for _, violation := range violations[:min(len(violations), maxViolationsShown)] {
		fmt.Fprintln(out, "broken rule:", violation)
	}
	return &exitError{exitViolation, fmt.Errorf("%d times a rule was broken", len(violations))}
}
