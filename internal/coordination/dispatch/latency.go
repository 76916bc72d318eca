package dispatch

import (
	"time"
)

const (
	// defaultTokensPerMs and defaultBaseLatency apply until requests have been measured.
	// They are the values of the engines in the platform's documentation.
	defaultTokensPerMs = 20.0
	defaultBaseLatency = 10 * time.Millisecond
	// perInFlightShare is the share of the base latency that each request in flight adds.
	perInFlightShare = 0.1
	// sampleWeight is the weight of one measured request in the moving average: a few
	// dozen requests replace the default. The first requests have a higher weight, which
	// begins at firstSampleWeight.
	sampleWeight      = 0.05
	firstSampleWeight = 0.3
	// minSampleTokens is the minimum prefill work, including the prompts ahead, of a request
	// from which a prefill rate is learned. Below it the base latency dominates.
	minSampleTokens                = 500
	minTokensPerMs, maxTokensPerMs = 1.0, 200.0
	// defaultPromptTokens is the mean length of prompts until some have been measured.
	defaultPromptTokens = 1000.0
)

// ModelClass identifies the models of a service that engines prefill at the same rate: those
// whose weights have the same size.
type ModelClass struct {
	Service   string
	WeightsMB float64 // zero for plain services
}

// LatencyEstimator learns from measured requests how fast the upstreams of each service
// process requests. It is not safe for concurrent use.
type LatencyEstimator struct {
	prefillRates  map[ModelClass]*prefillRate
	promptTokens  map[string]float64       // mean number of prompt tokens to prefill, by service
	baseLatencies map[string]time.Duration // by service
}

// prefillRate is the moving average of measured prefill rates.
type prefillRate struct {
	tokensPerMs float64
	samples     int
}

// NewLatencyEstimator returns an estimator without measurements.
func NewLatencyEstimator() *LatencyEstimator {
	return &LatencyEstimator{prefillRates: make(map[ModelClass]*prefillRate), promptTokens: make(map[string]float64), baseLatencies: make(map[string]time.Duration)}
}

// Estimate returns the latency model for requests to a class of models.
func (e *LatencyEstimator) Estimate(class ModelClass) LatencyModel {
	model := LatencyModel{TokensPerMs: defaultTokensPerMs, BaseLatency: defaultBaseLatency}
	if r := e.prefillRates[class]; r != nil {
		model.TokensPerMs = r.tokensPerMs
	}
	if base, ok := e.baseLatencies[class.Service]; ok {
		model.BaseLatency = base
	}
	model.MeanPrefill = model.PrefillTime(int(e.meanPrompt(class.Service)))
	model.PerInFlight = time.Duration(perInFlightShare * float64(model.BaseLatency))
	return model
}

// meanPrompt returns the mean number of prompt tokens that the engines of a service prefill.
func (e *LatencyEstimator) meanPrompt(service string) float64 {
	if tokens, ok := e.promptTokens[service]; ok {
		return tokens
	}
	return defaultPromptTokens
}

// PromptSample is the measurement of one request to a model.
type PromptSample struct {
	UncachedTokens   int           // prompt tokens that the engine did not have in its prefix cache
	PrefillAhead     time.Duration // expected prefill time of the prompts ahead of this one
	TimeToFirstEvent time.Duration // time from sending the request to the first event
}

// ObservePrompt adjusts the prefill rate of a class of models by one measurement. It
// ignores requests with less prefill work than minSampleTokens.
func (e *LatencyEstimator) ObservePrompt(class ModelClass, sample PromptSample) {
	mean := e.meanPrompt(class.Service)
	e.promptTokens[class.Service] = mean + sampleWeight*(float64(sample.UncachedTokens)-mean)
	currentRate := e.Estimate(class).TokensPerMs
	expected := sample.PrefillAhead + LatencyModel{TokensPerMs: currentRate}.PrefillTime(sample.UncachedTokens)
	if float64(expected)/float64(time.Millisecond) < minSampleTokens/currentRate {
		return
	}
	r := e.prefillRates[class]
	if r == nil {
		r = &prefillRate{tokensPerMs: currentRate}
		e.prefillRates[class] = r
	}
	measuredRate := currentRate * float64(expected) / float64(max(sample.TimeToFirstEvent, time.Millisecond))
	measuredRate = min(max(measuredRate, minTokensPerMs), maxTokensPerMs)
	r.samples++
	r.tokensPerMs += max(sampleWeight, firstSampleWeight/float64(r.samples)) * (measuredRate - currentRate)
}

// ObservePlain adjusts the base latency of a plain service by a request that was sent while
// running other requests were in flight.
func (e *LatencyEstimator) ObservePlain(service string, running int, elapsed time.Duration) {
	base := e.Estimate(ModelClass{Service: service}).BaseLatency
	sample := time.Duration(float64(elapsed) / (1 + perInFlightShare*float64(running)))
	e.baseLatencies[service] = base + time.Duration(sampleWeight*float64(sample-base))
}
