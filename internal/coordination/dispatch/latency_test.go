package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Models of two sizes share engines; each size gets its own speed. One in three requests
// finds an idle engine, as on the heaviest day of the users' large site.
func TestSpeedsAreLearntBySizeOfWeights(t *testing.T) {
	const fast, slow = 60.0, 18.0 // tokens/ms
	random := rand.New(rand.NewPCG(1, 1))
	s := NewLatencyEstimator()
	small, large := ModelClass{Service: "s", WeightsMB: 65_000}, ModelClass{Service: "s", WeightsMB: 72_000}
	for range 400 {
		for class, speed := range map[ModelClass]float64{small: fast, large: slow} {
			tokens := 500 + random.IntN(3000)
			ahead := 0 // tokens of models of the other size
			if random.IntN(3) > 0 {
				ahead = 500 + random.IntN(3000)
			}
			other, otherSpeed := large, slow
			if class == large {
				other, otherSpeed = small, fast
			}
			took := LatencyModel{TokensPerMs: speed}.PrefillTime(tokens) + LatencyModel{TokensPerMs: otherSpeed}.PrefillTime(ahead)
			s.ObservePrompt(class, PromptSample{UncachedTokens: tokens, PrefillAhead: s.Estimate(other).PrefillTime(ahead), TimeToFirstEvent: took})
		}
	}
	assert.Assert(t, math.Abs(s.Estimate(small).TokensPerMs-fast) < fast/10, "%v", s.Estimate(small))
	assert.Assert(t, math.Abs(s.Estimate(large).TokensPerMs-slow) < slow/10, "%v", s.Estimate(large))
	assert.Equal(t, s.Estimate(ModelClass{Service: "s", WeightsMB: 9}).TokensPerMs, defaultTokensPerMs, "another size is not known")
}

func TestFewTokensSayNothingOfTheSpeed(t *testing.T) {
	s := NewLatencyEstimator()
	class := ModelClass{Service: "s", WeightsMB: 1}
	for range 100 {
		s.ObservePrompt(class, PromptSample{UncachedTokens: 40, TimeToFirstEvent: time.Second})
	}
	assert.Equal(t, s.Estimate(class).TokensPerMs, defaultTokensPerMs)
}
