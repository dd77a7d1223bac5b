package forwarder

import (
	"time"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/platform"
)

const (
	// maxCertainAge is the age of the leader's state up to which a key that is not in the table
	// counts as unknown. With an older state a newer table may contain it.
	maxCertainAge = time.Second
	// retryAfterUnknownKey is the retry time at a gateway that can't decide: about the time in
	// which it receives a table.
	retryAfterUnknownKey = 300 * time.Millisecond
)

const (
	reasonNoKey        = "no customer holds the request's key"
	reasonKeyUncertain = "the key is not known here, but a newer table may have it"
	reasonKeysStale    = "no controller was heard for so long that keys may have been taken away"
)

// KeyPolicy configures how keys are checked while no controller is reachable.
type KeyPolicy struct {
	// Strict refuses requests that need a key once the leader's state is older than StaleAfter.
	Strict     bool
	StaleAfter time.Duration
}

// CheckHead refuses a request by its head alone if its route requires a key and no customer
// holds the request's key. It reports whether it did.
func (f *Forwarder) CheckHead(req *acceptor.Request, reply *acceptor.Reply) bool {
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if table == nil || f.stop.closed.Load() {
		return false
	}
	route := table.Match(req.Head.Header.Get("Host"), req.Head.Target)
	if route == nil || !table.RequiresKey(route) {
		return false
	}
	if table.CustomerByKey(platform.DecodeKey(req.Head.Header)) != nil && !f.keysAreStale() {
		return false
	}
	j := &job{req: req, reply: reply, meta: platform.DecodeRequest(req.Head.Header), route: route, table: table}
	f.refuseKey(j)
	return true
}

// refuseKey refuses a request whose key can't be relied on. It has not run.
func (f *Forwarder) refuseKey(j *job) {
	switch {
	case f.keysAreStale():
		f.refuseOrFail(j, reasonKeysStale, retryAfterUnknownKey)
	case f.leaderAge() > maxCertainAge:
		f.refuseOrFail(j, reasonKeyUncertain, retryAfterUnknownKey)
	default:
		f.refuse(j, statusNoKey, reasonNoKey, 0)
	}
}

// leaderAge returns the age of the leader's state; 0 without a LeaderAge function.
func (f *Forwarder) leaderAge() time.Duration {
	if f.LeaderAge == nil {
		return 0
	}
	return f.LeaderAge()
}

func (f *Forwarder) keysAreStale() bool {
	return f.Keys.Strict && f.leaderAge() > f.Keys.StaleAfter
}

// revalidateKey checks the key of a request again before it is sent, against the table now in
// force: the key may have been revoked while the request waited. An answer that has begun is
// completed.
func (f *Forwarder) revalidateKey(j *job) bool {
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if j.reply.Begun() || !table.RequiresKey(j.route) {
		return true
	}
	if table != j.table {
		j.table, j.customer = table, table.CustomerByKey(j.meta.Key)
	}
	if j.customer != nil && !f.keysAreStale() {
		return true
	}
	if j.runs > 0 {
		f.refuseOrFail(j, reasonNoKey, 0)
		return false
	}
	f.refuseKey(j)
	return false
}

// urgency is the customer's priority, or the route's where it has none; 0 is served first.
func (j *job) urgency() uint32 {
	if j.customer != nil && j.customer.Priority != nil {
		return j.customer.GetPriority()
	}
	return j.route.GetPriority()
}
