// Package logger creates a program's structured log: JSON lines that name the instance and its
// availability zone. Keys and prompts must never be logged.
package logger

import (
	"io"
	"log/slog"
)

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level slog.Level, program, instance, zone string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("Program", program, "Instance", instance, "Zone", zone)
}
