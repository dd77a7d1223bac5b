package throttler

import (
	"time"

	"bronzelead.example/pkg/windowcounter"
)

// maxGranters bounds the gateways whose grants are counted separately: owner and deputy, and
// the previous ones.
const maxGranters = 4

// Sends counts what one gateway has sent to a backend server in the window. The zero value is
// ready for use.
type Sends struct {
	// granted counts sends by the gateway that granted them, the most recently used last. The
	// first entry counts sends without a grant, and those of evicted granters.
	granted []granterSends
}

type granterSends struct {
	granter string
	window  windowcounter.Window
}

// Add records a send with a grant of a gateway; "" is without one.
func (s *Sends) Add(now time.Time, granter string) { s.windowOf(now, granter).Add(now, 1) }

// windowOf returns the window of a granter.
func (s *Sends) windowOf(now time.Time, granter string) *windowcounter.Window {
	for i := range s.granted {
		if s.granted[i].granter == granter {
			return s.moveToLast(i)
		}
	}
	if granter != "" {
		s.windowOf(now, "")
	}
	if len(s.granted) > maxGranters {
		s.granted[0].window.AddParts(now, s.granted[1].window.Parts(now))
		s.granted = append(s.granted[:1], s.granted[2:]...)
	}
	s.granted = append(s.granted, granterSends{granter: granter, window: windowcounter.Window{Length: Window}})
	return &s.granted[len(s.granted)-1].window
}

// moveToLast makes an entry other than the first the last, and returns its window.
func (s *Sends) moveToLast(i int) *windowcounter.Window {
	if last := len(s.granted) - 1; i > 0 && i < last {
		entry := s.granted[i]
		copy(s.granted[i:], s.granted[i+1:])
		s.granted[last] = entry
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
