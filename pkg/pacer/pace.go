package pacer

import "time"

const (
	// firstPace is assumed until prompts have shown the engine's pace, in tokens a second.
	// It is a low one: too low a pace costs a little waiting, too high a one long pauses.
	firstPace = 10000
	// paceMemory is the weight that a time keeps with each later one: some fifty count, which
	// come within seconds at a busy engine.
	paceMemory = 0.98
	// leastWeight is the number of times from which they are believed.
	leastWeight = 3
	// caution is the number of times that would have to speak for a pace above that of whole
	// prompts: a line through few times, or through times of prompts of which an engine had
	// kept a part, may be far too flat.
	caution = 4
)

// pace is how fast an engine reads, learnt from the times until first events: a part that
// each takes whatever its size (the way there and back, a step), and one for each token.
// Both follow from a line through the times, of which old ones count less and less.
type pace struct {
	weight, x, y, xx, xy float64
}

// note takes the time in which an engine has read some tokens.
func (p *pace) note(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	x, y := float64(tokens), took.Seconds()
	p.weight = p.weight*paceMemory + 1
	p.x = p.x*paceMemory + x
	p.y = p.y*paceMemory + y
	p.xx = p.xx*paceMemory + x*x
	p.xy = p.xy*paceMemory + x*y
}

// perSecond returns the tokens that are read in a second.
func (p *pace) perSecond() float64 {
	if p.weight < leastWeight {
		return firstPace
	}
	meanX, meanY := p.x/p.weight, p.y/p.weight
	whole := meanY / meanX
	variance := p.xx/p.weight - meanX*meanX
	covariance := p.xy/p.weight - meanX*meanY
	doubt := caution / p.weight * meanX * meanX
	perToken := (covariance + doubt*whole) / (variance + doubt)
	if perToken <= 0 {
		perToken = whole
	}
	return 1 / perToken
}

func (p *pace) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.perSecond() * float64(time.Second))
}
