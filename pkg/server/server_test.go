package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echoDigest answers with the digest of the body, and with a body of the same size.
func echoDigest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Digest", fmt.Sprintf("%x", sha256.Sum256(body)))
	_, _ = w.Write(bytes.Repeat([]byte("x"), len(body)))
}

// Many concurrent calls on reused connections, with bodies from a few bytes to hundreds of
// kilobytes: each gets the complete answer to its own body.
func TestCallsOfAllSizes(t *testing.T) {
	c := qt.New(t)
	p := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(echoDigest), Log: slog.New(slog.DiscardHandler)}
	c.Assert(p.Start(), qt.IsNil)
	checkCalls(c, p.Addr())
	c.Assert(p.Stop(context.Background()), qt.IsNil)
}

func checkCalls(c *qt.C, address string) {
	const callers, calls = 16, 60
	var wait sync.WaitGroup
	faults := make(chan error, callers*calls)
	for caller := range callers {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			random := rand.New(rand.NewPCG(uint64(caller), 1))
			for range calls {
				body := make([]byte, random.IntN(1<<random.IntN(19)+1))
				for i := range body {
					body[i] = byte(random.Uint32())
				}
				if err := checkCall(client, address, body); err != nil {
					faults <- err
				}
			}
		})
	}
	wait.Wait()
	close(faults)
	for fault := range faults {
		c.Check(fault, qt.IsNil)
	}
}

func checkCall(client *http.Client, address string, body []byte) error {
	res, err := client.Post("http://"+address+"/", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("%x", sha256.Sum256(body)); res.Header.Get("Digest") != want || len(got) != len(body) {
		return fmt.Errorf("a call with %d bytes was answered with %d and status %d", len(body), len(got), res.StatusCode)
	}
	return nil
}

// Stop waits for active calls.
func TestStopWaitsForCalls(t *testing.T) {
	c := qt.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	p := &Server{Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			w.WriteHeader(http.StatusAccepted)
		},
	)}
	c.Assert(p.Start(), qt.IsNil)
	status := make(chan int, 1)
	go func() {
		res, err := http.Get("http://" + p.Addr() + "/")
		if err != nil {
			status <- 0
			return
		}
		_ = res.Body.Close()
		status <- res.StatusCode
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- p.Stop(context.Background()) }()
	close(release)
	c.Check(<-status, qt.Equals, http.StatusAccepted)
	c.Check(<-stopped, qt.IsNil)
}

// An answer that its handler aborts after some bytes does not look complete, whether chunked or
// with a length.
func TestAbortedAnswersAreIncomplete(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "with a length": "100"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &Server{Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Handler: http.HandlerFunc(
				func(w http.ResponseWriter, _ *http.Request) {
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
					_, _ = w.Write([]byte("begun"))
					Abort(w)
				},
			)}
			c.Assert(s.Start(), qt.IsNil)
			res, err := http.Get("http://" + s.Addr() + "/")
			if err == nil {
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
			}
			c.Check(err, qt.IsNotNil)
			c.Check(s.Stop(context.Background()), qt.IsNil)
		})
	}
}

// A handler that panics aborts its caller's connection and affects no other caller.
func TestPanickingHandlers(t *testing.T) {
	c := qt.New(t)
	s := &Server{Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Handler: http.HandlerFunc(
		func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				panic("a fault")
			}
		},
	)}
	c.Assert(s.Start(), qt.IsNil)
	_, err := http.Get("http://" + s.Addr() + "/bad")
	c.Check(err, qt.IsNotNil)
	res, err := http.Get("http://" + s.Addr() + "/good")
	c.Assert(err, qt.IsNil)
	c.Check(res.Body.Close(), qt.IsNil)
	c.Check(s.Stop(context.Background()), qt.IsNil)
}
