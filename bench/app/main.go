// Package app is the command line of the benches.
package app

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type commandLine struct {
	Added   addedCommand   `cmd:"" help:"Time that a gateway adds, paired against the engine itself."`
	Most    mostCommand    `cmd:"" help:"Requests a second of one gateway, with so many callers at once."`
	Streams streamsCommand `cmd:"" help:"Open streams and hold them, to read the gateway's memory."`

	Policy   policyCommand   `cmd:"" help:"The policy against its baselines, in virtual time."`
	Sessions sessionsCommand `cmd:"" help:"Play many gateways against a controller, to read what that costs it."`
}

// Main runs a bench and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	exited := -1
	parser, err := kong.New(line, kong.Name("bench"), kong.Description("Measures bronzelead."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "bench:", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "bench:", err)
		return exitFailed
	}
	return exitOK
}
