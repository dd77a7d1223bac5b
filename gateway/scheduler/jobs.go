package scheduler

import (
	"time"

	"bronzelead.example/pkg/admitter"
)

func (s *Scheduler) submit(now time.Time, j *Job) {
	s.nextID++
	j.id = admitter.RequestID(s.nextID)
	j.arrived = now
	switch {
	case s.stopping:
		j.decided <- decision{refusal: &Refusal{Reason: Stopping, RetryAfter: time.Second}}
		return
	case !s.liveAt(now):
		j.decided <- decision{refusal: &Refusal{Reason: NoQuorum, RetryAfter: retryWithoutSession}}
		return
	}
	admitted, refusal := s.admitter.Submit(now, admitter.Request{
		ID: j.id, Customer: j.Customer, Priority: j.Priority, Deadline: j.Deadline,
	})
	switch {
	case refusal != nil:
		j.decided <- decision{refusal: refusalOf(*refusal)}
	case admitted:
		s.jobs[j.id] = j
		s.admit(now, j)
	default:
		s.jobs[j.id] = j
		s.RequestRenewal()
	}
}

func refusalOf(r admitter.Refusal) *Refusal {
	reasons := map[admitter.Reason]Reason{
		admitter.QueueFull: QueueFull, admitter.TooLate: TooLate, admitter.NoContract: NotAllowed,
	}
	return &Refusal{Reason: reasons[r.Reason], RetryAfter: r.RetryAfter}
}

func (s *Scheduler) admit(now time.Time, j *Job) {
	j.phase = unassigned
	j.admitted = now
	s.place(now, j)
}

// place sends an admitted job to a backend server, or makes it wait for one.
func (s *Scheduler) place(now time.Time, j *Job) {
	if refusal := s.recheckContract(now, j); refusal != nil {
		s.refuse(now, j, refusal)
		return
	}
	if s.assign(now, j) {
		return
	}
	if !s.Router.HasBackend(j.BaseModel, j.Want.Service) {
		s.refuse(now, j, &Refusal{Reason: NoBackend, RetryAfter: retryWithoutBackend})
		return
	}
	s.waiting = append(s.waiting, j)
	if j.Want.Adapter != "" {
		s.Router.AddWaiting(j.Want.Adapter, j.BaseModel)
	}
	s.RequestRenewal()
}

// recheckContract checks the contract again, as it may have changed while the job was queued.
func (s *Scheduler) recheckContract(now time.Time, j *Job) *Refusal {
	t := s.Registrar.ByCustomer(j.Customer)
	switch {
	case t == nil, j.Want.Adapter != "" && t.Adapter(j.Want.Adapter) == nil,
		j.Want.Service != "" && t.Service(j.Want.Service) == nil:
		return &Refusal{Reason: NotAllowed}
	case !j.Deadline.After(now):
		return &Refusal{Reason: TooLate, RetryAfter: time.Second}
	}
	return nil
}

func (s *Scheduler) assign(now time.Time, j *Job) bool {
	c := s.Router.Pick(now, j.Want)
	if c == nil && len(j.Want.Avoid) > 0 {
		// Every server has failed once; the best of them is better than none.
		j.Want.Avoid = nil
		c = s.Router.Pick(now, j.Want)
	}
	if c == nil {
		return false
	}
	s.Router.Begin(now, j.Want, c)
	if j.Want.Adapter != "" {
		s.Router.RecordStart(j.Want.Adapter, j.BaseModel)
	}
	j.phase, j.candidate, j.assigned = assigned, c, now
	j.decided <- decision{candidate: c}
	return true
}

// completeAttempt ends a job's request at its current server.
func (s *Scheduler) completeAttempt(now time.Time, j *Job, failed, missing bool) {
	s.Router.End(now, j.candidate, failed)
	if missing {
		s.Router.RecordMissing(j.candidate)
	}
	if j.Want.Adapter != "" {
		s.Router.RecordEnd(j.Want.Adapter)
	}
}

// release removes a job from the customer's limit.
func (s *Scheduler) release(now time.Time, j *Job) {
	j.phase = finished
	delete(s.jobs, j.id)
	s.admitter.Complete(j.Customer, now.Sub(j.admitted))
}

func (s *Scheduler) refuse(now time.Time, j *Job, refusal *Refusal) {
	s.release(now, j)
	j.decided <- decision{refusal: refusal}
}

// cancel removes a job whose caller has disconnected, in any phase.
func (s *Scheduler) cancel(now time.Time, j *Job) {
	switch j.phase {
	case queued:
		if s.admitter.Cancel(j.id) {
			delete(s.jobs, j.id)
			j.phase = finished
		}
	case unassigned:
		s.stopWaiting(j)
		s.release(now, j)
	case assigned:
		s.completeAttempt(now, j, false, false)
		s.release(now, j)
	case finished:
	}
	s.admitQueued(now)
}

func (s *Scheduler) stopWaiting(j *Job) {
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.stopAwaitingAdapter(j)
			return
		}
	}
}

func (s *Scheduler) stopAwaitingAdapter(j *Job) {
	if j.Want.Adapter != "" {
		s.Router.RemoveWaiting(j.Want.Adapter)
	}
}

// admitQueued admits queued jobs as far as there is room now.
func (s *Scheduler) admitQueued(now time.Time) {
	admitted, refused := s.admitter.Next(now)
	for _, r := range refused {
		s.refuseQueued(r)
	}
	for _, id := range admitted {
		s.admit(now, s.jobs[id])
	}
}

func (s *Scheduler) refuseQueued(r admitter.Refusal) {
	j := s.jobs[r.ID]
	if j == nil {
		return
	}
	delete(s.jobs, r.ID)
	j.phase = finished
	j.decided <- decision{refusal: refusalOf(r)}
}

// retryWaiting retries the assignment of jobs that wait for a backend server.
func (s *Scheduler) retryWaiting(now time.Time) {
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		refusal := s.recheckContract(now, j)
		switch {
		case refusal != nil:
			s.stopAwaitingAdapter(j)
			s.refuse(now, j, refusal)
		case s.assign(now, j):
			s.stopAwaitingAdapter(j)
		default:
			s.waiting = append(s.waiting, j)
		}
	}
}

func (s *Scheduler) tick(now time.Time) {
	if !s.liveAt(now) {
		s.refuseAll(now, &Refusal{Reason: NoQuorum, RetryAfter: retryWithoutSession})
		return
	}
	for _, r := range s.admitter.RefuseExpired(now) {
		s.refuseQueued(r)
	}
	s.retryWaiting(now)
	s.admitQueued(now)
	s.Router.ReleaseIdle(now)
	if s.admitter.HasUnmetDemand() || s.Router.HasWaiting() {
		s.RequestRenewal()
	}
}

// refuseAll refuses all waiting jobs at once, when nothing may be sent.
func (s *Scheduler) refuseAll(now time.Time, refusal *Refusal) {
	for _, id := range s.admitter.RefuseAll() {
		j := s.jobs[id]
		delete(s.jobs, id)
		j.phase = finished
		j.decided <- decision{refusal: refusal}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		s.stopAwaitingAdapter(j)
		s.refuse(now, j, refusal)
	}
}
