package placement

import (
	"math"
	"time"

	"savoryweir/internal/state/bundle"
)

// Traffic is what the entries saw of one model.
type Traffic struct {
	Model     bundle.ModelID
	Requests  float64 // a second, as they arrived
	Completed float64 // a second, with a whole answer
	Tokens    float64 // a second, of whole answers
}

// Estimator turns the traffic of a cell's models into demand. It counts requests as they
// arrive, so that a model with too few replicas is seen to need more than they can serve.
//
// Callers send refused requests again, and an entry can't tell these from new ones. So the
// requests beyond those completed count in full only as long as the engines could serve
// them all; otherwise all models' excess is scaled down to what the engines have left.
type Estimator struct {
	// EngineTokens is what one engine generates at full use, in tokens a second.
	EngineTokens float64
	// Smoothing is the time constant over which traffic is averaged.
	Smoothing time.Duration

	at      time.Time
	traffic map[bundle.ModelID]*smoothed
	all     lengths
}

// smoothed is the averaged traffic of one model.
type smoothed struct {
	requests  float64
	completed float64
	tokens    float64
	lengths   lengths
}

// lengths averages the tokens of whole answers over requests.
type lengths struct{ completed, tokens float64 }

const (
	// lengthMemory is the number of answers over which their mean length is taken.
	lengthMemory = 200
	// fullUse is the share of the engines' work that demand may reach before excess is scaled down.
	fullUse = 0.95
)

// Demand takes in the present traffic and returns the demand of each model, in engines.
// compute is what the cell's engines can do, in engines.
func (e *Estimator) Demand(now time.Time, traffic []Traffic, compute float64) []float64 {
	e.learn(now, traffic)
	served := make([]float64, len(traffic))
	excess := make([]float64, len(traffic))
	servedSum, excessSum := 0.0, 0.0
	for i, t := range traffic {
		s := e.traffic[t.Model]
		engines := e.tokens(s.lengths) / e.EngineTokens // of one request a second
		served[i] = s.completed * engines
		if s.completed == 0 {
			served[i] = s.tokens / e.EngineTokens // an older entry counts no completed requests
		}
		excess[i] = (s.requests - s.completed) * engines
		servedSum += served[i]
		excessSum += max(0, excess[i])
	}
	scale := 1.0
	if excessSum > 0 {
		scale = min(1, max(0, fullUse*compute-servedSum)/excessSum)
	}
	for i := range served {
		served[i] += scale * max(0, excess[i])
	}
	return served
}

// learn averages the traffic.
func (e *Estimator) learn(now time.Time, traffic []Traffic) {
	if e.traffic == nil {
		e.traffic = make(map[bundle.ModelID]*smoothed)
		e.at = now
	}
	elapsed := now.Sub(e.at)
	e.at = now
	weight := 1.0
	if e.Smoothing > 0 {
		weight = 1 - math.Exp(-elapsed.Seconds()/e.Smoothing.Seconds())
	}
	for _, t := range traffic {
		s := e.traffic[t.Model]
		if s == nil {
			s = &smoothed{requests: t.Requests, completed: t.Completed, tokens: t.Tokens}
			e.traffic[t.Model] = s
		}
		s.requests += weight * (t.Requests - s.requests)
		s.completed += weight * (t.Completed - s.completed)
		s.tokens += weight * (t.Tokens - s.tokens)
		s.lengths.add(t, elapsed)
		e.all.add(t, elapsed)
	}
}

// tokens returns the mean tokens of an answer. Where answers are few, the mean of all models
// stands in for those that are missing.
func (e *Estimator) tokens(l lengths) float64 {
	if e.all.completed == 0 {
		return 0
	}
	mean := e.all.tokens / e.all.completed
	missing := max(0, lengthMemory-l.completed)
	return (l.tokens + missing*mean) / (l.completed + missing)
}

func (l *lengths) add(t Traffic, elapsed time.Duration) {
	l.completed += t.Completed * elapsed.Seconds()
	l.tokens += t.Tokens * elapsed.Seconds()
	if l.completed > lengthMemory {
		l.tokens *= lengthMemory / l.completed
		l.completed = lengthMemory
	}
}
