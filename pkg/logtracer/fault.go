package logtracer

// Kind says what went wrong.
type Kind int

// KindUnreadable means that a log could not be read to its end.
const KindUnreadable Kind = iota

// Error is a fault of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "narrator: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
