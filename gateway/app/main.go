package app

import (
	"context"
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
	} `cmd:"" help:"Serve callers until SIGINT or SIGTERM, then stop gracefully."`
	RunRouted struct {
		File string `arg:"" help:"Settings file."`
	} `cmd:"" help:"Serve callers by a table of routes until SIGINT or SIGTERM, then stop gracefully."`
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
		Name: "gateway", Description: "Serves callers of adapters and services on an entry instance.",
		CommandLine: line, Stdout: stdout, Stderr: stderr,
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	if parsed.Command() == "check-settings <file>" {
		return checkSettings(line.CheckSettings.File, line.CheckSettings.Routed, stdout, stderr)
	}
	if parsed.Command() == "run-routed <file>" {
		return runRouted(line.RunRouted.File, stderr)
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

func run(file string, stderr io.Writer) int {
	settings, faults := Read(file)
	if len(faults) > 0 {
		return launcher.ReportFaults(faults, stderr)
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

func runRouted(file string, stderr io.Writer) int {
	settings, faults := ReadRouted(file)
	if len(faults) > 0 {
		return launcher.ReportFaults(faults, stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var level slog.Level
	// The settings were checked; the zero level is Info.
	_ = level.UnmarshalText([]byte(settings.Log.Level))
	ring := logger.NewAsyncWriter(os.Stdout)
	logging, endLogging := context.WithCancel(context.Background())
	defer ring.Flush()
	defer endLogging()
	go ring.Run(logging)
	log := logger.New(ring, level, "gateway", settings.Instance.Name, settings.Instance.Zone)
	r := newRouted(settings, file, log)
	r.Reload = reloadSignals(ctx)
	if err := r.Run(ctx); err != nil {
		log.Error("the gateway ends", "Error", err.Error())
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}

// newRouted returns a gateway in routed mode. Its clock does not follow steps of the time of day, by
// which windows and leases would end early or late.
func newRouted(settings *RoutedSettings, file string, log *slog.Logger) *Routed {
	return &Routed{Settings: settings, File: file, Clock: timekeeper.BootClock(), Log: log}
}

// reloadSignals returns a channel that receives a value for each SIGHUP.
func reloadSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case reload <- struct{}{}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return reload
}
