package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/order"
)

const (
	outageDuration         = 10 * time.Minute
	outageInstances        = 64
	quietOrdersPerSecond   = 1  // over all instances
	busyOrdersPerSecond    = 32 // over all instances, in the last minute of the outage and after it
	busyAfter              = 9 * time.Minute
	maxRefusalLatency      = time.Second
	maxStoreReadsPerSecond = 500 // the store takes two thousand reads per second
	recoveryWindow         = 5 * time.Second
)

// TestBoundOutageRefusesPromptlyWithFewStoreCalls sends orders during a store outage
// of ten minutes. Each order is refused within maxRefusalLatency, the store receives
// few calls, and its recovery causes no burst of calls.
func TestBoundOutageRefusesPromptlyWithFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, outageInstances, 1, productSettings(), objectapi.Limits{})
		o := &outage{cluster: c}
		c.goRun(func() { o.sendOrders(t, outageDuration+time.Minute) })
		time.Sleep(10 * time.Second)
		c.store.SetFaults(objectapi.Faults{Outage: true})
		during := o.peakCallRate(outageDuration - 10*time.Second)
		c.store.SetFaults(objectapi.Faults{})
		after := o.peakCallRate(recoveryWindow)
		time.Sleep(time.Minute)
		t.Logf("%d refused, slowest after %v; store reads and writes per second: at most %+v in the outage, %+v in the %v after it",
			o.refused, o.slowestRefusal, during, after, recoveryWindow)
		assert.Assert(t, o.refused > 0)
		assert.Assert(t, o.slowestRefusal <= maxRefusalLatency)
		for _, r := range []callRate{during, after} {
			assert.Assert(t, r.Reads <= maxStoreReadsPerSecond && r.Writes <= maxStoreWritesPerSecond, "%+v", r)
		}
	})
}

// outage sends orders while the store is down, and counts their refusals.
type outage struct {
	cluster        *cluster
	refused        int
	slowestRefusal time.Duration
}

// callRate is the number of store calls in one second.
type callRate struct{ Reads, Writes uint64 }

// peakCallRate counts the store calls of each second for a duration. It returns the
// largest number of reads and the largest number of writes.
func (o *outage) peakCallRate(d time.Duration) (peak callRate) {
	before := o.cluster.store.Counts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := o.cluster.store.Counts()
		peak.Reads = max(peak.Reads, now.Reads()-before.Reads())
		peak.Writes = max(peak.Writes, now.Writes()-before.Writes())
		before = now
	}
	return peak
}

// sendOrders sends orders for a duration, each from its own caller. A refused caller
// retries after the time that the refusal names.
func (o *outage) sendOrders(t *testing.T, d time.Duration) {
	start := time.Now()
	until := start.Add(d)
	for i := 0; time.Now().Before(until); i++ {
		o.cluster.goRun(func() { o.sendOrder(t, i, until) })
		if time.Since(start) < busyAfter {
			time.Sleep(time.Second / quietOrdersPerSecond)
			continue
		}
		time.Sleep(time.Second / busyOrdersPerSecond)
	}
}

func (o *outage) sendOrder(t *testing.T, i int, until time.Time) {
	n := o.cluster.nodes[fmt.Sprintf("i%03d", i%outageInstances)]
	for time.Now().Before(until) {
		claim := testClaim(strconv.Itoa(i), "book")
		start := time.Now()
		answer, err := n.client.Claim(context.Background(), claim)
		var down *order.UnavailableError
		if !errors.As(err, &down) {
			assert.Check(t, err)
			_ = n.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan}) // the client retries
			return
		}
		o.recordRefusal(time.Since(start))
		time.Sleep(down.RetryAfter)
	}
}

func (o *outage) recordRefusal(d time.Duration) {
	o.cluster.mu.Lock()
	defer o.cluster.mu.Unlock()
	o.refused++
	o.slowestRefusal = max(o.slowestRefusal, d)
}

// TestBoundOnlyOrdersInFlightAtKillEndUnknown kills one of eight instances under load.
// Only orders that were in flight at this instance may get an unknown outcome.
func TestBoundOnlyOrdersInFlightAtKillEndUnknown(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 8, seed, productSettings(), objectapi.Limits{})
				c.store.SetFaults(objectapi.Faults{Delay: storeLatency})
				m := newModel()
				u := &upstream{cluster: c, model: m}
				victim := c.nodes["i003"]
				for i := range 98 * 10 {
					if i == 98*5 {
						victim.kill()
						m.recordKill(victim)
						c.publishMembers(maxViewLag)
					}
					n := c.nodes[fmt.Sprintf("i%03d", i%8)]
					a := m.newAttempt(strconv.Itoa(i), "book")
					c.goRun(func() { u.request(n, a) })
					time.Sleep(time.Second / 98)
				}
				time.Sleep(time.Minute)
				unknown := u.verify(t, c.nodes["i000"])
				m.check()
				t.Logf("seed %d: %d orders, %d in flight at the killed instance, %d unknown", seed, len(m.attempts), len(m.inFlightAtKill), unknown)
				assert.Assert(t, unknown <= len(m.inFlightAtKill))
				assert.Equal(t, len(m.violations), 0, "%v", m.violations)
			})
		})
	}
}
