package tabletransmitter

import "github.com/pkg/errors"

// Kind classifies why a package could not be used.
type Kind int

// The kinds of errors.
const (
	// KindCorrupt means that the package is not what its checksum says, or can't be read.
	KindCorrupt Kind = iota + 1
	// KindBase means that it does not fit the table that it is a difference from.
	KindBase
	// KindPacking means that a table could not be packed.
	KindPacking
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "tabletransmitter: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error, or 0 for one of another package.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func fail(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, cause: errors.Errorf(format, args...)}
}
