package forwarder

import (
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/platform"
)

// observeLimit takes the request limit that an answer of the job's last try names. Only a
// signed answer without a limit lifts one: a rejection may come from another start at the
// same address.
func (f *Forwarder) observeLimit(j *job, status int, answer platform.Answer) {
	rejects := answer.NotRun && status != statusMisdirected
	if !answer.Signed && (!rejects || answer.RequestLimit == 0) {
		return
	}
	f.mu.Lock()
	before := f.throttler.Observe(j.last.GetId(), answer.RequestLimit)
	f.mu.Unlock()
	if before == answer.RequestLimit {
		return
	}
	event := "backend server limits its request rate"
	if answer.RequestLimit == 0 {
		event = "backend server lifts its request limit"
	}
	f.Log.Info(event, "Backend", j.last.GetId(), "Limit", answer.RequestLimit, "Before", before,
		"RequestID", j.about.ID, "SinceSent", f.Clock.Since(j.sentAt).Milliseconds())
}

// noteSent counts a try towards the usage of its backend server's limit.
func (f *Forwarder) noteSent(j *job) {
	kind := throttler.First
	switch {
	case j.resume != "":
		kind = throttler.Resumed
	case j.sends > 1:
		kind = throttler.Repeat
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throttler.Sent(j.last.GetId(), kind)
}

// logUsage logs what was sent to backend servers that limit their request rate.
func (f *Forwarder) logUsage() {
	f.mu.Lock()
	list := f.throttler.TakeUsage()
	f.mu.Unlock()
	for _, u := range list {
		f.Log.Info("requests to a limited backend server", "Backend", u.Backend, "Limit", u.Limit, "Sent", u.Sent)
	}
}
