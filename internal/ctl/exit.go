package ctl

import (
	"errors"
	"fmt"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/settings"
)

// ExitCode is the exit code of vgctl. Scripts rely on its values.
type ExitCode int

// The exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK ExitCode = 0
	// ExitRefused: the entry process refused the request, and a retry would be
	// refused too (not valid, not found, wrong key).
	ExitRefused ExitCode = 1
	// ExitUsage: the command line, or a file that it names, is not valid.
	ExitUsage ExitCode = 2
	// ExitConflict: somebody else changed the item. Nothing was changed.
	ExitConflict ExitCode = 3
	// ExitUnavailable: no entry process could run the request, or a change may
	// have been made and its outcome is not known. The message says which.
	ExitUnavailable ExitCode = 4
	// ExitTimeout: a wait command timed out.
	ExitTimeout ExitCode = 5
)

// usageError reports an invalid command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// timeoutError reports that a wait command timed out.
type timeoutError struct{ text string }

func (e timeoutError) Error() string { return e.text }

// unreachableError reports that no entry process could run a request: each gave no
// answer or answered 503.
type unreachableError struct {
	// outcomeUnknown says that a change may have been accepted nevertheless.
	outcomeUnknown bool
	changeID       string
	lastErr        error
}

func (e unreachableError) Error() string {
	if e.changeID == "" {
		return fmt.Sprintf("no entry process could answer: %v", e.lastErr)
	}
	if !e.outcomeUnknown {
		return fmt.Sprintf("no entry process could make the change, nothing was changed: %v", e.lastErr)
	}
	return fmt.Sprintf("the change may have been accepted; retry with --change-id %s: %v", e.changeID, e.lastErr)
}

func (e unreachableError) Unwrap() error { return e.lastErr }

const (
	statusConflict    = 412
	statusUnavailable = 503
)

// exitCodeOf returns the exit code for the error of a command.
func exitCodeOf(err error) ExitCode {
	var (
		usage        usageError
		invalidFlags *settings.Error
		timeout      timeoutError
		unreachable  unreachableError
		refusal      *problem.Problem
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &invalidFlags):
		return ExitUsage
	case errors.As(err, &timeout):
		return ExitTimeout
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &refusal) && refusal.Status == statusConflict:
		return ExitConflict
	case errors.As(err, &refusal):
		return ExitRefused
	default:
		return ExitRefused
	}
}
