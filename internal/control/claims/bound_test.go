package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// traffic counts the encoded bytes that each instance sends and receives,
// including the overhead of calls and frames.
type traffic struct {
	mu    sync.Mutex // guards bytes
	bytes map[string]int
}

// count adds the size of messages and an overhead to the bytes of both instances.
func (t *traffic) count(from, to string, overhead int, messages ...proto.Message) {
	for _, m := range messages {
		overhead += proto.Size(m)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[from] += overhead
	t.bytes[to] += overhead
}

// countFrame counts a message of a stream if the cluster counts its traffic.
func (c *conn) countFrame(m proto.Message) {
	if c.cluster.traffic != nil {
		c.cluster.traffic.count(c.from.id, c.to.id, frameOverheadBytes, m)
	}
}

// perSecond returns the mean and the peak of the instances' bytes per second.
func (t *traffic) perSecond(instances int, d time.Duration) (mean, peak float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.bytes {
		rate := float64(n) / d.Seconds()
		mean += rate / float64(instances)
		peak = max(peak, rate)
	}
	return mean, peak
}

const (
	storeLatency             = 5 * time.Millisecond
	upstreamLatency          = 100 * time.Millisecond
	minLoadDuration          = 5 * time.Second
	minOrders                = 2500 // so that every shard has sealed segments
	callOverheadBytes        = 200  // bytes of the headers of a call and its response on the wire
	frameOverheadBytes       = 14   // bytes before each message of a stream: 9 of HTTP/2 and 5 of gRPC
	targetRequestsPerSecond  = 9800
	maxStoreWritesPerSecond  = 200  // the store takes several hundred writes per second
	maxControlBytesPerSecond = 3000 // per instance
)

// load is a steady stream of orders, each with its own key.
type load struct {
	instances int
	perSecond int
	settings  Settings
	// checkControlTraffic requires the control traffic to stay within
	// maxControlBytesPerSecond, which holds while at most one request in twenty
	// is an order.
	checkControlTraffic bool
}

// duration returns the duration of the load.
func (l load) duration() time.Duration {
	return max(minLoadDuration, time.Duration(minOrders/l.perSecond)*time.Second)
}

// loadReport contains the cost of a load.
type loadReport struct {
	writesPerSecond          float64
	writesPer1000            float64
	p50, p99                 time.Duration
	headBytes                int
	bytesPerOrder            float64 // written to the store
	meanTraffic, peakTraffic float64 // bytes per second and instance, between control processes
}

// productSettings returns the test settings with the number of shards and the write
// rate that are the defaults of the product.
func productSettings() Settings {
	s := testSettings()
	s.Shards, s.WritesPerSecond = 32, 150
	return s
}

// runLoad sends a load of orders to a new cluster and reports its cost.
func runLoad(t *testing.T, l load) loadReport {
	t.Helper()
	c := newCluster(t, l.instances, 1, l.settings, objectapi.Limits{})
	c.traffic = &traffic{bytes: make(map[string]int)}
	c.store.SetFaults(objectapi.Faults{Delay: storeLatency})
	var mu sync.Mutex
	var latencies []time.Duration
	var wait sync.WaitGroup
	total := l.perSecond * int(l.duration()/time.Second)
	for i := range total {
		wait.Add(1)
		n := c.nodes[fmt.Sprintf("i%03d", i%l.instances)]
		go func() {
			defer wait.Done()
			start := time.Now()
			claim := testClaim(fmt.Sprint(i), "book")
			answer, err := n.client.Claim(context.Background(), claim)
			assert.Check(t, err)
			mu.Lock()
			latencies = append(latencies, time.Since(start))
			mu.Unlock()
			time.Sleep(upstreamLatency)
			result := order.Result{Outcome: order.OutcomeRan, Status: 201, ContentType: "application/json", Body: make([]byte, 100)}
			assert.Check(t, n.client.Finish(context.Background(), claim, answer.Token, result))
		}()
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	wait.Wait()
	return c.report(t, l, latencies)
}

func (c *cluster) report(t *testing.T, l load, latencies []time.Duration) loadReport {
	t.Helper()
	slices.Sort(latencies)
	orders := float64(len(latencies))
	writes := float64(c.store.Counts().Writes())
	r := loadReport{
		writesPerSecond: writes / l.duration().Seconds(),
		writesPer1000:   1000 * writes / orders,
		p50:             latencies[len(latencies)/2],
		p99:             latencies[len(latencies)*99/100],
	}
	heads, err := c.store.List(context.Background(), journal.KindHead, "")
	assert.NilError(t, err)
	for _, h := range heads {
		r.headBytes = max(r.headBytes, len(h.Data))
	}
	r.bytesPerOrder = float64(c.writtenBytes.Load()) / orders
	r.meanTraffic, r.peakTraffic = c.traffic.perSecond(len(c.nodes), l.duration())
	return r
}

// TestBoundOrdersStayWithinWriteAndTrafficLimits guards against orders that cost too
// many store writes or too much control traffic. The loads go up to the target of
// 9,800 requests per second. Store writes are limited while one request in ten is
// an order, mean control traffic while one in twenty is.
func TestBoundOrdersStayWithinWriteAndTrafficLimits(t *testing.T) {
	for _, l := range []load{
		{8, 10, productSettings(), false},
		{8, 98, productSettings(), false},
		{8, 490, productSettings(), false},
		{8, 980, productSettings(), false},
		{320, 98, productSettings(), true},
		{320, 196, productSettings(), true},
		{320, 490, productSettings(), true},
		{320, 980, productSettings(), false},
	} {
		t.Run(fmt.Sprintf("%d instances, %d orders per second", l.instances, l.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := runLoad(t, l)
				stored := r.bytesPerOrder * float64(l.perSecond) / float64(l.instances)
				t.Logf("share %.1f %%: %.0f writes/s, %.0f writes per 1,000 orders, claim p50 %v p99 %v, largest head %d B, stored %.0f B per order, calls between control processes mean %.0f B/s, peak %.0f B/s, with store mean %.0f B/s",
					100*float64(l.perSecond)/targetRequestsPerSecond, r.writesPerSecond, r.writesPer1000, r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.headBytes, r.bytesPerOrder, r.meanTraffic, r.peakTraffic, r.meanTraffic+stored)
				assert.Assert(t, r.writesPerSecond <= maxStoreWritesPerSecond, "%.0f writes/s", r.writesPerSecond)
				if l.checkControlTraffic {
					assert.Assert(t, r.meanTraffic+stored <= maxControlBytesPerSecond, "mean control traffic %.0f B/s", r.meanTraffic+stored)
				}
			})
		})
	}
}
