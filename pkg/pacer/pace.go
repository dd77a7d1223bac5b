package pacer

import "time"

const (
	// firstPace is assumed until prompts have shown the engine's pace, in tokens a second.
	// It is a low one: too low a pace costs a little waiting, too high a one long pauses.
	firstPace = 10000
	// leastTokens is the size from which a time says something: that of a small prompt is
	// mostly the way there and the engine's step.
	leastTokens = 300
	// paceMemory is the weight of the latest time.
	paceMemory = 0.1
)

// pace is how fast an engine reads, learnt from the times until first events.
type pace struct {
	// secondsPerToken is 0 before anything was learnt.
	secondsPerToken float64
}

// note takes the time in which an engine has read some tokens.
func (p *pace) note(tokens int, took time.Duration) {
	if tokens < leastTokens || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	if p.secondsPerToken == 0 {
		p.secondsPerToken = 1.0 / firstPace
	}
	p.secondsPerToken += paceMemory * (sample - p.secondsPerToken)
}

func (p *pace) perSecond() float64 {
	if p.secondsPerToken == 0 {
		return firstPace
	}
	return 1 / p.secondsPerToken
}

func (p *pace) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.perSecond() * float64(time.Second))
}
