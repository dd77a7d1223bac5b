package forwarder

import (
	"net/http"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/platform"
)

// evidence is what an attempt's outcome says about whether the request ran.
type evidence string

const (
	// evidenceNotSent is an attempt of which no byte was sent.
	evidenceNotSent evidence = "NotSent"
	// evidenceRejected is an answer which states that the backend server did not run the request.
	evidenceRejected evidence = "Rejected"
	// evidenceContradictory is an answer that can't be relied on: it does not have the request's id, or says that the
	// request did not run and is signed, or a success.
	evidenceContradictory evidence = "Contradictory"
	// evidenceUnproved is a failure whose status promises that the request did not run, though nothing else says so.
	evidenceUnproved evidence = "Unproved"
)

func (f *Forwarder) countEvidence(e evidence) {
	f.Meter.Increment("attempts_not_run", "evidence", string(e))
}

// evidenceOf returns what an answer says about whether the request ran; empty if it says that it did. All attempts of a
// request share its id, so that the id alone proves nothing; sender.Connections keeps copies of other answers away.
func evidenceOf(requestID string, status int, answer platform.Response) evidence {
	switch {
	case answer.RequestID != requestID:
		return evidenceContradictory
	case answer.NotRun && (answer.Signed || status < http.StatusBadRequest):
		return evidenceContradictory
	case answer.NotRun:
		return evidenceRejected
	case platform.PromisesNotRun(status):
		return evidenceUnproved
	}
	return ""
}

// observeEvidence counts an answer by its evidence, and logs the unusual ones.
func (f *Forwarder) observeEvidence(j *job, status int, answer platform.Response) evidence {
	e := evidenceOf(j.meta.ID, status, answer)
	if e == "" {
		return e
	}
	f.countEvidence(e)
	if e != evidenceRejected {
		f.Log.Warn("an answer does not prove whether its request ran", "RequestID", j.meta.ID, "Backend", j.lastBackend.GetId(),
			"Status", status, "Evidence", e, "Signed", answer.Signed, "AnswerID", answer.RequestID, "Sends", j.sends, "Runs", j.runs)
	}
	return e
}

// observeSkipped records an answer to another request that came in place of a request's own.
func (f *Forwarder) observeSkipped(out *sender.Request, status int) {
	f.Meter.Increment("answers_skipped", "backend", out.Backend)
	f.Log.Info("skipped an answer to another request", "RequestID", out.RequestID, "Backend", out.Backend, "Status", status)
}
