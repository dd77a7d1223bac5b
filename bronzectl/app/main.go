// Package app is the operators' command line.
package app

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/launcher"
	"bronzelead.example/pkg/wire"
)

// Exit codes in addition to those of all programs.
const (
	exitConflict   = 3
	exitNotInForce = 4
)

const (
	callTimeout   = 2 * time.Second
	retryInterval = 100 * time.Millisecond
)

type commandLine struct {
	Controllers []string      `short:"c" env:"BRONZELEAD_CONTROLLERS" help:"IP numbers and ports of the controllers."`
	KeyFile     string        `short:"k" env:"BRONZELEAD_KEY_FILE" help:"File with the operator's key."`
	Output      string        `short:"o" enum:"table,json" default:"table" help:"Form of the output: table or json."`
	Timeout     time.Duration `default:"15s" help:"How long to try, and to wait with --wait."`

	Contract contractCommands `cmd:"" help:"Read and change contracts."`
	Status   statusCommand    `cmd:"" help:"Show the leader, sessions, backend servers and placements."`
	Explain  explainCommand   `cmd:"" help:"Show what was decided for a request, and why."`
	Backend  backendCommands  `cmd:"" help:"Read and drain backend servers."`
	Held     heldCommands     `cmd:"" help:"Read and release requests that are held back; without a key, in the routed mode."`
	Limits   limitsCommand    `cmd:"" help:"Show how customers' limits stand, in the routed mode; without a key."`
	Member   memberCommands   `cmd:"" help:"Read and change the controllers."`
	Key      keyCommands      `cmd:"" help:"Make keys."`
}

// environment is what a command runs with.
type environment struct {
	ctx         context.Context
	in          io.Reader
	out         io.Writer
	json        bool
	key         string
	clock       clockwork.Clock
	client      *connector.Client
	controllers *connector.Controllers
}

// exitError ends the program with the given exit code.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// Main runs the program and returns its exit code: 0 success, 1 failure, 2 wrong
// usage or a contract that is refused, 3 a conflict with another change, 4 not in
// force everywhere within the time.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	line := &commandLine{}
	program := &launcher.Program{
		Name: "bronzectl", CommandLine: line, Stdout: stdout, Stderr: stderr,
		Description: "Drives bronzelead. Exit codes: 0 success, 1 failure, 2 wrong usage or a refused contract, " +
			"3 conflict with another change, 4 not in force everywhere within the time.",
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	ctx, cancel := context.WithTimeout(context.Background(), line.Timeout)
	defer cancel()
	s, err := line.newEnvironment(ctx, stdin, stdout, isRouted(parsed.Command()))
	if err == nil {
		err = parsed.Run(s)
	}
	return exitCode(err, stderr)
}

// isRouted reports whether a command is served by controllers of the routed mode, which require
// no key.
func isRouted(command string) bool {
	return strings.HasPrefix(command, "held ") || strings.HasPrefix(command, "limits")
}

// newEnvironment returns what a command runs with. Controllers of the routed mode require no
// key.
func (c *commandLine) newEnvironment(ctx context.Context, in io.Reader, out io.Writer, routed bool) (*environment, error) {
	if c.Explain.offline() {
		return &environment{ctx: ctx, in: in, out: out, json: c.Output == "json"}, nil
	}
	if len(c.Controllers) == 0 || c.KeyFile == "" && !routed {
		return nil, &exitError{code: launcher.ExitUsage, text: "--controllers and --key-file are required"}
	}
	key := ""
	if c.KeyFile != "" {
		var err error
		if key, err = authenticator.ReadKey(c.KeyFile); err != nil {
			return nil, errors.Wrap(err, "bronzectl")
		}
	}
	return &environment{
		ctx: ctx, in: in, out: out, json: c.Output == "json", key: key, clock: clockwork.NewRealClock(),
		client:      &connector.Client{Timeout: callTimeout, Key: key, Transport: connector.NewTransport(nil)},
		controllers: &connector.Controllers{Addresses: c.Controllers},
	}, nil
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return launcher.ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "bronzectl:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var answer twirp.Error
	if errors.As(err, &answer) && answer.Code() == twirp.InvalidArgument {
		return launcher.ExitUsage
	}
	return launcher.ExitFailed
}

// call tries one controller after the other until one answers.
func (s *environment) call(f func(wire.Operator) error) error {
	return s.controllers.Try(s.ctx, s.pause, func(address string) error {
		return f(wire.NewOperatorProtobufClient("http://"+address, s.client))
	})
}

func (s *environment) pause(int) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-s.clock.After(retryInterval):
		return true
	}
}
