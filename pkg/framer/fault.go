package framer

import "github.com/pkg/errors"

// Kind is the kind of an error of this package.
type Kind int

// The kinds of errors.
const (
	// KindClosed means that the connection closed between two messages.
	KindClosed Kind = iota + 1
	// KindTruncated means that the connection closed inside a message.
	KindTruncated
	// KindMalformed means that the bytes are not a valid message.
	KindMalformed
	// KindTooLarge means that a limit was exceeded.
	KindTooLarge
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "framer: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether an error of this package is of a kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

func wrap(operation string, kind Kind, err error) error {
	return &Error{Operation: operation, Kind: kind, cause: err}
}

func fail(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, cause: errors.Errorf(format, args...)}
}

// TooLarge returns an error of KindTooLarge.
func TooLarge(problem string) error { return fail("Read", KindTooLarge, "%s", problem) }
