package receiver

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

const (
	inProgressRetry = time.Second
	lookupTimeout   = time.Second
	releaseTimeout  = 2 * time.Second
	maxRecoveries   = 3
)

// foundClaim is what a request found in the place of its own claim.
type foundClaim struct {
	// stored is the answer of the request that ran.
	stored  *wire.Outcome
	problem *Problem
}

// answer writes the stored answer, or returns the problem that is left.
func (f *foundClaim) answer(w http.ResponseWriter, requestID string) *Problem {
	if f.stored != nil {
		writeStored(w, requestID, f.stored)
		return nil
	}
	return f.problem
}

// fingerprint tells a repeat from another request under the same key.
func (e *entry) fingerprint() []byte {
	h := sha256.New()
	for _, part := range []string{e.http.Method, e.http.URL.RequestURI()} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(e.body)
	return h.Sum(nil)
}

// claim claims the right to run a request. When the claim is somebody else's, it
// returns what to answer instead.
func (r *Receiver) claim(ctx context.Context, e *entry, requestID string, candidate *router.Candidate) (bool, *foundClaim) {
	cmd := &wire.ClaimCommand{
		Customer: e.terms.Customer(), Key: e.key, Fingerprint: e.fingerprint(),
		Session: r.Session(), Attempt: requestID, RequestId: requestID,
		Backend: candidate.Backend.GetName(), Incarnation: candidate.Backend.GetIncarnation(),
		Address: candidate.Backend.GetAddress(), KeepNs: e.terms.Contract.GetKeepKeysNs(),
		DeadlineNs: int64(e.job.Deadline.Sub(e.start)),
	}
	for range maxRecoveries {
		res, err := r.Claimer.Claim(ctx, cmd)
		if err != nil {
			// The claim may be in the log all the same; it is given back there.
			r.Claimer.ReleaseAsync(releaseOf(e, requestID))
			refusal := &scheduler.Refusal{Reason: scheduler.NoQuorum, RetryAfter: retryAfterFault}
			return false, &foundClaim{problem: unknownIfKeyed(refused(refusal))}
		}
		if res.GetGranted() {
			return true, nil
		}
		found, again := r.foundClaim(ctx, e, res.GetClaim())
		if !again {
			return false, found
		}
	}
	return false, &foundClaim{problem: inProgress()}
}

// foundClaim decides what a claim that is not the request's own means for it. Again
// is set when the claim is gone and may be tried anew.
func (r *Receiver) foundClaim(ctx context.Context, e *entry, c *wire.Claim) (found *foundClaim, again bool) {
	switch {
	case c == nil:
		refusal := &scheduler.Refusal{Reason: scheduler.NoQuorum, RetryAfter: retryAfterFault}
		return &foundClaim{problem: unknownIfKeyed(refused(refusal))}, false
	case string(c.GetCommand().GetFingerprint()) != string(e.fingerprint()):
		return &foundClaim{problem: &Problem{
			Status: http.StatusUnprocessableEntity, Kind: kindKeyReused, Ran: dispatcher.RanNo, Certain: true,
			Message: "the idempotency key was used before for another request",
		}}, false
	case c.GetState() == wire.ClaimState_CLAIM_STATE_FINISHED:
		return foundOutcome(c.GetOutcome()), false
	case c.GetOrphaned():
		return r.recoverClaim(ctx, e, c)
	}
	return &foundClaim{problem: inProgress()}, false
}

func inProgress() *Problem {
	return &Problem{
		Status: http.StatusConflict, Kind: kindInProgress, Ran: dispatcher.RanUnknown,
		Message: "a request with this idempotency key is in progress", RetryAfter: inProgressRetry,
	}
}

func foundOutcome(o *wire.Outcome) *foundClaim {
	switch {
	case o.GetUnknown():
		return &foundClaim{problem: &Problem{
			Status: http.StatusConflict, Kind: kindMayHaveRun, Ran: dispatcher.RanUnknown,
			Message: "the request may have run; it will not be run again under this key",
		}}
	case o.GetTruncated():
		return &foundClaim{problem: &Problem{
			Status: http.StatusConflict, Kind: kindAnswerNotKept, Ran: dispatcher.RanYes,
			Message: "the request ran, but its answer was too large to be kept",
		}}
	}
	return &foundClaim{stored: o}
}

// recoverClaim finds out what became of a request whose gateway is gone.
func (r *Receiver) recoverClaim(ctx context.Context, e *entry, c *wire.Claim) (*foundClaim, bool) {
	cmd := c.GetCommand()
	old := &entry{id: e.id, terms: e.terms, key: e.key}
	if e.job.Want.Service == "" {
		out := r.Dispatcher.Recover(ctx, &dispatcher.Exchange{
			RequestID: cmd.GetRequestId(), Address: cmd.GetAddress(), Incarnation: cmd.GetIncarnation(),
			Path: e.http.URL.Path, Model: e.job.Want.Adapter,
		})
		r.Explainer.Note(e.id, e.terms.Customer(), "took up request %s of a gateway that is gone: ran: %s, %v", cmd.GetRequestId(), out.Ran, out.Err)
		switch {
		case out.Err == nil:
			return r.finishRecovered(ctx, old, cmd.GetRequestId(), r.kept(out.Status, jsonContent, out.Body)), false
		case out.Ran == dispatcher.RanNo:
			return nil, r.Claimer.Release(ctx, releaseOf(old, cmd.GetRequestId())) == nil
		}
	}
	// The gateway may only have lost its session, and still store the outcome.
	age := time.Duration(r.Clock.Now().UnixNano() - c.GetClaimedAtNs())
	if age < time.Duration(cmd.GetDeadlineNs())+inProgressRetry {
		return &foundClaim{problem: inProgress()}, false
	}
	return r.finishRecovered(ctx, old, cmd.GetRequestId(), &wire.Outcome{Unknown: true}), false
}

func (r *Receiver) finishRecovered(ctx context.Context, e *entry, requestID string, o *wire.Outcome) *foundClaim {
	stands, err := r.Claimer.Finish(ctx, finishOf(e, requestID, o))
	if err != nil || stands == nil {
		return &foundClaim{problem: inProgress()}
	}
	return foundOutcome(stands)
}

// kept is an answer as it is stored, or a note that it was too large.
func (r *Receiver) kept(status int, contentType string, body []byte) *wire.Outcome {
	if len(body) > r.KeepAnswer {
		return &wire.Outcome{Status: int32(status), Truncated: true}
	}
	return &wire.Outcome{Status: int32(status), ContentType: contentType, Body: body}
}

// store keeps a request's outcome for its key, if it has one. The caller does not
// wait for it.
func (r *Receiver) store(e *entry, requestID string, o *wire.Outcome) {
	if e.key != "" {
		r.Claimer.FinishAsync(finishOf(e, requestID, o))
	}
}

// release gives a claim back before the request is tried elsewhere.
func (r *Receiver) release(ctx context.Context, e *entry, requestID string) {
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := r.Claimer.Release(limited, releaseOf(e, requestID)); err != nil {
		r.Claimer.ReleaseAsync(releaseOf(e, requestID))
	}
}

func finishOf(e *entry, requestID string, o *wire.Outcome) *wire.FinishCommand {
	return &wire.FinishCommand{Customer: e.terms.Customer(), Key: e.key, RequestId: requestID, Outcome: o}
}

func releaseOf(e *entry, requestID string) *wire.ReleaseCommand {
	return &wire.ReleaseCommand{Customer: e.terms.Customer(), Key: e.key, RequestId: requestID}
}

// checkKey makes sure of a "not run" that is about to be said of a request which may
// be the repeat of one that ran: the key is looked up first. A stored answer is given
// at once in place of the refusal.
func (r *Receiver) checkKey(e *entry, p *Problem) *foundClaim {
	refused := &foundClaim{problem: p}
	switch {
	case p.Ran != dispatcher.RanNo || p.Certain:
		return refused
	case e.key == "" && !r.mayBeRepeat(e):
		return refused
	case e.key == "":
		return &foundClaim{problem: unknownIfKeyed(p)}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), lookupTimeout)
	defer cancel()
	c, err := r.Claimer.Lookup(ctx, e.terms.Customer(), e.key)
	switch {
	case err != nil:
		return &foundClaim{problem: unknownIfKeyed(p)}
	case c == nil:
		return refused
	case string(c.GetCommand().GetFingerprint()) != string(e.fingerprint()):
		return refused
	case c.GetState() == wire.ClaimState_CLAIM_STATE_FINISHED:
		return foundOutcome(c.GetOutcome())
	}
	return &foundClaim{problem: unknownIfKeyed(p)}
}

// mayBeRepeat reports whether a request that was refused before its key was read may
// have one.
func (r *Receiver) mayBeRepeat(e *entry) bool {
	if e.http.Header.Get(KeyHeader) != "" {
		return true
	}
	if !strings.HasPrefix(e.http.URL.Path, servicesPath) || e.once {
		return false
	}
	terms := r.Registrar.ByKey(authenticator.BearerKey(e.http))
	if terms == nil {
		return true
	}
	name, _ := splitService(e.http.URL.Path)
	return terms.Service(name).GetKeyFrom() != ""
}

// unknownIfKeyed takes back a "not run" that nobody could check.
func unknownIfKeyed(p *Problem) *Problem {
	p.Ran = dispatcher.RanUnknown
	p.Message += "; this attempt did not run, an earlier one with the same key may have"
	return p
}

func writeStored(w http.ResponseWriter, requestID string, o *wire.Outcome) {
	w.Header().Set("Content-Type", o.GetContentType())
	w.Header().Set("Content-Length", strconv.Itoa(len(o.GetBody())))
	w.Header().Set(RequestIDAnswer, requestID)
	w.Header().Set("Idempotency-Replayed", "true")
	w.WriteHeader(int(o.GetStatus()))
	_, _ = w.Write(o.GetBody())
}
