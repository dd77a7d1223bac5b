// Package app is the command line of the benchmarks.
package app

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"bronzelead.example/pkg/launcher"
)

type commandLine struct {
	Added   overheadCommand   `cmd:"" help:"Time that a gateway adds, paired against the engine itself."`
	Most    throughputCommand `cmd:"" help:"Requests a second of one gateway, with so many callers at once."`
	Streams streamsCommand    `cmd:"" help:"Open streams and hold them, to read the gateway's memory."`

	Policy   policyCommand   `cmd:"" help:"The policy against its baselines, in virtual time."`
	Sessions sessionsCommand `cmd:"" help:"Play many gateways against a controller, to read what that costs it."`
}

// Main runs a benchmark and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	program := &launcher.Program{
		Name: "bench", Description: "Measures bronzelead.",
		CommandLine: line, Stdout: stdout, Stderr: stderr,
		Options: []kong.Option{kong.BindTo(stdout, (*io.Writer)(nil))},
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "bench:", err)
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}
