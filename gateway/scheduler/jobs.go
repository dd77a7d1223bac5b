package scheduler

import (
	"time"

	"bronzelead.example/pkg/admitter"
)

func (s *Scheduler) arrive(now time.Time, j *Job) {
	s.nextID++
	j.id = admitter.RequestID(s.nextID)
	j.arrived = now
	switch {
	case s.stopping:
		j.answer <- verdict{refusal: &Refusal{Reason: Stopping, RetryAfter: time.Second}}
		return
	case !s.liveAt(now):
		j.answer <- verdict{refusal: &Refusal{Reason: NoQuorum, RetryAfter: noSessionFor}}
		return
	}
	admitted, refusal := s.admitter.Arrive(now, admitter.Request{
		ID: j.id, Customer: j.Customer, Priority: j.Priority, Deadline: j.Deadline,
	})
	switch {
	case refusal != nil:
		j.answer <- verdict{refusal: refusalOf(*refusal)}
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

// place sends an admitted job to a backend server, or lets it wait for one.
func (s *Scheduler) place(now time.Time, j *Job) {
	if refusal := s.stillAllowed(now, j); refusal != nil {
		s.refuse(now, j, refusal)
		return
	}
	if s.assign(now, j) {
		return
	}
	if !s.Router.HasBackend(j.BaseModel, j.Want.Service) {
		s.refuse(now, j, &Refusal{Reason: NoBackend, RetryAfter: noBackendFor})
		return
	}
	s.waiting = append(s.waiting, j)
	if j.Want.Adapter != "" {
		s.Router.AddWaiting(j.Want.Adapter, j.BaseModel)
	}
	s.RequestRenewal()
}

// stillAllowed looks at the contract once more: it may have changed while the job
// was queued.
func (s *Scheduler) stillAllowed(now time.Time, j *Job) *Refusal {
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
		// Every server failed once; the least bad of them is better than none.
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
	j.phase, j.current, j.assigned = assigned, c, now
	j.answer <- verdict{candidate: c}
	return true
}

// end notes that a job's request at its present server is over.
func (s *Scheduler) end(now time.Time, j *Job, failed, missing bool) {
	s.Router.End(now, j.current, failed)
	if missing {
		s.Router.RecordMissing(j.current)
	}
	if j.Want.Adapter != "" {
		s.Router.RecordEnd(j.Want.Adapter)
	}
}

// leave takes a job out of the customer's limit.
func (s *Scheduler) leave(now time.Time, j *Job) {
	j.phase = gone
	delete(s.jobs, j.id)
	s.admitter.Leave(j.Customer, now.Sub(j.admitted))
}

func (s *Scheduler) refuse(now time.Time, j *Job, refusal *Refusal) {
	s.leave(now, j)
	j.answer <- verdict{refusal: refusal}
}

// abandon takes out a job whose caller is gone, wherever it is.
func (s *Scheduler) abandon(now time.Time, j *Job) {
	switch j.phase {
	case queued:
		if s.admitter.Cancel(j.id) {
			delete(s.jobs, j.id)
			j.phase = gone
		}
	case unassigned:
		s.stopWaiting(j)
		s.leave(now, j)
	case assigned:
		s.end(now, j, false, false)
		s.leave(now, j)
	case gone:
	}
	s.advance(now)
}

func (s *Scheduler) stopWaiting(j *Job) {
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.unwait(j)
			return
		}
	}
}

func (s *Scheduler) unwait(j *Job) {
	if j.Want.Adapter != "" {
		s.Router.RemoveWaiting(j.Want.Adapter)
	}
}

// advance lets queued jobs go on where there is room now.
func (s *Scheduler) advance(now time.Time) {
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
	j.phase = gone
	j.answer <- verdict{refusal: refusalOf(r)}
}

// retryWaiting tries to place the jobs that wait for a backend server.
func (s *Scheduler) retryWaiting(now time.Time) {
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		refusal := s.stillAllowed(now, j)
		switch {
		case refusal != nil:
			s.unwait(j)
			s.refuse(now, j, refusal)
		case s.assign(now, j):
			s.unwait(j)
		default:
			s.waiting = append(s.waiting, j)
		}
	}
}

func (s *Scheduler) tick(now time.Time) {
	if !s.liveAt(now) {
		s.refuseAll(now, &Refusal{Reason: NoQuorum, RetryAfter: noSessionFor})
		return
	}
	for _, r := range s.admitter.Expired(now) {
		s.refuseQueued(r)
	}
	s.retryWaiting(now)
	s.advance(now)
	s.Router.ReleaseIdle(now)
	if s.admitter.Unmet() || s.Router.HasWaiting() {
		s.RequestRenewal()
	}
}

// refuseAll answers all that waits at once, when nothing may be sent.
func (s *Scheduler) refuseAll(now time.Time, refusal *Refusal) {
	for _, id := range s.admitter.RefuseAll() {
		j := s.jobs[id]
		delete(s.jobs, id)
		j.phase = gone
		j.answer <- verdict{refusal: refusal}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		s.unwait(j)
		s.refuse(now, j, refusal)
	}
}
