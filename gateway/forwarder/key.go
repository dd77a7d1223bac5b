package forwarder

import (
	"time"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/platform"
)

const (
	// certainFor is the age of the leader's word up to which a key that the table does not
	// have counts as unknown. Behind an older word a newer table may have it.
	certainFor = time.Second
	// retryForKey is the retry time at a gateway that can't tell: about the time in
	// which it hears of a table.
	retryForKey = 300 * time.Millisecond
)

const (
	reasonNoKey        = "no customer holds the request's key"
	reasonKeyUncertain = "the key is not known here, but a newer table may have it"
	reasonKeysOld      = "no controller was heard for so long that keys may have been taken away"
)

// KeyPolicy says how keys are judged while no controller is heard.
type KeyPolicy struct {
	// Strict refuses requests that need a key once the leader's word is older than StaleAfter.
	Strict     bool
	StaleAfter time.Duration
}

// Screen refuses a request by its head alone if its route needs a key and no customer holds
// its own. It reports whether it did.
func (f *Forwarder) Screen(req *doorkeeper.Request, reply *doorkeeper.Reply) bool {
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if table == nil || f.closed.Load() {
		return false
	}
	route := table.Match(req.Head.Header.Get("Host"), req.Head.Target)
	if route == nil || !table.RequiresKey(route) {
		return false
	}
	if table.CustomerByKey(platform.DecodeKey(req.Head.Header)) != nil && !f.keysAreOld() {
		return false
	}
	j := &job{req: req, reply: reply, about: platform.DecodeRequest(req.Head.Header), route: route, table: table}
	f.refuseKey(j)
	return true
}

// refuseKey refuses a request whose key can't be relied on. It has not run.
func (f *Forwarder) refuseKey(j *job) {
	switch {
	case f.keysAreOld():
		f.giveUp(j, reasonKeysOld, retryForKey)
	case f.wordAge() > certainFor:
		f.giveUp(j, reasonKeyUncertain, retryForKey)
	default:
		f.refuse(j, statusNoKey, reasonNoKey, 0)
	}
}

// wordAge returns how old the leader's word is; 0 if nobody asks.
func (f *Forwarder) wordAge() time.Duration {
	if f.LeaderAge == nil {
		return 0
	}
	return f.LeaderAge()
}

func (f *Forwarder) keysAreOld() bool {
	return f.Keys.Strict && f.wordAge() > f.Keys.StaleAfter
}

// keyHolds looks again at the key of a request that is about to be sent, by the table that
// is in force now: its key may have been taken away while it waited. An answer that has
// begun is finished.
func (f *Forwarder) keyHolds(j *job) bool {
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if j.reply.Begun() || !table.RequiresKey(j.route) {
		return true
	}
	if table != j.table {
		j.table, j.customer = table, table.CustomerByKey(j.about.Key)
	}
	if j.customer != nil && !f.keysAreOld() {
		return true
	}
	if j.runs > 0 {
		f.giveUp(j, reasonNoKey, 0)
		return false
	}
	f.refuseKey(j)
	return false
}

// urgency is the customer's priority, or the route's where it has none; 0 goes first.
func (j *job) urgency() uint32 {
	if j.customer != nil && j.customer.Priority != nil {
		return j.customer.GetPriority()
	}
	return j.route.GetPriority()
}
