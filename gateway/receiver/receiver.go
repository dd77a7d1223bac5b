// Package receiver handles callers' requests: authentication, contract, admission, routing,
// claim, dispatch, verification and answer. It also receives the announcements of backend
// servers.
package receiver

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/claimer"
	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/explainer"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/registrar"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/translator"
)

const (
	defaultMaxBody = 4 << 20
	// maxAnnouncementBytes limits an announcement of a backend server.
	maxAnnouncementBytes = 1 << 20
	// retryAfterNoMemory is when to come back after a refusal because memory is short.
	retryAfterNoMemory = time.Second
	maxKeyLength       = 256
	// Larger values are rejected; the contract's deadline caps a request's deadline anyway.
	maxDeadlineSeconds = 1e6
	servicesPath       = "/services/"
	// ClassHeader selects one of the contract's classes.
	ClassHeader = "X-Priority-Class"
	// DeadlineHeader shortens a request's deadline; it is a duration or seconds.
	DeadlineHeader = "X-Deadline"
	// IdempotencyKeyHeader identifies a request that must not run twice.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader returns the request's id to the caller.
	RequestIDHeader = "X-Request-Id"
)

// Receiver serves callers. Set the exported fields, then use Handler.
type Receiver struct {
	Clock       clockwork.Clock
	Log         *slog.Logger
	Instance    string
	Registrar   *registrar.Registrar
	Scheduler   *scheduler.Scheduler
	Dispatcher  *dispatcher.Dispatcher
	Claimer     *claimer.Claimer
	Explainer   *explainer.Explainer
	Meter       *meter.Meter
	RetryBudget *RetryBudget
	// Isolator tracks the requests that crash backend servers.
	Isolator *isolator.Isolator
	// Session returns the gateway's current session.
	Session func() uint64
	// BackendKeys are the keys of backend servers; OperatorKeys those of operators.
	BackendKeys  authenticator.Keyring
	OperatorKeys authenticator.Keyring
	// Ready reports whether the load balancer should send callers to this instance.
	Ready func() bool
	// Ending ends shortly before the process does: requests that are still served then are ended with an answer. nil never
	// ends.
	Ending context.Context
	// MaxBody limits a request's body, in bytes.
	MaxBody int
	// MaxStoredAnswer limits the answer that is stored for an idempotency key, in bytes.
	MaxStoredAnswer int
}

// Handler returns the routes that callers, backend servers and operators use.
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+translator.CompletionsPath, r.complete)
	mux.HandleFunc("POST "+translator.ChatPath, r.complete)
	mux.HandleFunc("GET "+translator.ModelsPath, r.models)
	mux.HandleFunc(servicesPath, r.service)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", r.ready)
	mux.Handle("GET /metrics", r.Meter.Handler())
	mux.Handle("POST "+translator.AnnouncePath, authenticator.Require(r.BackendKeys, http.HandlerFunc(r.announce)))
	mux.Handle("GET /operator/explain/{id}", authenticator.Require(r.OperatorKeys, http.HandlerFunc(r.explain)))
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		p := &Problem{Status: http.StatusNotFound, Kind: kindUnknownPath, Message: "nothing is served at " + req.URL.Path, Ran: dispatcher.RanNo}
		p.write(w, r.newID())
	})
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

func (r *Receiver) ready(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (r *Receiver) announce(w http.ResponseWriter, req *http.Request) {
	body, err := server.ReadBody(req, maxAnnouncementBytes)
	if server.IsNoMemory(err) {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	backend, err := translator.ParseAnnouncement(body)
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	if !r.Scheduler.HasLiveSession() {
		// The server shall announce itself to another instance, which can forward the
		// announcement.
		writeText(w, http.StatusServiceUnavailable, "no live session")
		return
	}
	r.Scheduler.AddAnnouncement(backend)
	writeText(w, http.StatusOK, "ok")
}

func (r *Receiver) explain(w http.ResponseWriter, req *http.Request) {
	account, ok := r.Explainer.Get(req.PathValue("id"))
	if !ok {
		writeText(w, http.StatusNotFound, "nothing is known of this request here")
		return
	}
	body, err := json.Marshal(account)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (r *Receiver) newID() string {
	var raw [8]byte
	n := rand.Uint64()
	for i := range raw {
		raw[i] = byte(n >> (8 * i))
	}
	return r.Instance + "-" + hex.EncodeToString(raw[:])
}

// activeRequest is one caller's request in progress.
type activeRequest struct {
	id    string
	terms *registrar.Terms
	start time.Time
	class string
	job   *scheduler.Job
	ctx   context.Context
	// unclaimed ends with the caller as well, for what is done before the request holds its key.
	unclaimed context.Context
	body      []byte
	http      *http.Request
	// key makes the request run at most once; empty if it may be retried.
	key string
	// runOnce marks a request that must not be retried after it may have run.
	runOnce bool
	// fingerprints identify the request across its attempts; computed on first use.
	fingerprints []string
	// sentAt is when it was last sent; completed is set once its answer was complete.
	sentAt    time.Time
	completed bool
	// trial is the fingerprint by which it is quarantined, if it may run once as a trial.
	trial string
}

// identify authenticates the caller.
func (r *Receiver) identify(req *http.Request) (*registrar.Terms, *Problem) {
	if !r.Scheduler.HasLiveSession() {
		// Without a live session the contracts here may be out of date.
		return nil, refused(&scheduler.Refusal{Reason: scheduler.NoQuorum, RetryAfter: 2 * time.Second})
	}
	terms := r.Registrar.ByKey(authenticator.BearerKey(req))
	if terms == nil {
		return nil, &Problem{
			Status: http.StatusUnauthorized, Kind: kindUnauthenticated,
			Message: "a valid key is required", Ran: dispatcher.RanNo,
		}
	}
	return terms, nil
}

// newRequest authenticates the caller and reads the body, as all kinds of requests need.
func (r *Receiver) newRequest(req *http.Request, class string) (*activeRequest, *Problem) {
	e := &activeRequest{id: r.newID(), start: r.Clock.Now(), http: req, class: class, ctx: req.Context()}
	terms, problem := r.identify(req)
	if problem != nil {
		return e, problem
	}
	e.terms = terms
	maxBody := r.MaxBody
	if maxBody == 0 {
		maxBody = defaultMaxBody
	}
	body, err := server.ReadBody(req, int64(maxBody))
	switch {
	case errors.Is(err, server.ErrTooLarge):
		return e, tooLarge(maxBody)
	case server.IsNoMemory(err):
		return e, noMemory()
	case err != nil:
		return e, malformed("the body can't be read")
	}
	e.body = body
	return e, nil
}

func noMemory() *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Kind: kindNoMemory, Ran: dispatcher.RanNo, RetryAfter: retryAfterNoMemory,
		Message: "this instance has no memory for the request at the moment",
	}
}

func tooLarge(limit int) *Problem {
	return &Problem{
		Status: http.StatusRequestEntityTooLarge, Kind: kindTooLarge, Ran: dispatcher.RanNo,
		Message: "the body is larger than " + strconv.Itoa(limit) + " bytes",
	}
}

// prepareJob selects the class and sets the job's customer, priority and deadline.
func (r *Receiver) prepareJob(e *activeRequest, job *scheduler.Job) *Problem {
	if class := e.http.Header.Get(ClassHeader); class != "" {
		if !e.terms.HasClass(class) {
			return malformed(ClassHeader + ": the contract has no class " + strconv.Quote(class))
		}
		e.class = class
	}
	limit := time.Duration(e.terms.Contract.GetDeadlineNs())
	if text := e.http.Header.Get(DeadlineHeader); text != "" {
		requested, ok := parseDeadline(text)
		if !ok {
			return malformed(DeadlineHeader + ": want a duration such as 2s, or seconds")
		}
		limit = min(limit, requested)
	}
	job.Customer = e.terms.Customer()
	job.Priority = e.terms.Priority(e.class)
	job.Deadline = e.start.Add(limit)
	e.job = job
	return nil
}

func parseDeadline(text string) (time.Duration, bool) {
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return d, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	inRange := seconds >= 0 && seconds <= maxDeadlineSeconds
	if err != nil || !inRange {
		// NaN fails both comparisons.
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// models lists the models that the customer may call.
func (r *Receiver) models(w http.ResponseWriter, req *http.Request) {
	terms, problem := r.identify(req)
	if problem != nil {
		problem.write(w, r.newID())
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range terms.Models() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: terms.Customer()})
	}
	body, err := json.Marshal(list)
	if err != nil {
		malformed(err.Error()).write(w, r.newID())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// finish writes the problem, if there is one, and logs the request.
func (r *Receiver) finish(w http.ResponseWriter, e *activeRequest, p *Problem) {
	customer := ""
	if e.terms != nil {
		customer = e.terms.Customer()
	}
	kind := "Answered"
	if p != nil {
		p = r.checkKey(e, p).respond(w, e.id)
	}
	if p != nil {
		kind = p.Kind
		r.Explainer.Record(e.id, customer, "final answer: %s (%d), ran: %s, retry after %s", p.Kind, p.Status, p.Ran, p.RetryAfter)
		p.write(w, e.id)
	}
	took := r.Clock.Now().Sub(e.start)
	r.Meter.RecordRequest(customer, e.class, kind, took)
	r.Log.Debug("request", "RequestId", e.id, "Customer", customer, "Class", e.class, "Kind", kind, "Took", took.String())
}

func splitService(path string) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(path, servicesPath), "/")
	return name, "/" + rest
}
