package sender

import "time"

// receipts returns the record of what was received.
func (s *Sender) receipts() *receipts {
	s.receivedOnce.Do(func() { s.received = &receipts{now: s.Clock.Now} })
	return s.received
}

// QuietFor returns for how long nothing was received from any backend server while a request
// waited for an answer; 0 if none waits.
func (s *Sender) QuietFor(now time.Time) time.Duration {
	since := now
	s.mu.Lock()
	for _, links := range s.busy {
		for l := range links {
			if l.sentAt.Before(since) {
				since = l.sentAt
			}
		}
	}
	s.mu.Unlock()
	if at := time.Unix(0, s.receipts().at.Load()); at.After(since) {
		since = at
	}
	return max(0, now.Sub(since))
}

// CloseIdleDirect closes the idle direct connections to a backend server, and CloseIdleDetoured
// those that lead through other instances.
func (s *Sender) CloseIdleDirect(backend string) {
	s.closeIdle(backend, func(l *connection) bool { return l.via == "" })
}

// CloseIdleDetoured closes the idle connections to a backend server that lead through other
// instances.
func (s *Sender) CloseIdleDetoured(backend string) {
	s.closeIdle(backend, func(l *connection) bool { return l.via != "" })
}

// closeIdle closes the idle connections to a backend server that match.
func (s *Sender) closeIdle(backend string, matches func(l *connection) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []*connection
	for _, l := range s.idle[backend] {
		if !matches(l) {
			kept = append(kept, l)
			continue
		}
		_ = l.Close()
	}
	if len(kept) == 0 {
		delete(s.idle, backend)
		return
	}
	s.idle[backend] = kept
}
