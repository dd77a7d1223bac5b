package forwarder

import (
	"net/http"
	"strconv"

	"bronzelead.example/pkg/wire"
)

// sampleServed is how many answered requests there are for each one that is logged.
// Failures and refusals are all logged.
const sampleServed = 50

// event logs a decision on a request that was not simply served.
func (f *Forwarder) event(j *job, backend *wire.Announcement, outcome string, status int) {
	j.status = status
	f.Log.Info("request", f.attributes(j, backend, "Outcome", outcome, "Status", status)...)
	f.Meter.Increment("requests_not_served", "outcome", outcomeLabel(status))
}

// served logs an answer that was passed on whole: all failures of backend servers, and a
// sample of the others.
func (f *Forwarder) served(j *job, backend *wire.Announcement, status int) {
	j.status = status
	f.Meter.RecordRequest(j.service, j.route.GetName(), "Served", f.Clock.Since(j.req.ReceivedAt))
	if status >= http.StatusInternalServerError {
		f.event(j, backend, "the backend server failed", status)
		return
	}
	if hash(j.about.ID)%sampleServed == 0 {
		f.Log.Info("request", f.attributes(j, backend, "Outcome", "served", "Status", status, "SampledOneIn", sampleServed)...)
	}
}

func (f *Forwarder) attributes(j *job, backend *wire.Announcement, more ...any) []any {
	list := []any{
		"RequestID", j.about.ID, "Took", f.Clock.Since(j.req.ReceivedAt).Milliseconds(),
		"Waited", j.waited.Milliseconds(), "Sends", j.sends,
		"Patience", j.about.Patience.Milliseconds(), "SlotAsks", j.slotAsks,
	}
	if retriedAfter := j.req.ReceivedAt.Sub(j.askedAt); !j.askedAt.IsZero() && retriedAfter > 0 {
		list = append(list, "RetriedAfter", retriedAfter.Milliseconds())
	}
	if f.NewsAge != nil {
		list = append(list, "NewsAge", f.NewsAge().Milliseconds())
	}
	if j.route != nil {
		list = append(list, "Route", j.route.GetName(), "Service", j.service, "Adapter", j.adapter)
	}
	if j.customer != nil {
		list = append(list, "Customer", j.customer.GetName())
	}
	if j.charge.size > 0 && !j.charge.held && !j.charge.spent {
		s := f.Borrower.Status(j.charge.customer)
		list = append(list, "Size", j.charge.size, "Credit", s.Unspent, "Held", s.Held, "Allowance", s.Allowance, "CreditAge", s.Age.Milliseconds())
	}
	if backend == nil {
		backend = j.last
	}
	if backend != nil {
		list = append(list, "Backend", backend.GetId(), "Sequence", backend.GetSequence())
	}
	list = append(list, f.limitAttributes(j, backend.GetId())...)
	if j.sends > 0 {
		list = append(list, "Fingerprint", j.prints()[0], "SinceSent", f.Clock.Since(j.sentAt).Milliseconds())
	}
	return append(list, more...)
}

func outcomeLabel(status int) string {
	if status == 0 {
		return "Ended"
	}
	return strconv.Itoa(status)
}

// hash spreads ids evenly, so that the sampled ones are the same on all instances.
func hash(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h
}
