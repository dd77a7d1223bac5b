package paceestimator

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is the number of gaps from which an engine's pace counts: those of one or two
	// streams.
	minSamples = 12
	// priorSamples is the number of gaps that the assumption of a median pace is worth.
	priorSamples = 4
	// minServers is the number of servers with a known interval from which a median is one.
	minServers = 3
	// measurableRatio is the ratio to the median, or its inverse, from which a pace differs: prompts
	// and waits at gateways change the intervals of equal engines by less.
	measurableRatio = 1.35
	// maxRatio bounds the paces, so that a few wrong intervals do not exclude an engine.
	maxRatio = 4.0
	// smoothing is the time in which the intervals of other gateways are averaged: each report holds
	// those of the few gateways that have requests there at the moment.
	smoothing = 3 * time.Second
)

// Estimator estimates the paces of the backend servers of one service. The zero value knows none,
// so that all are equal.
type Estimator struct {
	servers map[string]*server
	// known is reused by Update.
	known   []float64
	differs bool
}

// server is what is known of one incarnation of a backend server. Intervals are logarithms, so that
// a single long one among several weighs little.
type server struct {
	others   float64
	weight   float64
	othersAt time.Time
	own      float64
	samples  float64
	ownAt    time.Time
	pace     float64
}

func (e *Estimator) server(id string) *server {
	s := e.servers[id]
	if s == nil {
		if e.servers == nil {
			e.servers = map[string]*server{}
		}
		s = &server{pace: 1}
		e.servers[id] = s
	}
	return s
}

// ObserveOwn sets the event interval that this gateway measured, with its number of samples.
func (e *Estimator) ObserveOwn(now time.Time, id string, interval time.Duration, samples int) {
	if valid(interval, samples) {
		s := e.server(id)
		s.own, s.samples, s.ownAt = math.Log(float64(interval)), float64(samples), now
	}
}

// ObserveOthers records the mean event interval that other gateways reported, with the sum of their
// samples.
func (e *Estimator) ObserveOthers(now time.Time, id string, interval time.Duration, samples int) {
	if !valid(interval, samples) {
		return
	}
	s, length, weight := e.server(id), math.Log(float64(interval)), float64(samples)
	if s.weight == 0 || now.Sub(s.othersAt) >= gapLease {
		s.others, s.weight, s.othersAt = length, weight, now
		return
	}
	keep := math.Exp(-float64(max(0, now.Sub(s.othersAt))) / float64(smoothing))
	before, added := s.weight*keep, weight*(1-keep)
	if before+added > 0 {
		s.others = (s.others*before + length*added) / (before + added)
		s.weight = before + added
	}
	s.othersAt = now
}

// valid reports whether an interval can be one; reports of others may hold anything.
func valid(interval time.Duration, samples int) bool {
	return interval >= minGap && interval <= maxGap && samples > 0
}

// Forget drops a backend server that has left.
func (e *Estimator) Forget(id string) { delete(e.servers, id) }

// Update computes the paces as of now.
func (e *Estimator) Update(now time.Time) {
	e.known, e.differs = e.known[:0], false
	for id, s := range e.servers {
		s.pace = 1
		if length, weight := s.interval(now); weight >= minSamples {
			e.known = append(e.known, length)
		} else if weight == 0 {
			delete(e.servers, id)
		}
	}
	if len(e.known) < minServers {
		return
	}
	slices.Sort(e.known)
	n := len(e.known)
	median := (e.known[(n-1)/2] + e.known[n/2]) / 2
	for _, s := range e.servers {
		length, weight := s.interval(now)
		if weight < minSamples {
			continue
		}
		ratio := (length - median) * weight / (weight + priorSamples)
		if math.Abs(ratio) >= math.Log(measurableRatio) {
			s.pace, e.differs = math.Exp(min(max(ratio, -math.Log(maxRatio)), math.Log(maxRatio))), true
		}
	}
}

// interval returns the logarithm of the event interval, with the samples that it rests on.
func (s *server) interval(now time.Time) (length, weight float64) {
	if s.weight > 0 && now.Sub(s.othersAt) < gapLease {
		length, weight = s.others*s.weight, s.weight
	}
	if s.samples > 0 && now.Sub(s.ownAt) < gapLease {
		length, weight = length+s.own*s.samples, weight+s.samples
	}
	if weight == 0 {
		return 0, 0
	}
	return length / weight, weight
}

// Pace returns how long a backend server takes for the same work, relative to the median of its
// service, as of the last Update: exactly 1 if it is not known to differ.
func (e *Estimator) Pace(id string) float64 {
	if s := e.servers[id]; s != nil {
		return s.pace
	}
	return 1
}

// Differs reports whether any pace differs from the median as of the last Update.
func (e *Estimator) Differs() bool { return e.differs }

// Summary describes the paces of a service for logs and metrics.
type Summary struct {
	// Known is the number of servers whose interval is known, Slower and Faster how many of them
	// differ from the median.
	Known, Slower, Faster int
	// Slowest and Fastest are the paces that are the farthest from the median; 1 if none differs.
	Slowest, Fastest float64
}

// Summary returns a summary as of the last Update.
func (e *Estimator) Summary() Summary {
	r := Summary{Known: len(e.known), Slowest: 1, Fastest: 1}
	for _, s := range e.servers {
		switch {
		case s.pace > 1:
			r.Slower++
		case s.pace < 1:
			r.Faster++
		}
		r.Slowest, r.Fastest = max(r.Slowest, s.pace), min(r.Fastest, s.pace)
	}
	return r
}
