package scheduler

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// session is the gateway's side of its session with the leader.
type session struct {
	id       uint64
	sequence uint64
	term     uint64
	revision uint64
	backends uint64
	lease    time.Duration
}

// BeginSession begins a new session: nothing is held under it yet. Requests under an
// earlier one go on until they end.
func (s *Scheduler) BeginSession(id uint64, lease time.Duration) {
	s.wait(func(time.Time) {
		s.session = session{id: id, lease: lease, revision: s.session.revision}
		s.current.Store(id)
		s.Router.DropLeases()
		for _, d := range s.admitter.Demands(true) {
			s.admitter.SetShare(d.Customer, 0)
		}
	})
}

// BuildRenewal makes the next renewal. With full set it lists all that the session holds.
func (s *Scheduler) BuildRenewal(full bool) *wire.RenewRequest {
	req := &wire.RenewRequest{Full: full}
	s.wait(func(time.Time) {
		s.session.sequence++
		req.Session, req.Sequence = s.session.id, s.session.sequence
		req.Term, req.Revision = s.session.term, s.session.revision
		req.BackendsVersion = s.session.backends
		for _, b := range s.announced {
			req.Announced = append(req.Announced, b)
		}
		s.announced = map[string]*wire.Backend{}
		req.Demands = s.Router.TakeDemands(full)
		req.Released = s.Router.TakeReleased()
		if full {
			req.Held = s.Router.HeldLeases()
			req.Released = nil
		}
		for _, d := range s.admitter.Demands(full) {
			req.Customers = append(req.Customers, &wire.CustomerDemand{
				Customer: d.Customer, Held: d.Held, Wanted: d.Wanted,
			})
		}
	})
	return req
}

// ApplyRenewal takes in the answer to a renewal that was sent at a time.
func (s *Scheduler) ApplyRenewal(sent time.Time, res *wire.RenewResponse) {
	s.wait(func(now time.Time) {
		s.session.term = res.GetTerm()
		if res.GetNeedFull() {
			// A full renewal follows at once and brings the rest.
			return
		}
		s.Registrar.Apply(res.GetContracts())
		for _, c := range res.GetContracts() {
			s.admitter.SetContract(c)
		}
		s.session.revision = max(s.session.revision, res.GetRevision())
		if res.GetBackendsVersion() != s.session.backends || len(res.GetBackends()) > 0 {
			s.Router.Update(res.GetBackends(), res.GetGone(), res.GetDrained(), res.GetBackendsWhole())
			s.session.backends = res.GetBackendsVersion()
		}
		s.Router.Recall(res.GetRecalls())
		s.Router.Grant(now, res.GetGrants())
		for _, a := range res.GetAllotments() {
			s.admitter.SetShare(a.GetCustomer(), a.GetAmount())
		}
		s.extend(sent)
		s.retryWaiting(now)
		s.advance(now)
	})
}

// extend lets the session live on, counted from when the renewal left.
func (s *Scheduler) extend(sent time.Time) {
	lease := s.session.lease - s.session.lease/driftDivisor
	s.until.Store(max(s.until.Load(), int64(sent.Add(lease).Sub(s.origin))))
}

// EndSession takes note that the leader has ended the session.
func (s *Scheduler) EndSession() {
	s.wait(func(now time.Time) {
		s.until.Store(0)
		s.refuseAll(now, &Refusal{Reason: NoQuorum, RetryAfter: noSessionFor})
	})
}

// AddAnnouncement takes in what a backend server tells of itself, for the next renewal.
func (s *Scheduler) AddAnnouncement(b *wire.Backend) {
	s.call(func(time.Time) {
		s.announced[b.GetName()] = b
		if b.GetLeaving() {
			s.RequestRenewal()
		}
	})
}

// SessionID returns the id of the present session.
func (s *Scheduler) SessionID() uint64 { return s.current.Load() }

// Stop refuses new requests from here on; those that were taken in are finished.
func (s *Scheduler) Stop() {
	s.wait(func(time.Time) { s.stopping = true })
}

// Idle reports whether no request runs or waits.
func (s *Scheduler) Idle() bool {
	idle := false
	s.wait(func(time.Time) { idle = len(s.jobs) == 0 })
	return idle
}

// wait runs f in the scheduler's goroutine and waits for it.
func (s *Scheduler) wait(f func(now time.Time)) {
	done := make(chan struct{})
	s.call(func(now time.Time) {
		f(now)
		close(done)
	})
	<-done
}
