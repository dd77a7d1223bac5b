package logtracer

// Kind is the kind of an error of this package.
type Kind int

// KindUnreadable means that a log could not be read completely.
const KindUnreadable Kind = iota

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "logtracer: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
