package admission

import "time"

// estimatorSmoothing is the weight of the latest response in the moving average.
const estimatorSmoothing = 0.1

// Estimator predicts the duration of a response from its length and the recent
// speed of the service. An entry process keeps one Estimator for each service.
type Estimator struct {
	nanosPerUnit float64
}

// NewEstimator returns an estimator that starts from the given duration per unit of length.
func NewEstimator(perUnit time.Duration) *Estimator {
	return &Estimator{nanosPerUnit: float64(perUnit)}
}

// Observe records a complete response. Units is the number of its tokens, or one
// for a call of a plain service.
func (e *Estimator) Observe(units float64, duration time.Duration) {
	if units <= 0 {
		return
	}
	e.nanosPerUnit += estimatorSmoothing * (float64(duration)/units - e.nanosPerUnit)
}

// Estimate returns the predicted duration of a response of the given length.
func (e *Estimator) Estimate(units float64) time.Duration {
	return time.Duration(units * e.nanosPerUnit)
}
