package app

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Run struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Work until SIGINT or SIGTERM, then hand leadership over and stop."`
	Init struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Make a new cluster with this instance as its first member."`
	CheckSettings struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Check a settings file and show all its faults."`
}

// Main runs the program and returns its exit code: 0 for success, 1 for a failure,
// 2 for a fault in the arguments or settings.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	exited := -1
	parser, err := kong.New(line, kong.Name("controller"),
		kong.Description("Keeps contracts, claims and members on an instance with a disk."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "controller:", err)
		return exitSettings
	}
	switch parsed.Command() {
	case "check-settings <file>":
		return checkSettings(line.CheckSettings.File, stdout, stderr)
	case "init <file>":
		return initialize(line.Init.File, stdout, stderr)
	}
	return run(line.Run.File, stderr)
}

func checkSettings(file string, stdout, stderr io.Writer) int {
	if _, faults := Read(file); len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(stderr, fault)
		}
		return exitSettings
	}
	_, _ = fmt.Fprintln(stdout, file+": all settings are right")
	return exitOK
}

func initialize(file string, stdout, stderr io.Writer) int {
	settings, faults := Read(file)
	if len(faults) > 0 {
		return checkSettings(file, io.Discard, stderr)
	}
	cluster, err := Init(settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "controller:", err)
		return exitFailed
	}
	_, _ = fmt.Fprintln(stdout, "made cluster", cluster)
	return exitOK
}

func run(file string, stderr io.Writer) int {
	settings, faults := Read(file)
	if len(faults) > 0 {
		return checkSettings(file, io.Discard, stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &App{Settings: settings, Clock: clockwork.NewRealClock(), Log: NewLog(settings)}
	if err := a.Run(ctx); err != nil {
		a.Log.Error("the controller ends", "Error", err.Error())
		return exitFailed
	}
	return exitOK
}
