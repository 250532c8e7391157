package main

import (
	"errors"
	"fmt"
	"io"
)

// Exit codes beside 0. docs/operations.md lists them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitViolation   = 3 // a rule of the protocol was violated
	exitNotFound    = 4 // no such job or schedule
	exitUnavailable = 5 // nobody could answer; the same command may succeed later
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error is the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit code.
func (e *exitError) Unwrap() error { return e.err }

// isUnavailable reports whether the same command may succeed later.
func isUnavailable(err error) bool {
	var coded *exitError
	return errors.As(err, &coded) && coded.code == exitUnavailable
}

// maxViolationsShown bounds the violations that are printed.
const maxViolationsShown = 20

// reportViolations prints whether the rules held. The error says that they did not.
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
