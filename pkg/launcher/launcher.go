// Package launcher parses a program's command line and defines the exit codes that all programs
// share.
package launcher

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"bronzelead.example/pkg/configurer"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage reports invalid arguments or settings.
	ExitUsage = 2
)

// Program is the command-line interface of a program. Set the exported fields, then call Parse.
type Program struct {
	Name        string
	Description string
	// CommandLine is a pointer to the struct of commands and flags.
	CommandLine any
	Stdout      io.Writer
	Stderr      io.Writer
	// Options are passed to the kong parser in addition.
	Options []kong.Option
}

// Parse parses the arguments. If the context is nil, the program must exit with the code: help
// was shown or an error was reported.
func (p *Program) Parse(args []string) (parsed *kong.Context, code int) {
	exited := -1
	options := append([]kong.Option{
		kong.Name(p.Name), kong.Description(p.Description),
		kong.Writers(p.Stdout, p.Stderr), kong.Exit(func(code int) { exited = code }),
	}, p.Options...)
	parser, err := kong.New(p.CommandLine, options...)
	if err != nil {
		_, _ = fmt.Fprintln(p.Stderr, err)
		return nil, ExitFailed
	}
	parsed, err = parser.Parse(args)
	switch {
	case exited >= 0:
		return nil, exited
	case err != nil:
		_, _ = fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, err)
		return nil, ExitUsage
	}
	return parsed, ExitOK
}

// ReportFaults prints the faults of the settings, one per line, and returns their exit code.
func ReportFaults(faults []configurer.Fault, stderr io.Writer) int {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(stderr, fault)
	}
	return ExitUsage
}

// CheckSettings prints the faults of a settings file, or that it has none, and returns the exit
// code.
func CheckSettings(file string, faults []configurer.Fault, stdout, stderr io.Writer) int {
	if len(faults) > 0 {
		return ReportFaults(faults, stderr)
	}
	_, _ = fmt.Fprintln(stdout, file+": all settings are right")
	return ExitOK
}
