// Package logger makes a program's structured log: JSON lines that carry the
// instance and its availability zone. Keys and prompts are never logged.
package logger

import (
	"io"
	"log/slog"

	"github.com/lesismal/nbio/logging"
)

// New returns a log that writes JSON lines to w.
func New(w io.Writer, level slog.Level, program, instance, zone string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("Program", program, "Instance", instance, "Zone", zone)
}

// UseForLibrary sends the HTTP library's messages to the log as debug lines. The
// library keeps one log for the whole process.
func UseForLibrary(log *slog.Logger) { logging.SetLogger(&library{log: log}) }

type library struct{ log *slog.Logger }

func (l *library) Debug(format string, v ...any) { l.write(format, v) }
func (l *library) Info(format string, v ...any)  { l.write(format, v) }
func (l *library) Warn(format string, v ...any)  { l.write(format, v) }
func (l *library) Error(format string, v ...any) { l.write(format, v) }

func (l *library) write(format string, v []any) {
	l.log.Debug("HTTP library", "Format", format, "Values", v)
}
