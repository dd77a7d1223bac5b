package app

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/translator"
)

// target is a server that requests are sent to.
type target struct {
	address string
	key     string
	model   string
	tokens  int
	stream  bool
	client  *http.Transport
	next    atomic.Int64
}

// sample holds the timings of one request.
type sample struct {
	total      time.Duration
	firstEvent time.Duration
	gaps       []time.Duration
	err        error
}

func newTarget(address, keyFile, model string, tokens int, stream bool) (*target, error) {
	t := &target{address: address, model: model, tokens: tokens, stream: stream, client: connector.NewTransport(nil)}
	t.client.MaxIdleConnsPerHost = 20_000
	if keyFile == "" {
		return t, nil
	}
	key, err := authenticator.ReadKey(keyFile)
	t.key = key
	return t, errors.Wrap(err, "bench")
}

// sendRequest sends one request and reads the whole response.
func (t *target) sendRequest(ctx context.Context) sample {
	body := fmt.Sprintf(`{"model":%q,"prompt":"two loaves","max_tokens":%d,"stream":%t}`, t.model, t.tokens, t.stream)
	url := "http://" + t.address + translator.CompletionsPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return sample{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(translator.RequestIDHeader, strconv.FormatInt(t.next.Add(1), 10)+"-"+strconv.Itoa(os.Getpid()))
	if t.key != "" {
		req.Header.Set("Authorization", "Bearer "+t.key)
	}
	start := time.Now()
	res, err := t.client.RoundTrip(req)
	if err != nil {
		return sample{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	s := readResponse(res.Body, start)
	if res.StatusCode != http.StatusOK {
		s.err = errors.New(res.Status)
	}
	return s
}

func readResponse(body io.Reader, start time.Time) sample {
	s := sample{}
	lines := bufio.NewReader(body)
	last := start
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			now := time.Now()
			if s.firstEvent == 0 {
				s.firstEvent = now.Sub(start)
			} else {
				s.gaps = append(s.gaps, now.Sub(last))
			}
			last = now
		}
		if err != nil {
			break
		}
	}
	s.total = time.Since(start)
	return s
}

// quantiles formats the quantiles of durations.
func quantiles(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(time.Microsecond)
	}
	return fmt.Sprintf("n %d  p50 %s  p95 %s  p99 %s  max %s", len(all), at(0.5), at(0.95), at(0.99), all[len(all)-1].Round(time.Microsecond))
}

type overheadCommand struct {
	Direct  string  `required:"" help:"Address of the engine."`
	Gateway string  `required:"" help:"Address of the gateway."`
	KeyFile string  `required:"" help:"File with the customer's key."`
	Model   string  `required:"" help:"Model that the engine has loaded."`
	Rate    float64 `default:"1000" help:"Requests a second to each of the two."`
	Seconds float64 `default:"10" help:"How long."`
	Tokens  int     `default:"1" help:"Tokens of an answer."`
	Stream  bool    `help:"Ask for streams."`
}

// Run sends pairs of requests: one to the engine and one through the gateway.
func (c *overheadCommand) Run(out io.Writer) error {
	direct, err := newTarget(c.Direct, "", c.Model, c.Tokens, c.Stream)
	if err != nil {
		return err
	}
	through, err := newTarget(c.Gateway, c.KeyFile, c.Model, c.Tokens, c.Stream)
	if err != nil {
		return err
	}
	pairs := c.sendPairs(direct, through)
	c.report(out, pairs)
	return nil
}

type pair struct{ direct, through sample }

// sendPairs starts a pair at each tick, whether or not earlier pairs have completed.
func (c *overheadCommand) sendPairs(direct, through *target) []pair {
	n := int(c.Rate * c.Seconds)
	pairs := make([]pair, n)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		at := start.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		wg.Add(2)
		go func() {
			defer wg.Done()
			pairs[i].direct = direct.sendRequest(context.Background())
		}()
		go func() {
			defer wg.Done()
			pairs[i].through = through.sendRequest(context.Background())
		}()
	}
	wg.Wait()
	return pairs
}

func (c *overheadCommand) report(out io.Writer, pairs []pair) {
	var direct, through, added, directBetween, throughBetween []time.Duration
	failed := 0
	for _, p := range pairs {
		if p.direct.err != nil || p.through.err != nil {
			failed++
			continue
		}
		direct = append(direct, p.direct.total)
		through = append(through, p.through.total)
		added = append(added, p.through.total-p.direct.total)
		directBetween = append(directBetween, p.direct.gaps...)
		throughBetween = append(throughBetween, p.through.gaps...)
	}
	_, _ = fmt.Fprintf(out, "direct   %s\nthrough  %s\nadded    %s\nfailed   %d\n", quantiles(direct), quantiles(through), quantiles(added), failed)
	if c.Stream {
		_, _ = fmt.Fprintf(out, "between tokens, direct   %s\nbetween tokens, through  %s\n", quantiles(directBetween), quantiles(throughBetween))
	}
}

type throughputCommand struct {
	Gateway string  `required:"" help:"Address of the gateway."`
	KeyFile string  `required:"" help:"File with the customer's key."`
	Model   string  `required:"" help:"Model that is loaded."`
	Callers int     `default:"128" help:"Callers at once."`
	Seconds float64 `default:"10" help:"How long."`
	PID     int     `help:"Process of the gateway, to count its processor time."`
}

// Run lets concurrent callers send requests, each as soon as its previous one is answered.
func (c *throughputCommand) Run(out io.Writer) error {
	t, err := newTarget(c.Gateway, c.KeyFile, c.Model, 1, false)
	if err != nil {
		return err
	}
	var done, failed atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds*float64(time.Second)))
	defer cancel()
	before := cpuSeconds(c.PID)
	start := time.Now()
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				if t.sendRequest(ctx).err != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
			}
		}()
	}
	wg.Wait()
	took := time.Since(start).Seconds()
	used := cpuSeconds(c.PID) - before
	rate := float64(done.Load()) / took
	_, _ = fmt.Fprintf(out, "%.0f requests/s, %d failed, %.2f cores used", rate, failed.Load(), used/took)
	if used > 0 {
		_, _ = fmt.Fprintf(out, ", %.0f requests per core second", float64(done.Load())/used)
	}
	_, _ = fmt.Fprintln(out)
	return nil
}

const clockTicks = 100

// cpuSeconds returns the CPU time that a process has used, in seconds.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicks
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb << 10
		}
	}
	return 0
}

type streamsCommand struct {
	Gateway string `required:"" help:"Address of the gateway."`
	KeyFile string `required:"" help:"File with the customer's key."`
	Model   string `required:"" help:"Model that is loaded."`
	Count   int    `default:"9000" help:"Streams to open."`
	Tokens  int    `default:"4000" help:"Tokens of each stream."`
	PID     int    `required:"" help:"Process of the gateway."`
}

// Run opens streams in batches and reads the gateway's memory after each batch.
func (c *streamsCommand) Run(out io.Writer) error {
	t, err := newTarget(c.Gateway, c.KeyFile, c.Model, c.Tokens, true)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	base := residentBytes(c.PID)
	const steps = 3
	for step := 1; step <= steps; step++ {
		opened := c.openStreams(ctx, t, c.Count/steps)
		now := residentBytes(c.PID)
		_, _ = fmt.Fprintf(out, "%d streams opened of %d: %d MB resident, %d bytes each\n",
			opened, c.Count/steps, now>>20, (now-base)/(step*c.Count/steps))
	}
	return nil
}

// openStreams opens n streams and returns how many have sent their first event.
func (c *streamsCommand) openStreams(ctx context.Context, t *target, n int) int {
	results := make(chan bool, n)
	for range n {
		go func() { results <- t.openStream(ctx) }()
		time.Sleep(time.Millisecond)
	}
	opened := 0
	for range n {
		if <-results {
			opened++
		}
	}
	return opened
}

// openStream opens a stream and keeps reading it in the background.
func (t *target) openStream(ctx context.Context) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":"two loaves","max_tokens":%d,"stream":true}`, t.model, t.tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address+translator.CompletionsPath, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	res, err := t.client.RoundTrip(req) //nolint:bodyclose // The reader in the background closes it.
	if err != nil {
		return false
	}
	lines := bufio.NewReaderSize(res.Body, 1<<10)
	line, err := lines.ReadString('\n')
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		_ = res.Body.Close()
	}()
	return err == nil && strings.HasPrefix(line, "data:")
}
