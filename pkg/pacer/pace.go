package pacer

import "time"

const (
	// firstPace is assumed until prompts have shown the engine's pace, in tokens a second.
	// It is a low one: too low a pace costs a little waiting, too high a one long pauses.
	firstPace = 10000
	// paceMemory is the weight that a time keeps with each later one: a few dozen count, which
	// come within seconds at a busy engine.
	paceMemory = 0.96
	// leastSpread is the spread of sizes, as a part of the mean size, from which their times
	// tell the pace from what each prompt takes whatever its size.
	leastSpread = 0.3
	// leastWeight is the number of times from which they are believed.
	leastWeight = 5
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
	variance := p.xx/p.weight - meanX*meanX
	whole := meanX / meanY
	if variance < leastSpread*leastSpread*meanX*meanX {
		return whole
	}
	perToken := (p.xy/p.weight - meanX*meanY) / variance
	if perToken <= 0 {
		return whole
	}
	// A line through few times may be far too flat; the part of each prompt is a part only.
	return min(1/perToken, mostSteepness*whole)
}

// mostSteepness bounds the pace against tokens by time, in which small prompts are mostly
// the way there and back.
const mostSteepness = 2

func (p *pace) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.perSecond() * float64(time.Second))
}
