package pacer

import "time"

const (
	// initialRate is assumed until prompts have shown the engine's rate, in tokens per second.
	// It is low: too low a rate costs a little waiting, too high a one long pauses.
	initialRate = 10000
	// initialTokens is the prompt size of the samples that stand for initialRate, and
	// initialSamples their number.
	initialTokens  = 1000
	initialSamples = 4
	// sampleDecay is the factor by which the weight of a sample decays with each later one:
	// some fifty count, which arrive within seconds at a busy engine.
	sampleDecay = 0.98
	// priorSamples is the number of samples by which the rate of whole prompts is weighted
	// against the fitted line, which is often flat with few samples. maxRateRatio bounds the
	// ratio of the line's rate to that of whole prompts: the time of small prompts is mostly
	// the round trip.
	priorSamples = 4
	maxRateRatio = 4
	// cachedShare is the fraction of the expected time below which an engine must have cached a
	// prompt instead of reading it, such as one that is sent again after all state was lost.
	// Three such samples raised the estimate from 19 to 40 tokens per ms, and caused pauses of
	// 0.7 s.
	cachedShare = 0.6
)

// rateEstimator estimates how fast an engine reads prompts from the times until first events: a
// part that is independent of the size (the round trip, a step), and a part per token. Both
// follow from a linear fit, in which the weight of old samples decays.
type rateEstimator struct {
	weight, x, y, xx, xy float64
}

// observe records the time in which an engine has read the given number of tokens.
func (p *rateEstimator) observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p.addInitialSamples()
	x := float64(tokens)
	whole, perToken := p.fit()
	expected := whole*p.x/p.weight + perToken*(x-p.x/p.weight)
	p.add(x, max(took.Seconds(), cachedShare*expected))
}

// addInitialSamples adds the samples that are assumed before the first measurement.
func (p *rateEstimator) addInitialSamples() {
	if p.weight > 0 {
		return
	}
	for range initialSamples {
		p.add(initialTokens, initialTokens/float64(initialRate))
	}
}

func (p *rateEstimator) add(x, y float64) {
	p.weight = p.weight*sampleDecay + 1
	p.x = p.x*sampleDecay + x
	p.y = p.y*sampleDecay + y
	p.xx = p.xx*sampleDecay + x*x
	p.xy = p.xy*sampleDecay + x*y
}

// fit returns the seconds per token, with and without the part of a prompt's time that is
// independent of its size.
func (p *rateEstimator) fit() (whole, perToken float64) {
	meanX, meanY := p.x/p.weight, p.y/p.weight
	whole = meanY / meanX
	variance := p.xx/p.weight - meanX*meanX
	covariance := p.xy/p.weight - meanX*meanY
	prior := priorSamples / p.weight * meanX * meanX
	perToken = (covariance + prior*whole) / (variance + prior)
	return whole, min(max(perToken, whole/maxRateRatio), whole)
}

// tokensPerSecond returns the number of tokens that are read in a second.
func (p *rateEstimator) tokensPerSecond() float64 {
	p.addInitialSamples()
	_, perToken := p.fit()
	return 1 / perToken
}

func (p *rateEstimator) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.tokensPerSecond() * float64(time.Second))
}
