package throttler

import (
	"time"

	"bronzelead.example/pkg/windower"
)

// Sends counts what one gateway has sent to a backend server in the window. The zero value
// is ready for use.
type Sends struct {
	// granter is the gateway that granted what granted counts.
	granter string
	granted *windower.Window
	// others is what was sent without a grant, or with one of another gateway.
	others windower.Window
}

// Add notes that a request is sent, with a grant of a gateway; "" is without one.
func (s *Sends) Add(now time.Time, granter string) {
	s.others.Length = Window
	if granter == "" {
		s.others.Add(now, 1)
		return
	}
	if granter != s.granter {
		if s.granted != nil {
			s.others.AddParts(now, s.granted.Parts(now))
		}
		s.granter, s.granted = granter, &windower.Window{Length: Window}
	}
	s.granted.Add(now, 1)
}

// Without returns what was sent without a grant of a gateway, by parts of the window.
func (s *Sends) Without(now time.Time, granter string) []uint64 {
	s.others.Length = Window
	parts := s.others.Parts(now)
	if s.granted == nil || granter == s.granter {
		return parts
	}
	granted := s.granted.Parts(now)
	if parts == nil {
		return granted
	}
	for i, n := range granted {
		parts[i] += n
	}
	return parts
}

// Sum returns what was sent in the window.
func (s *Sends) Sum(now time.Time) float64 {
	s.others.Length = Window
	sum := s.others.Sum(now)
	if s.granted != nil {
		sum += s.granted.Sum(now)
	}
	return sum
}
