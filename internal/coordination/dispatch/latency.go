package dispatch

import (
	"time"
)

const (
	// defaultTokensPerMs and defaultStep hold until requests were measured; they
	// are those of the engines that the platform's pages describe.
	defaultTokensPerMs = 20.0
	defaultStep        = 10 * time.Millisecond
	// perRunningShare is the part of a step that each request in flight adds.
	perRunningShare = 0.1
	// learnWeight is the weight of one request in a measured speed: a few dozen
	// requests replace the default. The first ones weigh more.
	learnWeight      = 0.05
	firstLearnWeight = 0.3
	// learnTokens is the least work from which a reading speed is learnt; below it
	// the fixed part of a step prevails.
	learnTokens                    = 500
	minTokensPerMs, maxTokensPerMs = 1.0, 200.0
)

// ModelClass groups the models of a service that engines read at the same speed:
// those whose weights have the same size.
type ModelClass struct {
	Service   string
	WeightsMB float64 // zero for plain services
}

// LatencyEstimator learns how fast the upstreams of each service work. It is not safe for
// concurrent use.
type LatencyEstimator struct {
	reading map[ModelClass]*readingSpeed
	steps   map[string]time.Duration // by service
}

type readingSpeed struct {
	tokensPerMs float64
	samples     int
}

// NewLatencyEstimator returns speeds that know no service.
func NewLatencyEstimator() *LatencyEstimator {
	return &LatencyEstimator{reading: make(map[ModelClass]*readingSpeed), steps: make(map[string]time.Duration)}
}

// Estimate returns the speed at which requests for a class of models are served.
func (s *LatencyEstimator) Estimate(class ModelClass) LatencyModel {
	speed := LatencyModel{TokensPerMs: defaultTokensPerMs, BaseLatency: defaultStep}
	if r := s.reading[class]; r != nil {
		speed.TokensPerMs = r.tokensPerMs
	}
	if step, ok := s.steps[class.Service]; ok {
		speed.BaseLatency = step
	}
	speed.PerInFlight = time.Duration(perRunningShare * float64(speed.BaseLatency))
	return speed
}

// PromptSample is a measured request for a model.
type PromptSample struct {
	UncachedTokens   int           // of the prompt, without those that the engine held
	PrefillAhead     time.Duration // reading time of the prompts that came before
	TimeToFirstEvent time.Duration // until the first event
}

// ObservePrompt adjusts the reading speed of a class of models.
func (s *LatencyEstimator) ObservePrompt(class ModelClass, p PromptSample) {
	speed := s.Estimate(class).TokensPerMs
	foreseen := p.PrefillAhead + LatencyModel{TokensPerMs: speed}.PrefillTime(p.UncachedTokens)
	if float64(foreseen)/float64(time.Millisecond) < learnTokens/speed {
		return
	}
	r := s.reading[class]
	if r == nil {
		r = &readingSpeed{tokensPerMs: speed}
		s.reading[class] = r
	}
	measured := speed * float64(foreseen) / float64(max(p.TimeToFirstEvent, time.Millisecond))
	measured = min(max(measured, minTokensPerMs), maxTokensPerMs)
	r.samples++
	r.tokensPerMs += max(learnWeight, firstLearnWeight/float64(r.samples)) * (measured - speed)
}

// ObservePlain adjusts the step of a plain service by a request that was sent while
// others were running.
func (s *LatencyEstimator) ObservePlain(service string, running int, took time.Duration) {
	step := s.Estimate(ModelClass{Service: service}).BaseLatency
	own := time.Duration(float64(took) / (1 + perRunningShare*float64(running)))
	s.steps[service] = step + time.Duration(learnWeight*float64(own-step))
}
