package scheduler

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// session is the gateway's side of its session with the leader.
type session struct {
	id              uint64
	sequence        uint64
	term            uint64
	revision        uint64
	backendsVersion uint64
	lease           time.Duration
}

// BeginSession begins a new session, which holds nothing yet. Requests of an earlier one
// continue until they end.
func (s *Scheduler) BeginSession(id uint64, lease time.Duration) {
	s.callAndWait(func(time.Time) {
		s.session = session{id: id, lease: lease, revision: s.session.revision}
		s.sessionID.Store(id)
		s.Router.DropLeases()
		for _, d := range s.admitter.Demands(true) {
			s.admitter.SetShare(d.Customer, 0)
		}
	})
}

// BuildRenewal builds the next renewal. With full set it lists all that the session holds.
func (s *Scheduler) BuildRenewal(full bool) *wire.RenewRequest {
	req := &wire.RenewRequest{Full: full}
	s.callAndWait(func(time.Time) {
		s.session.sequence++
		req.Session, req.Sequence = s.session.id, s.session.sequence
		req.Term, req.Revision = s.session.term, s.session.revision
		req.BackendsVersion = s.session.backendsVersion
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

// ApplyRenewal applies the response to a renewal that was sent at the given time.
func (s *Scheduler) ApplyRenewal(sent time.Time, res *wire.RenewResponse) {
	s.callAndWait(func(now time.Time) {
		s.session.term = res.GetTerm()
		if res.GetNeedFull() {
			// A full renewal follows at once, and its response has the rest.
			return
		}
		s.Registrar.Apply(res.GetContracts())
		for _, c := range res.GetContracts() {
			s.admitter.SetContract(c)
		}
		s.session.revision = max(s.session.revision, res.GetRevision())
		if res.GetBackendsVersion() != s.session.backendsVersion || len(res.GetBackends()) > 0 {
			s.Router.Update(res.GetBackends(), res.GetGone(), res.GetDrained(), res.GetBackendsWhole())
			s.session.backendsVersion = res.GetBackendsVersion()
		}
		s.Router.Recall(res.GetRecalls())
		s.Router.Grant(now, res.GetGrants())
		for _, a := range res.GetAllotments() {
			s.admitter.SetShare(a.GetCustomer(), a.GetAmount())
		}
		s.extend(sent)
		s.retryWaiting(now)
		s.admitQueued(now)
	})
}

// extend extends the session by the lease, counted from when the renewal was sent.
func (s *Scheduler) extend(sent time.Time) {
	lease := s.session.lease - s.session.lease/clockDriftDivisor
	s.liveUntil.Store(max(s.liveUntil.Load(), int64(sent.Add(lease).Sub(s.origin))))
}

// EndSession handles the end of the session by the leader.
func (s *Scheduler) EndSession() {
	s.callAndWait(func(now time.Time) {
		s.liveUntil.Store(0)
		s.refuseAll(now, &Refusal{Reason: NoQuorum, RetryAfter: retryWithoutSession})
	})
}

// AddAnnouncement adds a backend server's announcement to the next renewal.
func (s *Scheduler) AddAnnouncement(b *wire.Backend) {
	s.call(func(time.Time) {
		s.announced[b.GetName()] = b
		if b.GetLeaving() {
			s.RequestRenewal()
		}
	})
}

// SessionID returns the id of the current session.
func (s *Scheduler) SessionID() uint64 { return s.sessionID.Load() }

// Stop refuses new requests from here on; those that were accepted before are finished.
func (s *Scheduler) Stop() {
	s.callAndWait(func(time.Time) { s.stopping = true })
}

// Idle reports whether no request runs or waits.
func (s *Scheduler) Idle() bool {
	idle := false
	s.callAndWait(func(time.Time) { idle = len(s.jobs) == 0 })
	return idle
}

// callAndWait runs f in the scheduler's goroutine and waits for it.
func (s *Scheduler) callAndWait(f func(now time.Time)) {
	done := make(chan struct{})
	s.call(func(now time.Time) {
		f(now)
		close(done)
	})
	<-done
}
