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
	pauseShare = 0.7
	// forgetFactor times the expected time to read all that was ahead of a prompt, and
	// forgetAfter at least, is how long a prompt counts as unread of which no word comes: its
	// gateway may be lost.
	forgetFactor = 3
	forgetAfter  = 500 * time.Millisecond
)

// Ask is a prompt that is to be sent to the engine.
type Ask struct {
	// Key tells asks apart.
	Key string
	// Tokens is the size of the prompt.
	Tokens int
	// Urgency is the route's priority; 0 goes first.
	Urgency uint32
	// ReceivedAt is when the request came from its caller, and InTimeUntil until when its
	// first event would be in time.
	ReceivedAt  time.Time
	InTimeUntil time.Time
	// Pause is the longest pause that streams at the engine may have; 0 if there is none.
	Pause time.Duration
}

// sent is a prompt that the engine has not read yet, as far as is known.
type sent struct {
	tokens int
	// ahead are the tokens that the engine had to read when it was sent, with its own.
	ahead int
	at    time.Time
}

// Pacer holds what is known of the prompts at one engine. The zero value is ready for use.
type Pacer struct {
	pace    pace
	unread  map[string]sent
	waiting []Ask
	// tokens are those unread.
	tokens int
	pause  time.Duration
}

// Add lets a prompt wait for its grant.
func (p *Pacer) Add(a Ask) {
	p.waiting = append(p.waiting, a)
	if a.Pause > 0 {
		p.pause = a.Pause
	}
}

// Withdraw takes back an ask that waits, and reports whether it did.
func (p *Pacer) Withdraw(key string) bool {
	before := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(a Ask) bool { return a.Key == key })
	return len(p.waiting) < before
}

// Read notes that the first event of a prompt has come.
func (p *Pacer) Read(now time.Time, key string) {
	if s, ok := p.unread[key]; ok {
		p.pace.note(s.ahead, now.Sub(s.at))
		p.drop(key, s)
	}
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
func (p *Pacer) Next(now time.Time) []Ask {
	p.forget(now)
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(a, b Ask) int { return compare(now, a, b) })
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
func compare(now time.Time, a, b Ask) int {
	lateA, lateB := now.After(a.InTimeUntil), now.After(b.InTimeUntil)
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
func (p *Pacer) fits(a Ask) bool {
	return len(p.unread) == 0 || p.tokens+a.Tokens <= p.limit()
}

// limit is how many tokens the engine may have to read at once.
func (p *Pacer) limit() int {
	return int(p.pace.perSecond() * p.pause.Seconds() * pauseShare)
}

func (p *Pacer) send(now time.Time, a Ask) {
	if p.unread == nil {
		p.unread = map[string]sent{}
	}
	p.tokens += a.Tokens
	p.unread[a.Key] = sent{tokens: a.Tokens, ahead: p.tokens, at: now}
}

func (p *Pacer) forget(now time.Time) {
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

// Idle reports whether nothing waits and nothing is unread.
func (p *Pacer) Idle() bool { return len(p.waiting) == 0 && len(p.unread) == 0 }
