package storer

import (
	"syscall"

	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind int

// The kinds of errors.
const (
	// KindDisk means that the operating system refused an operation.
	KindDisk Kind = iota + 1
	// KindDamaged means that data that had been synced can't be read back.
	KindDamaged
	// KindFull means that the disk is full. The log is unchanged, and the operation may be
	// repeated. CommitSnapshot may have put its snapshot into force before.
	KindFull
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "storer: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsDamaged reports whether an error is of KindDamaged.
func IsDamaged(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindDamaged
}

// IsFull reports whether an error is of KindFull.
func IsFull(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindFull
}

func diskFault(operation string, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.ENOSPC) {
		return &Error{Operation: operation, Kind: KindFull, cause: errors.WithStack(err)}
	}
	return &Error{Operation: operation, Kind: KindDisk, cause: errors.WithStack(err)}
}

func damaged(operation, format string, args ...any) error {
	return &Error{Operation: operation, Kind: KindDamaged, cause: errors.Errorf(format, args...)}
}
