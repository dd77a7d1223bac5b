package replicator

import "github.com/pkg/errors"

// Kind classifies the errors of this package.
type Kind int

// The kinds of errors.
const (
	// KindNotLeader means that the member doesn't lead.
	KindNotLeader Kind = iota + 1
	// KindBusy means that a change of membership or leadership is in progress.
	KindBusy
	// KindIndex means that an index is out of range.
	KindIndex
	// KindMember means that the voters don't allow the operation.
	KindMember
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "replicator: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func fail(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, cause: errors.Errorf(format, args...)}
}
