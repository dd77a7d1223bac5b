package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/launcher"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/timekeeper"
)

type commandLine struct {
	Run struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Work until SIGINT or SIGTERM, then hand leadership over and stop."`
	Init struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Make a new cluster with this instance as its first member."`
	RunRouted struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Keep a table of routes and place adapters until SIGINT or SIGTERM."`
	CheckSettings struct {
		File   string `arg:"" help:"Settings file."`
		Routed bool   `help:"The file is one for run-routed."`
	} `cmd:"" help:"Check a settings file and show all its faults."`
}

// Main runs the program and returns its exit code: 0 for success, 1 for a failure,
// 2 for a fault in the arguments or settings.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	program := &launcher.Program{
		Name: "controller", Description: "Keeps contracts, claims and members on an instance with a disk.",
		CommandLine: line, Stdout: stdout, Stderr: stderr,
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	switch parsed.Command() {
	case "check-settings <file>":
		return checkSettings(line.CheckSettings.File, line.CheckSettings.Routed, stdout, stderr)
	case "run-routed <file>":
		return runRouted(line.RunRouted.File, stderr)
	case "init <file>":
		return initialize(line.Init.File, stdout, stderr)
	}
	return run(line.Run.File, stderr)
}

func checkSettings(file string, routed bool, stdout, stderr io.Writer) int {
	var faults []configurer.Fault
	if routed {
		_, faults = ReadRouted(file)
	} else {
		_, faults = Read(file)
	}
	return launcher.CheckSettings(file, faults, stdout, stderr)
}

func initialize(file string, stdout, stderr io.Writer) int {
	settings, faults := Read(file)
	if len(faults) > 0 {
		return launcher.ReportFaults(faults, stderr)
	}
	cluster, err := Init(settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "controller:", err)
		return launcher.ExitFailed
	}
	_, _ = fmt.Fprintln(stdout, "made cluster", cluster)
	return launcher.ExitOK
}

func run(file string, stderr io.Writer) int {
	settings, faults := Read(file)
	if len(faults) > 0 {
		return launcher.ReportFaults(faults, stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &App{Settings: settings, Clock: clockwork.NewRealClock(), Log: NewLog(settings)}
	if err := a.Run(ctx); err != nil {
		a.Log.Error("the controller ends", "Error", err.Error())
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}

func runRouted(file string, stderr io.Writer) int {
	settings, faults := ReadRouted(file)
	if len(faults) > 0 {
		return launcher.ReportFaults(faults, stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The seeds are read again whenever they are needed.
	signal.Ignore(syscall.SIGHUP)
	var level slog.Level
	// The settings were checked; the zero level is Info.
	_ = level.UnmarshalText([]byte(settings.Log.Level))
	log := logger.New(os.Stdout, level, "controller", settings.Instance.Name, settings.Instance.Zone)
	r := &Routed{Settings: settings, File: file, Clock: timekeeper.BootClock(), Log: log}
	if err := r.Run(ctx); err != nil {
		log.Error("the controller ends", "Error", err.Error())
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}
