package placement

import (
	"math"
	"time"

	"savoryweir/internal/state/bundle"
)

// Traffic is the traffic of one model as the entry processes measured it.
type Traffic struct {
	Model     bundle.ModelID
	Requests  float64 // requests that arrive per second
	Completed float64 // requests that are completed per second, with a whole answer
	Tokens    float64 // tokens of whole answers per second
}

// Estimator computes demand from the traffic of a cell's models. It counts requests as they
// arrive, so that the demand of a model with too few replicas exceeds what they can serve.
//
// Callers retry rejected requests, and an entry process cannot distinguish a retry from a
// new request. The requests in excess of the completed ones therefore count in full only
// while the engines could serve them all; otherwise the excess of all models is scaled down
// to the capacity that the engines have left.
type Estimator struct {
	// EngineTokens is the throughput of a fully used engine, in tokens per second.
	EngineTokens float64
	// Smoothing is the time constant over which traffic is averaged.
	Smoothing time.Duration

	lastUpdate time.Time
	averages   map[bundle.ModelID]*trafficAverages
	allAnswers answerLengths
}

// trafficAverages is the averaged traffic of one model.
type trafficAverages struct {
	requests  float64
	completed float64
	tokens    float64
	answers   answerLengths
}

// answerLengths holds the number of completed requests and the tokens of their answers,
// over about the last answerWindow answers.
type answerLengths struct{ completed, tokens float64 }

const (
	// answerWindow is the number of answers over which the mean answer length is taken.
	answerWindow = 200
	// maxUtilization is the share of the engines' compute that demand may reach before
	// excess requests are scaled down.
	maxUtilization = 0.95
)

// Demand updates the averages with the current traffic and returns the demand of each
// model, in engines. compute is the compute of all engines of the cell, in engines.
func (e *Estimator) Demand(now time.Time, traffic []Traffic, compute float64) []float64 {
	e.update(now, traffic)
	served := make([]float64, len(traffic))
	excess := make([]float64, len(traffic))
	servedSum, excessSum := 0.0, 0.0
	for i, t := range traffic {
		s := e.averages[t.Model]
		enginesPerRate := e.meanTokens(s.answers) / e.EngineTokens // engines for one request per second
		served[i] = s.completed * enginesPerRate
		if s.completed == 0 {
			served[i] = s.tokens / e.EngineTokens // an entry process of an older version reports no completed requests
		}
		excess[i] = (s.requests - s.completed) * enginesPerRate
		servedSum += served[i]
		excessSum += max(0, excess[i])
	}
	scale := 1.0
	if excessSum > 0 {
		scale = min(1, max(0, maxUtilization*compute-servedSum)/excessSum)
	}
	for i := range served {
		served[i] += scale * max(0, excess[i])
	}
	return served
}

// update adds the traffic to the averages, weighted by the time since the last update.
func (e *Estimator) update(now time.Time, traffic []Traffic) {
	if e.averages == nil {
		e.averages = make(map[bundle.ModelID]*trafficAverages)
		e.lastUpdate = now
	}
	elapsed := now.Sub(e.lastUpdate)
	e.lastUpdate = now
	weight := 1.0
	if e.Smoothing > 0 {
		weight = 1 - math.Exp(-elapsed.Seconds()/e.Smoothing.Seconds())
	}
	for _, t := range traffic {
		s := e.averages[t.Model]
		if s == nil {
			s = &trafficAverages{requests: t.Requests, completed: t.Completed, tokens: t.Tokens}
			e.averages[t.Model] = s
		}
		s.requests += weight * (t.Requests - s.requests)
		s.completed += weight * (t.Completed - s.completed)
		s.tokens += weight * (t.Tokens - s.tokens)
		s.answers.add(t, elapsed)
		e.allAnswers.add(t, elapsed)
	}
}

// meanTokens returns the mean tokens of a model's answers. With fewer than answerWindow
// answers, the mean of all models substitutes for the missing ones.
func (e *Estimator) meanTokens(l answerLengths) float64 {
	if e.allAnswers.completed == 0 {
		return 0
	}
	mean := e.allAnswers.tokens / e.allAnswers.completed
	missing := max(0, answerWindow-l.completed)
	return (l.tokens + missing*mean) / (l.completed + missing)
}

func (l *answerLengths) add(t Traffic, elapsed time.Duration) {
	l.completed += t.Completed * elapsed.Seconds()
	l.tokens += t.Tokens * elapsed.Seconds()
	if l.completed > answerWindow {
		l.tokens *= answerWindow / l.completed
		l.completed = answerWindow
	}
}
