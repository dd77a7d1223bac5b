package receiver

import (
	"context"
	"crypto/sha256"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	inProgressRetry = time.Second
	lookupTimeout   = time.Second
	releaseTimeout  = 2 * time.Second
	maxRecoveries   = 3
	// maxClockSkew is how far the clocks of instances may be apart when the age of a claim is computed.
	maxClockSkew = time.Minute
)

// existingClaim is the result for a request whose key is already claimed.
type existingClaim struct {
	// stored is the answer of the request that ran.
	stored  *wire.Outcome
	problem *Problem
}

// respond writes the stored answer, or returns the problem.
func (f *existingClaim) respond(w http.ResponseWriter, requestID string) *Problem {
	if f.stored != nil {
		writeStored(w, requestID, f.stored)
		return nil
	}
	return f.problem
}

// fingerprint distinguishes a repeat from another request under the same key.
func (e *activeRequest) fingerprint() []byte {
	h := sha256.New()
	for _, part := range []string{e.http.Method, e.http.URL.RequestURI()} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(e.body)
	return h.Sum(nil)
}

// claim acquires the right to run a request. If another request holds the claim, it returns the
// answer to send instead.
func (r *Receiver) claim(ctx context.Context, e *activeRequest, requestID string, candidate *router.Candidate) (bool, *existingClaim) {
	cmd := &wire.ClaimCommand{
		Customer: e.terms.Customer(), Key: e.key, Fingerprint: e.fingerprint(),
		Session: r.Session(), Attempt: requestID, RequestId: requestID,
		Backend: candidate.Backend.GetName(), Incarnation: candidate.Backend.GetIncarnation(),
		Address: candidate.Backend.GetAddress(), KeepNs: e.terms.Contract.GetKeepKeysNs(),
		DeadlineNs: int64(e.job.Deadline.Sub(e.start)),
	}
	for range maxRecoveries {
		res, err := r.Claimer.Claim(e.unclaimed, cmd)
		if err != nil {
			// The claim may be committed all the same, so it is released later.
			r.Claimer.ReleaseAsync(releaseOf(e, requestID))
			refusal := &scheduler.Refusal{Reason: scheduler.NoQuorum, RetryAfter: retryAfterFault}
			return false, &existingClaim{problem: markRanUnknown(refused(refusal))}
		}
		if res.GetGranted() {
			return true, nil
		}
		found, retry := r.resolveClaim(ctx, e, res.GetClaim())
		if !retry {
			return false, found
		}
	}
	return false, &existingClaim{problem: inProgress()}
}

// claimForAttempt claims a request's key for an attempt, if it has one. It returns false with the
// attempt's result if another attempt has claimed the key.
func (r *Receiver) claimForAttempt(ctx context.Context, e *activeRequest, requestID string, candidate *router.Candidate, writer http.ResponseWriter) (attemptResult, bool) {
	if e.key == "" {
		return attemptResult{}, true
	}
	if claimed, found := r.claim(ctx, e, requestID, candidate); !claimed {
		return attemptResult{final: true, problem: found.respond(writer, e.id)}, false
	}
	return attemptResult{}, true
}

// resolveClaim decides how to answer a request whose key another request has claimed. Retry is
// set when that claim was released and the request may claim again.
func (r *Receiver) resolveClaim(ctx context.Context, e *activeRequest, c *wire.Claim) (found *existingClaim, retry bool) {
	switch {
	case c == nil:
		refusal := &scheduler.Refusal{Reason: scheduler.NoQuorum, RetryAfter: retryAfterFault}
		return &existingClaim{problem: markRanUnknown(refused(refusal))}, false
	case string(c.GetCommand().GetFingerprint()) != string(e.fingerprint()):
		return &existingClaim{problem: &Problem{
			Status: http.StatusUnprocessableEntity, Kind: kindKeyReused, Ran: dispatcher.RanNo, KeyChecked: true,
			Message: "the idempotency key was used before for another request",
		}}, false
	case c.GetState() == wire.ClaimState_CLAIM_STATE_FINISHED:
		return claimOutcome(c.GetOutcome()), false
	case c.GetOrphaned():
		return r.recoverClaim(ctx, e, c)
	}
	return &existingClaim{problem: inProgress()}, false
}

func inProgress() *Problem {
	return &Problem{
		Status: http.StatusConflict, Kind: kindInProgress, Ran: dispatcher.RanUnknown,
		Message: "a request with this idempotency key is in progress", RetryAfter: inProgressRetry,
	}
}

func claimOutcome(o *wire.Outcome) *existingClaim {
	switch {
	case o.GetUnknown(), !o.GetTruncated() && platform.PromisesNotRun(int(o.GetStatus())):
		// Earlier versions stored a service's answer with any status. The request was sent, so that a status which
		// promises "not run" is not repeated.
		return &existingClaim{problem: &Problem{
			Status: http.StatusConflict, Kind: kindMayHaveRun, Ran: dispatcher.RanUnknown,
			Message: "the request may have run; it will not be run again under this key",
		}}
	case o.GetTruncated():
		return &existingClaim{problem: &Problem{
			Status: http.StatusConflict, Kind: kindAnswerNotKept, Ran: dispatcher.RanYes,
			Message: "the request ran, but its answer was too large to be kept",
		}}
	}
	return &existingClaim{stored: o}
}

// recoverClaim determines the outcome of a request whose gateway has exited.
func (r *Receiver) recoverClaim(ctx context.Context, e *activeRequest, c *wire.Claim) (*existingClaim, bool) {
	cmd := c.GetCommand()
	old := &activeRequest{id: e.id, terms: e.terms, key: e.key}
	if e.job.Want.Service == "" {
		out := r.Dispatcher.Recover(ctx, &dispatcher.Exchange{
			RequestID: cmd.GetRequestId(), Address: cmd.GetAddress(), Incarnation: cmd.GetIncarnation(),
			Path: e.http.URL.Path, Model: e.job.Want.Adapter, SentAgo: maxAge(r.Clock.Now(), c),
		})
		r.Explainer.Record(e.id, e.terms.Customer(), "took up request %s of a gateway that is gone: ran: %s, %v", cmd.GetRequestId(), out.Ran, out.Err)
		switch {
		case out.Err == nil:
			return r.finishRecovered(ctx, old, cmd.GetRequestId(), r.storedAnswer(out.Status, jsonContent, out.Body)), false
		case out.Ran == dispatcher.RanNo:
			return nil, r.Claimer.Release(ctx, releaseOf(old, cmd.GetRequestId())) == nil
		}
	}
	// The gateway may only have lost its session, and may still store the outcome.
	age := time.Duration(r.Clock.Now().UnixNano() - c.GetClaimedAtNs())
	if age < time.Duration(cmd.GetDeadlineNs())+inProgressRetry {
		return &existingClaim{problem: inProgress()}, false
	}
	return r.finishRecovered(ctx, old, cmd.GetRequestId(), &wire.Outcome{Unknown: true}), false
}

// maxAge returns how long ago, at most, the request of a claim was sent. The claim's time is that of a controller's clock:
// a claim from the future has no known age.
func maxAge(now time.Time, c *wire.Claim) time.Duration {
	age := time.Duration(now.UnixNano() - c.GetClaimedAtNs())
	if age < -maxClockSkew {
		return math.MaxInt64 / 2
	}
	return max(0, age) + maxClockSkew
}

func (r *Receiver) finishRecovered(ctx context.Context, e *activeRequest, requestID string, o *wire.Outcome) *existingClaim {
	stored, err := r.Claimer.Finish(ctx, finishOf(e, requestID, o))
	if err != nil || stored == nil {
		return &existingClaim{problem: inProgress()}
	}
	return claimOutcome(stored)
}

// storedAnswer returns the outcome to store: the answer, or a truncation mark if it is too
// large.
func (r *Receiver) storedAnswer(status int, contentType string, body []byte) *wire.Outcome {
	if len(body) > r.MaxStoredAnswer {
		return &wire.Outcome{Status: int32(status), Truncated: true}
	}
	return &wire.Outcome{Status: int32(status), ContentType: contentType, Body: body}
}

// store saves a request's outcome under its key, if it has one. The caller does not wait for
// it.
func (r *Receiver) store(e *activeRequest, requestID string, o *wire.Outcome) {
	if e.key != "" {
		r.Claimer.FinishAsync(finishOf(e, requestID, o))
	}
}

// release releases a claim before the request is retried.
func (r *Receiver) release(ctx context.Context, e *activeRequest, requestID string) {
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := r.Claimer.Release(limited, releaseOf(e, requestID)); err != nil {
		r.Claimer.ReleaseAsync(releaseOf(e, requestID))
	}
}

func finishOf(e *activeRequest, requestID string, o *wire.Outcome) *wire.FinishCommand {
	return &wire.FinishCommand{Customer: e.terms.Customer(), Key: e.key, RequestId: requestID, Outcome: o}
}

func releaseOf(e *activeRequest, requestID string) *wire.ReleaseCommand {
	return &wire.ReleaseCommand{Customer: e.terms.Customer(), Key: e.key, RequestId: requestID}
}

// checkKey verifies a problem that claims "not run" for a request which may repeat one that
// ran: the key is looked up first. A stored answer replaces the refusal.
func (r *Receiver) checkKey(e *activeRequest, p *Problem) *existingClaim {
	refused := &existingClaim{problem: p}
	switch {
	case p.Ran != dispatcher.RanNo || p.KeyChecked:
		return refused
	case e.key == "" && !r.mayBeRepeat(e):
		return refused
	case e.key == "":
		return &existingClaim{problem: markRanUnknown(p)}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), lookupTimeout)
	defer cancel()
	c, err := r.Claimer.Lookup(ctx, e.terms.Customer(), e.key)
	switch {
	case err != nil:
		return &existingClaim{problem: markRanUnknown(p)}
	case c == nil:
		return refused
	case string(c.GetCommand().GetFingerprint()) != string(e.fingerprint()):
		return refused
	case c.GetState() == wire.ClaimState_CLAIM_STATE_FINISHED:
		return claimOutcome(c.GetOutcome())
	}
	return &existingClaim{problem: markRanUnknown(p)}
}

// mayBeRepeat reports whether a request that was refused before its key was read may have one.
func (r *Receiver) mayBeRepeat(e *activeRequest) bool {
	if e.http.Header.Get(IdempotencyKeyHeader) != "" {
		return true
	}
	if !strings.HasPrefix(e.http.URL.Path, servicesPath) || e.runOnce {
		return false
	}
	terms := r.Registrar.ByKey(authenticator.BearerKey(e.http))
	if terms == nil {
		return true
	}
	name, _ := splitService(e.http.URL.Path)
	return terms.Service(name).GetKeyFrom() != ""
}

// markRanUnknown replaces a "not run" that could not be verified, and a status that promises the same.
func markRanUnknown(p *Problem) *Problem {
	p.Ran = dispatcher.RanUnknown
	if platform.PromisesNotRun(p.Status) {
		p.Status = http.StatusBadGateway
	}
	p.Message += "; this attempt did not run, an earlier one with the same key may have"
	return p
}

func writeStored(w http.ResponseWriter, requestID string, o *wire.Outcome) {
	w.Header().Set("Content-Type", o.GetContentType())
	w.Header().Set("Content-Length", strconv.Itoa(len(o.GetBody())))
	w.Header().Set(RequestIDHeader, requestID)
	w.Header().Set("Idempotency-Replayed", "true")
	w.WriteHeader(int(o.GetStatus()))
	_, _ = w.Write(o.GetBody())
}
