package sender

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Kind classifies what is known about a request that got no answer.
type Kind int

// The kinds of errors.
const (
	// KindNotSent means that nothing reached the backend server.
	KindNotSent Kind = iota + 1
	// KindLost means that the request may have run.
	KindLost
	// KindMalformed means that the answer was invalid; the request may have run.
	KindMalformed
	// KindWithdrawn means that the request was withdrawn before anything was sent.
	KindWithdrawn
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "sender: " + e.Operation + ": " + e.cause.Error() }

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

// IsConnectionRefused reports whether nothing listens at an address: the process there has
// exited.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsTimeout reports whether nothing answered at an address.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// IsConnectionReset reports whether a connection was reset.
func IsConnectionReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

func wrap(operation string, kind Kind, err error) error {
	return &Error{Operation: operation, Kind: kind, cause: err}
}

func fail(kind Kind, format string, args ...any) error {
	return wrap("Send", kind, errors.Errorf(format, args...))
}
