package app

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/logtracer"
)

// standardInput is the name of a log that stands for standard input.
const standardInput = "-"

// printTrace prints the trace of a request across the processes whose logs are given.
func (c *explainCommand) printTrace(s *environment) error {
	var all []logtracer.Line
	for _, name := range c.Log {
		lines, err := readLog(s, name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	trace := logtracer.Trace(all, c.Request)
	if len(trace) == 0 {
		return errors.Errorf("no line of the logs names request %s; of answered requests only a sample is logged", c.Request)
	}
	for _, line := range trace {
		if err := printLine(s, line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(s *environment, name string) ([]logtracer.Line, error) {
	in := s.in
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	lines, _, err := logtracer.Read(in)
	return lines, errors.Wrapf(err, "read %s", name)
}

func printLine(s *environment, line logtracer.Line) error {
	if !s.json {
		_, err := fmt.Fprintln(s.out, line.String())
		return errors.Wrap(err, "print")
	}
	return errors.Wrap(json.NewEncoder(s.out).Encode(line), "print")
}
