package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/bench/soak"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// links are the paths of one instance to all upstreams, which can be cut.
type links struct {
	refuses atomic.Bool // new connections are refused
	hangs   atomic.Bool // new connections are not established

	mu      sync.Mutex
	proxies map[string]*soak.Proxy // by address of the upstream
}

// dial connects to an upstream through the proxy for its address.
func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case l.refuses.Load():
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case l.hangs.Load():
		ctx, cancel := context.WithTimeout(ctx, upstreamconn.DialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.ErrDeadlineExceeded}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proxies[address]
	if p == nil {
		var err error
		if p, err = soak.NewProxy("127.0.0.1:0", address); err != nil {
			return nil, err
		}
		l.proxies[address] = p
	}
	return net.Dial("tcp4", p.Address())
}

func (l *links) each(do func(*soak.Proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies {
		do(p)
	}
}

// cuts are the ways in which an instance is cut off from all upstreams.
var cuts = map[string]func(*links){
	"connections live on, new ones are refused": func(l *links) { l.refuses.Store(true) },
	"connections are reset":                     func(l *links) { l.refuses.Store(true); l.each((*soak.Proxy).Reset) },
	"connections hang": func(l *links) {
		l.hangs.Store(true)
		l.each(func(p *soak.Proxy) { p.Set(soak.Link{HoldToServer: true, HoldToClient: true}) })
	},
}

// heal lifts any cut.
func (l *links) heal() {
	l.refuses.Store(false)
	l.hangs.Store(false)
	l.each(func(p *soak.Proxy) { p.Set(soak.Link{}) })
}

// partitionConfig has a route of each kind.
func partitionConfig() string {
	var routes []string
	for _, kind := range []string{"unsafe", "safe", "stream"} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s/","kind":%q,"resumable":%v,"timeoutMs":3000,"targetLatencyMs":300,"gapAimMs":300,"service":"s","maxAttempts":2}`, kind, kind, kind, kind == "stream"))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"s","healthPath":"/h","maxConns":99}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, strings.Join(routes, ","))
}

// partitionFleet is a fleet whose instances can be cut off from the upstreams.
type partitionFleet struct {
	cluster   *cluster
	instances []*instance
	links     []*links

	mu   sync.Mutex
	runs map[string]int // by request
}

// serve runs a request on an upstream.
func (f *partitionFleet) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		respondSealed(w, r)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, streamEvents)
}

const streamEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func startPartitionFleet(t *testing.T, count int) *partitionFleet {
	t.Helper()
	f := &partitionFleet{runs: make(map[string]int)}
	f.cluster = startCluster(t, f.serve)
	for _, id := range []string{"u2", "u3"} {
		server := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(server.Close)
		f.cluster.put(t, platform.KindUpstreams, object.Name(id), fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","born":1}`, server.Listener.Addr().String()))
	}
	f.cluster.put(t, platform.KindConfig, platform.NameConfig, partitionConfig())
	for n := range count {
		l := &links{proxies: make(map[string]*soak.Proxy)}
		f.links = append(f.links, l)
		f.instances = append(f.instances, f.cluster.startInstanceWith(t, fmt.Sprintf("i%d", n), func(n *Node) { n.pool.Dial = l.dial }))
	}
	t.Cleanup(func() { stopInstances(t, f.instances) })
	for _, i := range f.instances {
		eventually(t, "all instances and upstreams known", func() bool {
			return i.node.mesh.AlivePeerCount(time.Now(), time.Second) == count-1 && i.node.readinessError() == nil && len(i.node.registry.View().ByService("s")) == 3
		})
	}
	return f
}

// attempt is the first attempt of a request at an instance.
type attempt struct {
	instance int
	id, kind string
	sentAt   time.Time
	took     time.Duration
	status   int
	isWhole  bool
}

// load sends each instance perSecond requests of all kinds for a time.
func (f *partitionFleet) load(t *testing.T, perSecond float64, length time.Duration) []attempt {
	t.Helper()
	var mu sync.Mutex
	var all []attempt
	var group sync.WaitGroup
	for n := range f.instances {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 3))
			for k, end := 0, time.Now().Add(length); time.Now().Before(end); k++ {
				kind := []string{"unsafe", "safe", "stream"}[random.IntN(3)]
				group.Go(func() {
					a := f.send(n, kind, fmt.Sprintf("i%d/%d/%d", n, k, length))
					mu.Lock()
					defer mu.Unlock()
					all = append(all, a)
				})
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	group.Wait()
	return all
}

// send sends one request to an instance.
func (f *partitionFleet) send(n int, kind, id string) attempt {
	a := attempt{instance: n, id: id, kind: kind, sentAt: time.Now()}
	r, _ := http.NewRequest(http.MethodPost, "http://"+f.instances[n].callersAddress+"/"+kind+"/1", strings.NewReader("x"))
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status = response.StatusCode
		a.isWhole = readErr == nil && (string(body) == "ran" || string(body) == streamEvents)
	}
	a.took = time.Since(a.sentAt)
	return a
}

// checkTruth checks that requests which run once ran once at most, and what was said not to have run did not.
func (f *partitionFleet) checkTruth(t *testing.T, all []attempt) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		runs := f.runs[a.id]
		if a.kind == "unsafe" {
			assert.Check(t, runs <= 1, "request %s ran %d times", a.id, runs)
			assert.Check(t, a.status != http.StatusServiceUnavailable || runs == 0, "request %s got 503 and ran", a.id)
		}
		assert.Check(t, a.status != http.StatusOK || a.isWhole && runs > 0, "request %s got an incomplete success", a.id)
	}
}

// served returns how many of the attempts that were sent to some instances since a time were served, and how many there are.
func served(all []attempt, since time.Time, instances ...int) (count, of int) {
	for _, a := range all {
		if a.sentAt.Before(since) || !slices.Contains(instances, a.instance) {
			continue
		}
		of++
		if a.status == http.StatusOK && a.isWhole {
			count++
		}
	}
	return count, of
}

// Two of four instances reach no upstream, which the platform and the other instances do not see.
func TestInstancesCutOffFromUpstreamsServeCallersThroughOthers(t *testing.T) {
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := startPartitionFleet(t, 4)
			f.load(t, 20, time.Second)
			cut(f.links[1])
			cut(f.links[2])
			cutAt := time.Now()
			all := f.load(t, 20, 8*time.Second)
			f.checkTruth(t, all)
			atCut, ofCut := served(all, cutAt.Add(stableTime), 1, 2)
			elsewhere, ofElsewhere := served(all, cutAt.Add(stableTime), 0, 3)
			t.Logf("%d of %d served where all upstreams are out of reach, %d of %d at the others", atCut, ofCut, elsewhere, ofElsewhere)
			assert.Check(t, 3*atCut*ofElsewhere >= 2*elsewhere*ofCut, "served less than two thirds as often")
			assert.Check(t, ofCut-atCut <= 10+(ofCut+ofElsewhere)/50, "%d first attempts failed", ofCut-atCut)
			assert.Check(t, elsewhere >= ofElsewhere*9/10, "the others suffer")
			f.links[1].heal()
			f.links[2].heal()
			healedAt := time.Now()
			all = f.load(t, 20, 4*time.Second)
			f.checkTruth(t, all)
			again, of := served(all, healedAt.Add(2*time.Second), 0, 1, 2, 3)
			assert.Check(t, again >= of*9/10, "%d of %d served after the cut", again, of)
		})
	}
}

// stableTime is the time after which the platform expects callers to be served in spite of a cut.
const stableTime = 3 * time.Second

// A holder that reaches no engine can give no orders, so that models were not loaded while it was cut off.
func TestInstanceThatIsCutOffReleasesLease(t *testing.T) {
	f := startPartitionFleet(t, 3)
	holder := -1
	eventually(t, "an instance that holds the lease", func() bool {
		holder = slices.IndexFunc(f.instances, func(i *instance) bool { return i.node.leaseManager.HoldsLease() })
		return holder >= 0
	})
	cuts["connections are reset"](f.links[holder])
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				f.send(holder, "safe", fmt.Sprintf("i%d/lease/%d", holder, n))
			}
		}
	}()
	eventually(t, "another instance that holds the lease", func() bool {
		return slices.ContainsFunc(f.instances, func(i *instance) bool { return i != f.instances[holder] && i.node.leaseManager.HoldsLease() })
	})
	assert.Check(t, !f.instances[holder].node.leaseManager.HoldsLease())
}
