package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/state/bundle"
)

const (
	modelSkew    = 0.8  // exponent of the models' popularity
	prefixSkew   = 1.0  // exponent of the prefixes' popularity
	callerSkew   = 0.5  // exponent of the callers' activity
	lengthSpread = 0.6  // standard deviation of the logarithm of the answer length
	estimateLow  = 0.85 // of the true length, as the entry is told
	estimateHigh = 1.15
	burstLow     = 0.8 // of the mean rate
	burstHigh    = 1.2
	burstPeriod  = 10 * time.Second
	shiftFactor  = 10
	minTokens    = 4
)

// job is one request of a caller.
type job struct {
	service   int
	model     int
	modelID   bundle.ModelID
	class     routing.Class
	caller    admission.Caller
	prefix    uint64
	print     suspect.Fingerprint
	tokens    float64
	allowed   time.Duration // from arrival to deadline
	arrived   time.Duration
	deadline  time.Duration
	resends   int
	zone      int // of the instance that the caller reached
	crash     bool
	counted   bool
	finished  bool
	estimated float64 // tokens as the entry is told
}

// demand generates the requests of one service.
type demand struct {
	spec     ServiceSpec
	index    int
	scenario *Scenario
	rand     *rand.Rand
	rate     float64 // requests a second
	burst    float64
	models   sampler
	prefixes sampler
	callers  sampler
	shifted  int
	serial   uint64
}

func newDemand(s *Scenario, index int) *demand {
	spec := s.Services[index]
	d := &demand{
		spec: spec, index: index, scenario: s, burst: 1, shifted: -1,
		rand:     rand.New(rand.NewPCG(s.Seed, uint64(1000+index))),
		models:   newSampler(max(spec.Models, 1), modelSkew),
		prefixes: newSampler(max(spec.Prefixes, 1), prefixSkew),
		callers:  newSampler(spec.Callers, callerSkew),
	}
	d.rate = spec.Load * float64(spec.Engines) * spec.capacity() / spec.meanWork()
	return d
}

// capacity returns the steps a second of a full batch, summed over its requests.
func (s ServiceSpec) capacity() float64 {
	return float64(s.Slots) / s.step(s.Slots).Seconds()
}

func (s ServiceSpec) step(batch int) time.Duration {
	return s.Base + time.Duration(batch)*s.PerRequest
}

// meanWork returns the mean steps of a request whose prefix is in the cache.
func (s ServiceSpec) meanWork() float64 {
	var sum float64
	for _, c := range s.Classes {
		sum += c.Share * (c.Tokens + s.PrefillHit)
	}
	return sum
}

// gap returns the time to the next arrival.
func (d *demand) gap() time.Duration {
	return time.Duration(d.rand.ExpFloat64() / (d.rate * d.burst) * float64(time.Second))
}

func (d *demand) nextBurst() { d.burst = burstLow + (burstHigh-burstLow)*d.rand.Float64() }

// shift raises the demand of a quiet model tenfold.
func (d *demand) shift() {
	n := d.spec.Models
	if n < 4 {
		return
	}
	d.shifted = n/2 + d.rand.IntN(n/2)
	d.models.scale(d.shifted, shiftFactor)
}

func (d *demand) unshift() {
	if d.shifted >= 0 {
		d.models.scale(d.shifted, 1.0/shiftFactor)
		d.shifted = -1
	}
}

func (d *demand) next(now time.Duration) *job {
	c := d.class()
	d.serial++
	j := &job{
		service: d.index, class: c.Class,
		model:  d.models.sample(d.rand),
		caller: callerName(d.callers.sample(d.rand)),
		tokens: d.length(c.Tokens),
	}
	j.modelID = modelName(d.index, j.model)
	if d.spec.Prefixes > 0 {
		j.prefix = routing.HashString(string(j.modelID)) + uint64(d.prefixes.sample(d.rand)) + 1
	}
	j.print = fingerprint(d.index, d.serial)
	j.estimated = j.tokens * (estimateLow + (estimateHigh-estimateLow)*d.rand.Float64())
	j.allowed = c.Grace + time.Duration(j.tokens*float64(c.PerToken))
	j.arrive(now)
	j.counted = now >= d.scenario.Warmup
	return j
}

func (j *job) arrive(now time.Duration) {
	j.arrived = now
	j.deadline = now + j.allowed
}

func (d *demand) class() ClassSpec {
	x := d.rand.Float64()
	for _, c := range d.spec.Classes {
		if x < c.Share {
			return c
		}
		x -= c.Share
	}
	return d.spec.Classes[0]
}

// length draws from a log-normal distribution with the given mean.
func (d *demand) length(mean float64) float64 {
	mu := math.Log(mean) - lengthSpread*lengthSpread/2
	return max(math.Round(math.Exp(mu+lengthSpread*d.rand.NormFloat64())), minTokens)
}

func fingerprint(service int, serial uint64) suspect.Fingerprint {
	body := []byte{byte(serial), byte(serial >> 8), byte(serial >> 16), byte(serial >> 24), byte(serial >> 32)}
	return suspect.FingerprintOf(bundle.ServiceName(rune('a'+service)), body)
}

// sampler draws indices with weights.
type sampler struct{ weights, sums []float64 }

// newSampler returns a sampler whose weights fall with the rank to the given exponent.
func newSampler(n int, exponent float64) sampler {
	s := sampler{weights: make([]float64, n), sums: make([]float64, n)}
	for i := range n {
		s.weights[i] = math.Pow(float64(i+1), -exponent)
	}
	s.sumUp()
	return s
}

func (s *sampler) scale(i int, factor float64) {
	s.weights[i] *= factor
	s.sumUp()
}

func (s *sampler) set(weights []float64) {
	copy(s.weights, weights)
	s.sumUp()
}

func (s *sampler) total() float64 { return s.sums[len(s.sums)-1] }

func (s *sampler) sumUp() {
	var sum float64
	for i, w := range s.weights {
		sum += w
		s.sums[i] = sum
	}
}

func (s *sampler) share(i int) float64 { return s.weights[i] / s.sums[len(s.sums)-1] }

func (s *sampler) sample(r *rand.Rand) int {
	x := r.Float64() * s.sums[len(s.sums)-1]
	low, high := 0, len(s.sums)-1
	for low < high {
		middle := (low + high) / 2
		if s.sums[middle] <= x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
