// Package app is the command line of the stand-ins.
package app

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/launcher"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/standin/acknowledger"
	"bronzelead.example/standin/announcer"
	"bronzelead.example/standin/generator"
	"bronzelead.example/standin/weightserver"
)

const (
	stopTimeout   = 30 * time.Second
	weightTimeout = 20 * time.Second
)

type backendOptions struct {
	Name     string        `required:"" help:"Name of the instance."`
	Zone     string        `required:"" help:"Availability zone."`
	Listen   string        `required:"" help:"IP number and port."`
	Address  string        `help:"IP number and port to announce; Listen if empty."`
	Gateways []string      `required:"" help:"IP numbers and ports of gateways to announce to."`
	KeyFile  string        `required:"" help:"File with the key of backend servers."`
	Every    time.Duration `default:"1s" help:"Time between announcements."`
	Leave    time.Duration `default:"5s" help:"How long requests are still served after leaving was announced."`
}

type commandLine struct {
	Engine struct {
		Place         backendOptions `embed:""`
		BaseModel     string         `default:"base" help:"Base model."`
		Slots         int            `default:"4" help:"Adapters that fit."`
		Batch         int            `default:"16" help:"Requests in one step."`
		Step          time.Duration  `default:"5ms" help:"Time of one step."`
		IgnoreFencing bool           `help:"Take orders with old fencing numbers."`
		EndOn         string         `help:"Text in a request's body under which the process ends."`
	} `cmd:"" help:"Play a model engine."`
	Service struct {
		Place   backendOptions `embed:""`
		Service string         `required:"" help:"Name of the service."`
	} `cmd:"" help:"Play a plain service."`
	Store struct {
		Listen    string        `required:"" help:"IP number and port."`
		PerSecond float64       `default:"5" help:"Loads a second."`
		AtOnce    int           `default:"3" help:"Loads at once at full speed."`
		Takes     time.Duration `default:"300ms" help:"Time of one load."`
	} `cmd:"" help:"Play the weight store."`
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	line := &commandLine{}
	program := &launcher.Program{
		Name: "standin", Description: "Plays a system that bronzelead serves.",
		CommandLine: line, Stdout: stdout, Stderr: stderr,
	}
	parsed, code := program.Parse(args)
	if parsed == nil {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := logger.New(stderr, slog.LevelInfo, "standin", parsed.Command(), "")
	if err := line.run(ctx, parsed.Command(), log); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return launcher.ExitFailed
	}
	return launcher.ExitOK
}

func (c *commandLine) run(ctx context.Context, command string, log *slog.Logger) error {
	switch command {
	case "engine":
		return c.engine(ctx, log)
	case "service":
		return c.service(ctx, log)
	}
	p := &weightserver.Server{LoadsPerSecond: c.Store.PerSecond, ConcurrentLoads: c.Store.AtOnce, LoadDuration: c.Store.Takes}
	return serve(ctx, log, c.Store.Listen, p.Handler())
}

func (c *commandLine) engine(ctx context.Context, log *slog.Logger) error {
	e := c.Engine
	client := &connector.Client{Timeout: weightTimeout, Transport: connector.NewTransport(nil)}
	g := &generator.Generator{
		BaseModel: e.BaseModel, Slots: e.Slots, Batch: e.Batch, StepDuration: e.Step,
		ChecksFencing: !e.IgnoreFencing, Weights: func(path string) error { return fetchWeights(client, path) },
		ExitText: e.EndOn, Exit: func() { os.Exit(launcher.ExitFailed) },
	}
	g.Init(rand.Text())
	go g.Run(make(chan struct{}))
	return serveBackend(ctx, log, e.Place, g.Handler(), g.Announcement)
}

// fetchWeights downloads an adapter's weights from the store.
func fetchWeights(client *connector.Client, path string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, path, nil)
	if err != nil {
		return errors.Wrap(err, "app")
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "app")
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return errors.Wrap(err, "app")
}

func (c *commandLine) service(ctx context.Context, log *slog.Logger) error {
	a := &acknowledger.Acknowledger{Name: c.Service.Service}
	incarnation := rand.Text()
	return serveBackend(ctx, log, c.Service.Place, a.Handler(), func() translator.Announcement {
		return translator.Announcement{Kind: translator.KindService, Incarnation: incarnation, Service: c.Service.Service}
	})
}

// serveBackend serves a backend server and announces it. After ctx ends, it announces that the
// server is leaving, and stops after p.Leave.
func serveBackend(ctx context.Context, log *slog.Logger, p backendOptions, handler http.Handler, now func() translator.Announcement) error {
	key, err := authenticator.ReadKey(p.KeyFile)
	if err != nil {
		return errors.Wrap(err, "app")
	}
	address := p.Address
	if address == "" {
		address = p.Listen
	}
	var leaving atomic.Bool
	a := &announcer.Announcer{Gateways: p.Gateways, Key: key, Interval: p.Every, Current: func() translator.Announcement {
		announcement := now()
		announcement.Name, announcement.Zone, announcement.Address = p.Name, p.Zone, address
		announcement.Leaving = leaving.Load()
		return announcement
	}}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-ctx.Done()
		leaving.Store(true)
		time.AfterFunc(p.Leave, stop)
	}()
	go a.Run(serving)
	return serve(serving, log, p.Listen, handler)
}

func serve(ctx context.Context, log *slog.Logger, address string, handler http.Handler) error {
	s := &server.Server{Address: address, Handler: handler, Log: log}
	if err := s.Start(); err != nil {
		return errors.Wrap(err, "app")
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(s.Stop(limited), "app")
}
