package reserver

import "github.com/pkg/errors"

// Kind classifies the errors of this package.
type Kind int

// The kinds of errors.
const (
	// KindFull means that there is no room for a reservation.
	KindFull Kind = iota + 1
	// KindRevoked means that a reservation had to make room for others.
	KindRevoked
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "reserver: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsRefusal reports whether an error means that memory is short.
func IsRefusal(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

func fail(kind Kind, problem string) error {
	return &Error{Operation: "Grow", Kind: kind, cause: errors.New(problem)}
}
