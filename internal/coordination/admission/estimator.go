package admission

import "time"

const estimatorWeight = 0.1 // of the latest answer in the mean

// Estimator predicts the time of an answer from its length and the present pace
// of the service. An entry keeps one for each service.
type Estimator struct {
	perUnit float64 // nanoseconds
}

// NewEstimator returns an estimator with a first guess for each unit of length.
func NewEstimator(perUnit time.Duration) *Estimator {
	return &Estimator{perUnit: float64(perUnit)}
}

// Observe records a whole answer. Units are its tokens, or one for a plain call.
func (e *Estimator) Observe(units float64, took time.Duration) {
	if units <= 0 {
		return
	}
	e.perUnit += estimatorWeight * (float64(took)/units - e.perUnit)
}

// Estimate returns the time that an answer of the given length likely takes.
func (e *Estimator) Estimate(units float64) time.Duration {
	return time.Duration(units * e.perUnit)
}
