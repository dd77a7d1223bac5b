package pacer

import "time"

const (
	// firstPace is assumed until prompts have shown the engine's pace, in tokens a second.
	// It is a low one: too low a pace costs a little waiting, too high a one long pauses.
	firstPace = 10000
	// firstTokens is the size of the prompts that are taken to have shown it, and firstTimes
	// their number.
	firstTokens = 1000
	firstTimes  = 4
	// paceMemory is the weight that a time keeps with each later one: some fifty count, which
	// come within seconds at a busy engine.
	paceMemory = 0.98
	// caution is the number of times that speak for the pace of whole prompts beside the line,
	// which is often flat where few times are known. steepest is how far above that pace the
	// line's may be: small prompts are mostly the way there and back.
	caution  = 4
	steepest = 4
	// keptShare is the part of the expected time below which an engine has not read a prompt
	// but kept it, as of one that is sent again after everything was lost. Three such times
	// made a pace of 40 tokens in a ms from one of 19, and pauses of 0.7 s.
	keptShare = 0.6
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
	p.begin()
	x := float64(tokens)
	whole, perToken := p.line()
	expected := whole*p.x/p.weight + perToken*(x-p.x/p.weight)
	p.add(x, max(took.Seconds(), keptShare*expected))
}

// begin takes what is assumed before anything was seen.
func (p *pace) begin() {
	if p.weight > 0 {
		return
	}
	for range firstTimes {
		p.add(firstTokens, firstTokens/float64(firstPace))
	}
}

func (p *pace) add(x, y float64) {
	p.weight = p.weight*paceMemory + 1
	p.x = p.x*paceMemory + x
	p.y = p.y*paceMemory + y
	p.xx = p.xx*paceMemory + x*x
	p.xy = p.xy*paceMemory + x*y
}

// line returns the seconds that a token takes, with its share of what each prompt takes
// whatever its size, and without it.
func (p *pace) line() (whole, perToken float64) {
	meanX, meanY := p.x/p.weight, p.y/p.weight
	whole = meanY / meanX
	variance := p.xx/p.weight - meanX*meanX
	covariance := p.xy/p.weight - meanX*meanY
	doubt := caution / p.weight * meanX * meanX
	perToken = (covariance + doubt*whole) / (variance + doubt)
	return whole, min(max(perToken, whole/steepest), whole)
}

// perSecond returns the tokens that are read in a second.
func (p *pace) perSecond() float64 {
	p.begin()
	_, perToken := p.line()
	return 1 / perToken
}

func (p *pace) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.perSecond() * float64(time.Second))
}
