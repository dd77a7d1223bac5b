package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// servedSampleInterval is the number of answered requests for each one that is logged. Failures
// and refusals are all logged.
const servedSampleInterval = 50

// logEvent logs a decision on a request that was not simply served.
func (f *Forwarder) logEvent(j *job, backend *wire.Announcement, outcome string, status int) {
	j.status = status
	f.Log.Info("request", f.logAttributes(j, backend, "Outcome", outcome, "Status", status)...)
	f.Meter.Increment("requests_not_served", "outcome", outcomeLabel(status))
}

// logServed logs an answer that was relayed completely: all failures of backend servers, and a
// sample of the others.
func (f *Forwarder) logServed(j *job, backend *wire.Announcement, status int) {
	j.status = status
	f.Meter.RecordRequest(j.service, j.route.GetName(), "Served", f.Clock.Since(j.req.ReceivedAt))
	if status >= http.StatusInternalServerError {
		f.logEvent(j, backend, "the backend server failed", status)
		return
	}
	if hash(j.meta.ID)%servedSampleInterval == 0 {
		f.Log.Info("request", f.logAttributes(j, backend, "Outcome", "served", "Status", status, "SampledOneIn", servedSampleInterval)...)
	}
}

func (f *Forwarder) logAttributes(j *job, backend *wire.Announcement, more ...any) []any {
	list := []any{
		"RequestID", j.meta.ID, "Took", f.Clock.Since(j.req.ReceivedAt).Milliseconds(),
		"Waited", j.waited.Milliseconds(), "Sends", j.sends,
		"Patience", j.meta.ClientTimeout.Milliseconds(), "SlotAsks", j.slotRequests,
	}
	if retriedAfter := j.req.ReceivedAt.Sub(j.firstSentAt); !j.firstSentAt.IsZero() && retriedAfter > 0 {
		list = append(list, "RetriedAfter", retriedAfter.Milliseconds())
	}
	if f.LeaderAge != nil {
		list = append(list, "NewsAge", f.LeaderAge().Milliseconds())
	}
	if j.route != nil {
		list = append(list, "Route", j.route.GetName(), "Service", j.service, "Adapter", j.adapter)
	}
	if j.customer != nil {
		list = append(list, "Customer", j.customer.GetName())
	}
	if j.charge.size > 0 && !j.charge.reserved && !j.charge.spent {
		s := f.QuotaEnforcer.Status(j.charge.customer)
		list = append(list, "Size", j.charge.size, "Credit", s.Unspent, "Held", s.Held, "Allowance", s.Allowance, "CreditAge", s.Age.Milliseconds())
	}
	if backend == nil {
		backend = j.lastBackend
	}
	list = append(list, runAttributes(j, backend)...)
	if j.via != "" {
		list = append(list, "Via", j.via)
	}
	if since := f.partitionedSince(j.service); !since.IsZero() {
		list = append(list, "PartitionedFor", f.Clock.Since(since).Milliseconds())
	}
	list = append(list, f.limitAttributes(j, backend.GetId())...)
	if j.paused != "" {
		list = append(list, "PausedBackend", j.paused)
		list = append(list, f.constraintAttributes(j.paused)...)
	} else {
		list = append(list, f.constraintAttributes(backend.GetId())...)
	}
	if j.sends > 0 {
		list = append(list, "Fingerprint", j.requestFingerprints()[0], "SinceSent", f.Clock.Since(j.sentAt).Milliseconds())
	}
	if parts := j.meta.PromptParts; len(parts) > 0 {
		list = append(list, "PromptParts", loggedParts(parts))
	}
	return append(list, more...)
}

// maxLoggedParts bounds the parts of a prompt on a log line.
const maxLoggedParts = 8

// loggedParts returns the ids of a prompt's parts, separated by spaces.
func loggedParts(parts []platform.PromptPart) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, " ")
}

// runAttributes returns the log attributes of a job's run at a backend server, if there was one, and of
// the stream that it resumes.
func runAttributes(j *job, backend *wire.Announcement) []any {
	var list []any
	if backend != nil {
		list = append(list, "Backend", backend.GetId(), "Sequence", backend.GetSequence(),
			"SoftwareVersion", backend.GetSoftwareVersion())
	}
	if j.lastEventID != "" {
		list = append(list, "After", j.lastEventID, "Resumes", j.meta.Resumes)
	}
	return list
}

func outcomeLabel(status int) string {
	if status == 0 {
		return "Ended"
	}
	return strconv.Itoa(status)
}

// hash spreads IDs evenly, so that all instances sample the same requests.
func hash(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h
}
