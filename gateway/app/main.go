package app

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/launcher"
)

type commandLine struct {
	Run struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Serve callers until SIGINT or SIGTERM, then stop gracefully."`
	CheckSettings struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Check a settings file and show all its faults."`
}

// Main runs the program and returns its exit code: 0 for success, 1 for a failure,
// 2 for a fault in the arguments or settings.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	program := &launcher.Program{
		Name: "gateway", Description: "Serves callers of adapters and services on an entry instance.",
		Line: line, Stdout: stdout, Stderr: stderr,
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	if parsed.Command() == "check-settings <file>" {
		return checkSettings(line.CheckSettings.File, stdout, stderr)
	}
	return run(line.Run.File, stderr)
}

func checkSettings(file string, stdout, stderr io.Writer) int {
	if _, faults := Read(file); len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(stderr, fault)
		}
		return launcher.ExitUsage
	}
	_, _ = fmt.Fprintln(stdout, file+": all settings are right")
	return launcher.ExitOK
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
		a.Log.Error("the gateway ends", "Error", err.Error())
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}
