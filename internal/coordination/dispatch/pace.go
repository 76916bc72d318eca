package dispatch

import (
	"math"
	"time"

	"savoryweir/internal/state/loads"
)

// StreamTargets are what the caller of a stream expects. Without EventGap or EventTokens only the
// first event counts.
type StreamTargets struct {
	FirstEvent  time.Duration // time within which the first event has its full value
	EventGap    time.Duration // longest time between two events at which the stream has its full value
	Remaining   time.Duration // time that the caller still waits for the first event
	EventTokens int           // tokens in one event
	Events      int           // expected number of events
}

// hasGap reports whether the time between events counts.
func (s StreamTargets) hasGap() bool { return s.EventGap > 0 && s.EventTokens > 0 }

const (
	// lateValue is the share of its value that a late response keeps.
	lateValue = 1.0 / 3
	// missSpread is the spread of the natural logarithm of a time about its estimate.
	missSpread = 0.4
	// fullUtilization is the share of an engine's time spent on prompts from which each further
	// prompt delays all that come after it, and fullSpread the width of the transition.
	fullUtilization = 0.95
	fullSpread      = 0.08
	// typicalEvents is the number of events of a stream to which the probability of a long gap refers.
	typicalEvents = 20
	// lossShare is the share of the target for which a stream rather has its first event later than
	// that a whole response is lost.
	lossShare = 0.3
	// maxUtilization bounds the utilization in the estimate of a gap.
	maxUtilization = 0.9
)

// Outlook is what is expected of a stream at one upstream.
type Outlook struct {
	FirstEvent  time.Duration // expected time to the first event
	Gap         time.Duration // expected time between its later events
	OthersGap   time.Duration // expected gap of the streams that run there, while its prompt is read
	Utilization float64       // share of the engine's time spent on prompts, with this one
	Value       float64       // expected value of the response, between 0 and 1
	Harm        float64       // expected loss of value of other requests
}

// missProbability returns the probability that a time which is expected to be expected exceeds limit.
func missProbability(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return logistic(math.Log(float64(max(expected, 1))/float64(limit)) / missSpread)
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// Outlook returns what is expected of a stream at a candidate. An engine works in steps. In each it
// reads prompts that wait, and gives one token to each stream that runs: reading delays the streams.
func (req Request) Outlook(c Candidate) Outlook {
	slowness := c.slowness()
	scale := func(d time.Duration) time.Duration { return time.Duration(slowness * float64(d)) }
	own := req.Latency.PrefillTime(req.PromptTokens - c.CachedTokens)
	typical := min(own, max(req.Latency.MeanPrefill, time.Millisecond))
	eventSteps := time.Duration(req.Targets.EventTokens) * req.Latency.BaseLatency
	pending := c.Load.PendingPrefillUpTo(loads.PriorityRanks - 1)
	o := Outlook{FirstEvent: req.ExpectedTTFB(c), OthersGap: scale(pending + own + eventSteps), Utilization: slowness * c.Load.UtilizationOf(typical)}
	share := min(o.Utilization, maxUtilization)
	o.Gap = scale(eventSteps + time.Duration(share/(1-share)*float64(req.Latency.MeanPrefill)))

	steady := math.Pow(1-missProbability(o.Gap, req.Targets.EventGap), math.Sqrt(float64(max(req.Targets.Events, 1))/typicalEvents))
	inTime := (1 - missProbability(o.FirstEvent, req.Targets.FirstEvent)) * steady
	answered := 1 - missProbability(o.FirstEvent, req.Targets.Remaining)
	o.Value = answered * (lateValue + (1-lateValue)*inTime)

	before := missProbability(scale(pending+eventSteps), req.Targets.EventGap)
	delayed := missProbability(scale(pending+typical+eventSteps), req.Targets.EventGap) - before
	streams := float64(max(c.Load.Running, 0)) + float64(pending)/float64(max(req.Latency.MeanPrefill, time.Millisecond))
	o.Harm = (1-lateValue)*(streams*delayed+before) + logistic((o.Utilization-fullUtilization)/fullSpread)
	return o
}

// slowness returns how long work takes at the candidate: what it tells, and longer if its first events
// have been later than that.
func (c Candidate) slowness() float64 {
	if c.Pace <= 0 {
		return c.Responsiveness.Slowdown
	}
	return c.Pace * c.Responsiveness.Slowdown
}

// loss returns the expected loss by sending the request to the candidate, as a time.
func (req Request) loss(o Outlook) float64 {
	return (1 - o.Value + o.Harm) * lossShare * float64(req.Targets.FirstEvent)
}
