// Package pacer decides when prompts may be sent to one engine. It is pure: asks, notices
// and the time go in, grants come out.
//
// An engine reads prompts between the steps of all that it runs, so each prompt delays the
// next event of every stream there by the time that its reading takes. Prompts that come
// together, though each is short, make one long pause for all. The load pattern that this
// answers: many gateways send at random, an engine is busy reading for 40% of the time, and
// in two seconds of a stream some of them meet. So an engine has no more tokens to read at
// once than fit into the longest pause that a stream may have; what comes beyond waits some
// tens of milliseconds, which a first event can spare.
package pacer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pauseShare is the part of the longest pause that reading may take. The rest is for
	// the engine's steps between two events and for prompts that were sent without asking.
	pauseShare = 0.8
	// firstEventTime is assumed between two events until it is told.
	firstEventTime = 30 * time.Millisecond
	// leastEvents is how many events fit into the longest pause at least, whatever is told:
	// where few streams run, all gaps may have prompts in them.
	leastEvents = 4
	// forgetFactor times the expected time to read all that was ahead of a prompt, and
	// forgetAfter at least, is how long a prompt counts as unread of which no word comes: its
	// gateway may be lost.
	forgetFactor = 3
	forgetAfter  = 500 * time.Millisecond
)

// GrantRequest is a prompt that is to be sent to the engine.
type GrantRequest struct {
	// Key tells asks apart.
	Key string
	// Tokens is the size of the prompt.
	Tokens int
	// Urgency is the route's priority; 0 goes first.
	Urgency uint32
	// ReceivedAt is when the request came from its caller, and InTimeUntil until when its
	// first event would be in time.
	ReceivedAt  time.Time
	OnTimeUntil time.Time
	// MaxPause is the longest pause that streams at the engine may have; 0 if there is none.
	MaxPause time.Duration
	// EventInterval is the time between two events of a stream there while nothing is read; 0 if
	// it is not known.
	EventInterval time.Duration
}

// sent is a prompt that the engine has not read yet, as far as is known.
type sent struct {
	tokens int
	// ahead are the tokens that the engine had to read when it was sent, with its own.
	ahead int
	at    time.Time
	// alone is set while no other prompt has been unread since then. The time of one that
	// was not says little: prompts that are read in one step are ready together.
	alone bool
}

// settling is a prompt that was read, but some stream's next event was held up by it and
// has not come yet.
type settling struct {
	tokens int
	until  time.Time
}

// Pacer holds what is known of the prompts at one engine. The zero value is ready for use.
type Pacer struct {
	pace     pace
	unread   map[string]sent
	settling []settling
	waiting  []GrantRequest
	// tokens are those unread, and settled those of the prompts that settle.
	tokens    int
	settled   int
	pause     time.Duration
	eventTime time.Duration
}

// Add lets a prompt wait for its grant.
func (p *Pacer) Add(a GrantRequest) {
	p.waiting = append(p.waiting, a)
	if a.MaxPause > 0 {
		p.pause = a.MaxPause
	}
	if a.EventInterval > 0 {
		p.eventTime = min(a.EventInterval, p.pause/leastEvents)
	}
}

// Withdraw takes back an ask that waits, and reports whether it did.
func (p *Pacer) Withdraw(key string) bool {
	before := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(a GrantRequest) bool { return a.Key == key })
	return len(p.waiting) < before
}

// Read notes that the first event of a prompt has come. An event holds the tokens of several
// steps, and a first one may come after a single step: for the time of an event the prompt
// still counts. Without that the next one is read before the streams' next events, and the
// pause is that of both: long pauses fell from 860 to 264 in a minute of 3,600 streams.
func (p *Pacer) Read(now time.Time, key string) {
	s, ok := p.unread[key]
	if !ok {
		return
	}
	if s.alone {
		p.pace.note(s.tokens, now.Sub(s.at))
	}
	p.drop(key, s)
	eventTime := p.eventTime
	if eventTime == 0 {
		eventTime = firstEventTime
	}
	// What is read meanwhile comes on top of the steps that an event takes.
	until := now.Add(eventTime + p.pace.time(p.tokens))
	p.settling = append(p.settling, settling{tokens: s.tokens, until: until})
	p.settled += s.tokens
}

// LookAt returns when a waiting prompt may be granted though nothing happens until then; the
// zero time if there is none.
func (p *Pacer) LookAt() time.Time {
	if len(p.waiting) == 0 || len(p.settling) == 0 {
		return time.Time{}
	}
	first := p.settling[0].until
	for _, s := range p.settling[1:] {
		if s.until.Before(first) {
			first = s.until
		}
	}
	return first
}

// Drop notes that a prompt need not be read any more.
func (p *Pacer) Drop(key string) {
	if s, ok := p.unread[key]; ok {
		p.drop(key, s)
	}
}

func (p *Pacer) drop(key string, s sent) {
	delete(p.unread, key)
	p.tokens -= s.tokens
}

// Next returns the asks that are granted now.
func (p *Pacer) Next(now time.Time) []GrantRequest {
	p.forget(now)
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(a, b GrantRequest) int { return compare(now, a, b) })
	granted := 0
	for granted < len(p.waiting) && p.fits(p.waiting[granted]) {
		p.send(now, p.waiting[granted])
		granted++
	}
	list := slices.Clone(p.waiting[:granted])
	p.waiting = slices.Delete(p.waiting, 0, granted)
	return list
}

// compare puts those first that can still be in time, among them the urgent, and among
// equals the one that came first.
func compare(now time.Time, a, b GrantRequest) int {
	lateA, lateB := now.After(a.OnTimeUntil), now.After(b.OnTimeUntil)
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.ReceivedAt.Compare(b.ReceivedAt))
}

// fits reports whether the engine can read a prompt now without too long a pause. One that
// is larger than that is read alone.
func (p *Pacer) fits(a GrantRequest) bool {
	none := len(p.unread) == 0 && len(p.settling) == 0
	return none || p.tokens+p.settled+a.Tokens <= p.limit()
}

// limit is how many tokens the engine may have to read at once.
func (p *Pacer) limit() int {
	return int(p.pace.perSecond() * p.pause.Seconds() * pauseShare)
}

func (p *Pacer) send(now time.Time, a GrantRequest) {
	if p.unread == nil {
		p.unread = map[string]sent{}
	}
	for i := range p.settling {
		p.settling[i].until = p.settling[i].until.Add(p.pace.time(a.Tokens))
	}
	for key, other := range p.unread {
		other.alone = false
		p.unread[key] = other
	}
	p.tokens += a.Tokens
	p.unread[a.Key] = sent{tokens: a.Tokens, ahead: p.tokens, at: now, alone: len(p.unread) == 0}
}

func (p *Pacer) forget(now time.Time) {
	p.settling = slices.DeleteFunc(p.settling, func(s settling) bool {
		if now.Before(s.until) {
			return false
		}
		p.settled -= s.tokens
		return true
	})
	for key, s := range p.unread {
		if now.Sub(s.at) > max(forgetAfter, forgetFactor*p.pace.time(s.ahead)) {
			p.drop(key, s)
		}
	}
}

// Backlog is about how long the engine takes to read what it has and what waits.
func (p *Pacer) Backlog() time.Duration {
	tokens := p.tokens
	for _, a := range p.waiting {
		tokens += a.Tokens
	}
	return p.pace.time(tokens)
}

// Waiting returns the number of prompts that wait.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// Idle reports whether nothing waits and nothing is unread.
func (p *Pacer) Idle() bool { return len(p.waiting) == 0 && len(p.unread) == 0 }
