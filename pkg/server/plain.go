package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Plain serves HTTP with net/http. It is for long calls between processes and for large
// bodies: with nbhttp 1.6.8, one in some thousand of such calls was decoded wrongly or
// got no answer (docs/MEASURED.md names the day). Set the exported fields, then call Start.
type Plain struct {
	// Address is an IP number and port; port 0 lets the kernel choose.
	Address string
	Handler http.Handler
	Log     *slog.Logger

	listener net.Listener
	http     *http.Server
}

// plainHeaderTimeout is how long a caller may take to send a head.
const plainHeaderTimeout = 3 * time.Second

// Start listens and serves in the background.
func (p *Plain) Start() error {
	listen := net.ListenConfig{}
	listener, err := listen.Listen(context.Background(), "tcp", p.Address)
	if err != nil {
		return errors.Wrapf(err, "server: listen on %s", p.Address)
	}
	p.listener = listener
	p.http = &http.Server{
		Handler: p.Handler, ReadHeaderTimeout: plainHeaderTimeout, IdleTimeout: defaultIdle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := p.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("the server ends", "Address", p.Address, "Error", err.Error())
		}
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (p *Plain) Addr() string { return p.listener.Addr().String() }

// Stop takes no more connections and waits for the calls that run until ctx ends.
func (p *Plain) Stop(ctx context.Context) error {
	return errors.Wrap(p.http.Shutdown(ctx), "server: calls still run")
}
