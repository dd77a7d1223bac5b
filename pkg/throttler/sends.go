package throttler

import (
	"time"

	"bronzelead.example/pkg/windowcounter"
)

// maxGranters bounds the gateways whose grants are counted apart: owner and deputy, and those
// of a moment ago.
const maxGranters = 4

// Sends counts what one gateway has sent to a backend server in the window. The zero value
// is ready for use.
type Sends struct {
	// granted is what was sent with grants, by who granted it, the latest last. The first entry
	// is what was sent without a grant, or with one of long ago.
	granted []granterSends
}

type granterSends struct {
	granter string
	window  windowcounter.Window
}

// Add notes that a request is sent, with a grant of a gateway; "" is without one.
func (s *Sends) Add(now time.Time, granter string) { s.of(now, granter).Add(now, 1) }

// of returns the count for a granter.
func (s *Sends) of(now time.Time, granter string) *windowcounter.Window {
	for i := range s.granted {
		if s.granted[i].granter == granter {
			return s.latest(i)
		}
	}
	if granter != "" {
		s.of(now, "")
	}
	if len(s.granted) > maxGranters {
		s.granted[0].window.AddParts(now, s.granted[1].window.Parts(now))
		s.granted = append(s.granted[:1], s.granted[2:]...)
	}
	s.granted = append(s.granted, granterSends{granter: granter, window: windowcounter.Window{Length: Window}})
	return &s.granted[len(s.granted)-1].window
}

// latest makes an entry the latest, but for the first, and returns its window.
func (s *Sends) latest(i int) *windowcounter.Window {
	if last := len(s.granted) - 1; i > 0 && i < last {
		used := s.granted[i]
		copy(s.granted[i:], s.granted[i+1:])
		s.granted[last] = used
		i = last
	}
	return &s.granted[i].window
}

// Excluding returns what was sent without a grant of a gateway, by parts of the window, the
// latest first.
func (s *Sends) Excluding(now time.Time, granter string) []uint64 {
	var sum []uint64
	for i := range s.granted {
		if s.granted[i].granter == granter {
			continue
		}
		parts := s.granted[i].window.Parts(now)
		if sum == nil {
			sum = parts
			continue
		}
		for k, n := range parts {
			sum[k] += n
		}
	}
	return sum
}

// Sum returns what was sent in the window.
func (s *Sends) Sum(now time.Time) float64 {
	sum := 0.0
	for i := range s.granted {
		sum += s.granted[i].window.Sum(now)
	}
	return sum
}
