package tunneler

import (
	"github.com/pkg/errors"
)

// Kind classifies why no connection was opened through another gateway.
type Kind int

// The kinds of errors.
const (
	// KindNoGateway means that no other gateway could be asked, or none of them could tell.
	KindNoGateway Kind = iota + 1
	// KindUnreachable means that other gateways could not reach the backend server either.
	KindUnreachable
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "tunneler: " + e.Operation + ": " + e.cause.Error() }

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

func fail(operation string, kind Kind, cause error) error {
	return &Error{Operation: operation, Kind: kind, cause: cause}
}
