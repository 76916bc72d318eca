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
	outageLength    = 10 * time.Minute
	fleet           = 64
	quietOrders     = 1  // a second over the fleet
	busyOrders      = 32 // a second over the fleet, in the last minutes of the outage
	busyAfter       = 9 * time.Minute
	refusalLimit    = time.Second
	storeReadBudget = 500 // reads a second of the two thousand that the store takes
	settledAfter    = 5 * time.Second
)

// TestBoundOutage sends orders through an outage of ten minutes. Each is refused
// at once, the store is called rarely, and its return brings no burst of calls.
func TestBoundOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fleet, 1, productSettings(), objectapi.Limits{})
		o := &outage{cluster: c}
		c.goRun(func() { o.send(t, outageLength+time.Minute) })
		time.Sleep(10 * time.Second)
		c.store.SetFaults(objectapi.Faults{Outage: true})
		during := o.callsEachSecond(outageLength - 10*time.Second)
		c.store.SetFaults(objectapi.Faults{})
		after := o.callsEachSecond(settledAfter)
		time.Sleep(time.Minute)
		t.Logf("%d refused, slowest after %v; store reads and writes a second: at most %+v in the outage, %+v in the %v after it",
			o.refused, o.slowest, during, after, settledAfter)
		assert.Assert(t, o.refused > 0)
		assert.Assert(t, o.slowest <= refusalLimit)
		for _, r := range []rate{during, after} {
			assert.Assert(t, r.Reads <= storeReadBudget && r.Writes <= storeWriteBudget, "%+v", r)
		}
	})
}

// outage counts what orders meet while the store is down.
type outage struct {
	cluster *cluster
	refused int
	slowest time.Duration
}

// rate is the store's calls in one second.
type rate struct{ Reads, Writes uint64 }

// callsEachSecond returns the most reads and the most writes of a second.
func (o *outage) callsEachSecond(d time.Duration) (most rate) {
	before := o.cluster.store.Counts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := o.cluster.store.Counts()
		most.Reads = max(most.Reads, now.Reads()-before.Reads())
		most.Writes = max(most.Writes, now.Writes()-before.Writes())
		before = now
	}
	return most
}

// send makes one order after another, each by its own caller. A refused caller comes back as told.
func (o *outage) send(t *testing.T, d time.Duration) {
	began := time.Now()
	until := began.Add(d)
	for i := 0; time.Now().Before(until); i++ {
		o.cluster.goRun(func() { o.call(t, i, until) })
		if time.Since(began) < busyAfter {
			time.Sleep(time.Second / quietOrders)
			continue
		}
		time.Sleep(time.Second / busyOrders)
	}
}

func (o *outage) call(t *testing.T, i int, until time.Time) {
	n := o.cluster.nodes[fmt.Sprintf("i%03d", i%fleet)]
	for time.Now().Before(until) {
		claim := testClaim(strconv.Itoa(i), "book")
		began := time.Now()
		answer, err := n.client.Claim(context.Background(), claim)
		var down *order.UnavailableError
		if !errors.As(err, &down) {
			assert.Check(t, err)
			_ = n.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan}) // repeated by the client
			return
		}
		o.note(time.Since(began))
		time.Sleep(down.RetryAfter)
	}
}

func (o *outage) note(d time.Duration) {
	o.cluster.mu.Lock()
	defer o.cluster.mu.Unlock()
	o.refused++
	o.slowest = max(o.slowest, d)
}

// TestBoundUnknownPerKill kills one of eight instances under load. Only orders
// that it had in flight end unknown.
func TestBoundUnknownPerKill(t *testing.T) {
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
						m.killed(victim)
						c.publish(maxViewLag)
					}
					n := c.nodes[fmt.Sprintf("i%03d", i%8)]
					a := m.newAttempt(strconv.Itoa(i), "book")
					c.goRun(func() { u.request(n, a) })
					time.Sleep(time.Second / 98)
				}
				time.Sleep(time.Minute)
				unknown := u.verify(t, c.nodes["i000"])
				m.check()
				t.Logf("seed %d: %d orders, %d in flight at the killed instance, %d unknown", seed, len(m.attempts), len(m.cut), unknown)
				assert.Assert(t, unknown <= len(m.cut))
				assert.Equal(t, len(m.violations), 0, "%v", m.violations)
			})
		})
	}
}
