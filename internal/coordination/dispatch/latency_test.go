package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Models with weights of two sizes share engines, and each size must get its own prefill
// rate. One in three requests finds an idle engine, as on the heaviest day of the largest site.
func TestPrefillRateIsLearnedPerWeightsSize(t *testing.T) {
	const fastRate, slowRate = 60.0, 18.0 // tokens/ms
	random := rand.New(rand.NewPCG(1, 1))
	estimator := NewLatencyEstimator()
	small, large := ModelClass{Service: "s", WeightsMB: 65_000}, ModelClass{Service: "s", WeightsMB: 72_000}
	for range 400 {
		for class, rate := range map[ModelClass]float64{small: fastRate, large: slowRate} {
			tokens := 500 + random.IntN(3000)
			ahead := 0 // tokens of models of the other size
			if random.IntN(3) > 0 {
				ahead = 500 + random.IntN(3000)
			}
			other, otherRate := large, slowRate
			if class == large {
				other, otherRate = small, fastRate
			}
			timeToFirstEvent := LatencyModel{TokensPerMs: rate}.PrefillTime(tokens) + LatencyModel{TokensPerMs: otherRate}.PrefillTime(ahead)
			estimator.ObservePrompt(class, PromptSample{UncachedTokens: tokens, PrefillAhead: estimator.Estimate(other).PrefillTime(ahead), TimeToFirstEvent: timeToFirstEvent})
		}
	}
	assert.Assert(t, math.Abs(estimator.Estimate(small).TokensPerMs-fastRate) < fastRate/10, "%v", estimator.Estimate(small))
	assert.Assert(t, math.Abs(estimator.Estimate(large).TokensPerMs-slowRate) < slowRate/10, "%v", estimator.Estimate(large))
	assert.Equal(t, estimator.Estimate(ModelClass{Service: "s", WeightsMB: 9}).TokensPerMs, defaultTokensPerMs, "a weights size without measurements must keep the default")
}

func TestShortPromptsDoNotChangePrefillRate(t *testing.T) {
	estimator := NewLatencyEstimator()
	class := ModelClass{Service: "s", WeightsMB: 1}
	for range 100 {
		estimator.ObservePrompt(class, PromptSample{UncachedTokens: 40, TimeToFirstEvent: time.Second})
	}
	assert.Equal(t, estimator.Estimate(class).TokensPerMs, defaultTokensPerMs)
}
