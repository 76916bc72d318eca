// Package soak runs real savoryweir-node processes against stand-ins of the store and
// of upstreams, disturbs them from outside by a random plan, and checks from what
// callers and upstreams see that the system keeps its promises. One seed gives one
// plan; the processes run in real time, so that a run is not repeated exactly.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/operator"
	"savoryweir/internal/standin/upstream"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

const (
	plainService  = "desk"
	engineService = "tagger"
	models        = 7
	adapters      = 3
	extraRoutes   = 4
	places        = 3 // models that fit into an engine
	modelMB       = 1000
	weightsMB     = places*modelMB + 500
	heartbeat     = 500 * time.Millisecond
	loadTime      = 600 * time.Millisecond
	diskTime      = 150 * time.Millisecond
	adapterMB     = 20
	adapterSlots  = 4
	routeTarget   = 200 * time.Millisecond
	routeGap      = 300 * time.Millisecond
	loadsPerS     = 4
	plainSlots    = 16
	engineSlots   = 32
	plainWork     = 12 * time.Millisecond
	eventWork     = 15 * time.Millisecond
)

// Options describe a run.
type Options struct {
	Seed      uint64
	Program   string        // savoryweir-node
	Former    string        // an earlier build of it, beside which it serves; empty for none
	Folder    string        // for settings and logs
	Faulted   time.Duration // length of the part with faults
	Faults    int
	Instances int
	Engines   int
	Plain     int
	Callers   int
	// Versions has engines replaced by ones of other versions, and callers lose their connections
	// in the middle of streams.
	Versions bool
	// NewVersionDelay is the instances' setting. Without a delay, streams begin at all versions at once.
	NewVersionDelay time.Duration
	// Unframed is the share of upstreams' answers that have neither a length nor chunks.
	Unframed float64
	// Malformed is the share of runs that upstreams answer by a response that violates HTTP.
	Malformed float64
	// Parts has callers share parts of prompts, and requests with one of them crash engines.
	Parts bool
	// Limits has engines name limits of requests per second.
	Limits bool
	// Brittle has all engines be brittle.
	Brittle bool
	// Leavers has callers leave in bursts while instances are slow.
	Leavers bool
	// Cuts has instances cut off from all upstreams.
	Cuts     bool
	Progress func(format string, arguments ...any)
}

// DefaultOptions are those of a usual run.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed: seed, Faulted: 12 * time.Second, Faults: 14, Instances: 4, Engines: 4, Plain: 3, Callers: 12,
		Progress: func(string, ...any) {},
	}
}

// ReleaseOptions are those of a run in which engines of several versions serve side by side.
func ReleaseOptions(seed uint64) Options {
	o := DefaultOptions(seed)
	o.Versions, o.Engines = true, 6
	return o
}

// Report is what a run showed.
type Report struct {
	Plan       []Fault
	Requests   int
	Served     int
	Violations []Violation
	// Stalls is how often the machine gave the soak no processor time for a while. Promises
	// with a time bound are not judged around these moments.
	Stalls  int
	Streams streamCounts
	Parts   partCounts
}

// configuration is one version that the operator has sent.
type configuration struct {
	prefixes           []string
	sent, acknowledged time.Time
}

// cluster is everything that runs.
type cluster struct {
	options      Options
	ledger       *ledger
	disturbances *disturbances
	store        *objectapi.Memory
	server       *httptest.Server
	instances    []*instance
	cuts         *instanceCuts
	leaving      atomic.Bool // callers leave

	mu             sync.Mutex // guards all below
	upstreams      []*station // those that have replaced others stand in their places
	replaced       []*station
	releases       int
	configurations []configuration
	extras         [extraRoutes]bool
	idleTimeout    time.Duration
	routeTimeout   time.Duration
	left           map[string]time.Time // when upstreams began to leave, by identifier
}

// station is an upstream with its proxy, the address of which changes with each start.
type station struct {
	*upstream.Upstream
	cuts    *instanceCuts
	retired atomic.Bool // does not come back once it has left
	mu      sync.Mutex
	link    *Proxy
}

func (s *station) via(address string) (string, error) {
	p, err := newProxy("127.0.0.1:0", address, s.cuts)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		_ = s.link.Close()
	}
	s.link = p
	return p.Address(), nil
}

func (s *station) proxy() *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

// Run plays one seed.
func Run(o Options) (Report, error) {
	d := &disturbances{}
	c := &cluster{options: o, ledger: newLedger(d), disturbances: d, store: objectapi.New(time.Now, objectapi.Limits{}), cuts: newInstanceCuts(), left: make(map[string]time.Time), idleTimeout: usualIdle, routeTimeout: callerDeadline}
	c.server = httptest.NewServer(objectapi.Handler(c.store))
	defer c.server.Close()
	stop := make(chan struct{})
	go c.disturbances.watchStalls(stop)
	var traffic sync.WaitGroup
	defer c.stopInstances()
	if err := errors.Join(c.startUpstreams(stop), c.configure(), c.startInstances(stop), c.awaitReady()); err != nil {
		close(stop)
		return Report{}, err
	}
	for n := range o.Callers {
		traffic.Go(func() { newCaller(c, n).run(stop) })
	}
	c.ledger.began = time.Now()
	plan := AddRestore(NewPlan(o.Seed, o.Faults, o.Faulted), o.Seed, o.Faulted)
	if o.Versions {
		plan = AddReleases(plan, o.Seed, o.Faulted)
	}
	if o.Parts {
		plan = AddCrashingPart(plan, o.Seed, o.Faulted)
	}
	if o.Limits {
		plan = AddNamedLimits(plan, o.Seed, o.Faulted)
	}
	if o.Brittle {
		plan = AddBrittleness(plan, o.Seed, o.Faulted)
	}
	if o.Leavers {
		plan = AddLeavers(plan, o.Seed, o.Faulted, o.Instances)
	}
	if o.Former != "" {
		plan = AddReplacements(plan, o.Instances, o.Faulted)
	}
	if o.Cuts {
		plan = AddInstanceCuts(plan, o.Seed, o.Faulted)
	}
	c.play(plan, stop)
	lifted := time.Now()
	pauses := NewPauses(o.Seed)
	c.play(pauses, stop)
	time.Sleep(time.Until(lifted.Add(recoveryBound + recoveryLook)))
	close(stop)
	traffic.Wait()
	c.judge(lifted)
	report := Report{Plan: slices.Concat(plan, pauses), Violations: c.ledger.found(), Stalls: c.disturbances.stallCount()}
	requests, runs, _ := c.ledger.all()
	report.Streams = c.countStreams(requests)
	report.Parts = c.countParts(requests, runs)
	for _, s := range requests {
		report.Requests++
		if s.served {
			report.Served++
		}
	}
	return report, nil
}

const (
	// recoveryLook is how long requests are counted once service must be back.
	recoveryLook = 2 * time.Second
	startBound   = 15 * time.Second
)

func (c *cluster) startUpstreams(stop <-chan struct{}) error {
	for n := range c.options.Engines {
		s, err := c.startEngine(fmt.Sprintf("e%d", n), n, firstVersion, stop)
		if err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, s)
	}
	for n := c.options.Engines; n < c.options.Engines+c.options.Plain; n++ {
		s, err := c.startUpstream(upstream.Config{Name: fmt.Sprintf("p%d", n), Service: plainService, Slots: plainSlots, Work: plainWork}, n, stop)
		if err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, s)
	}
	return nil
}

// startEngine starts an engine that holds two models, which its number tells.
func (c *cluster) startEngine(name string, number int, version string, stop <-chan struct{}) (*station, error) {
	held := []string{fmt.Sprintf("m%d", 2*number%models), fmt.Sprintf("m%d", (2*number+1)%models)}
	return c.startUpstream(upstream.Config{
		Name: name, Service: engineService, Version: version, Slots: engineSlots, Work: eventWork, Models: held, Places: places, LoadTime: loadTime,
		CrashingPart: crashingPart, RestartTime: engineRestart,
	}, number, stop)
}

func (c *cluster) startUpstream(config upstream.Config, number int, stop <-chan struct{}) (*station, error) {
	s := &station{cuts: c.cuts}
	config.Zone, config.UnframedShare, config.MalformedShare = fmt.Sprintf("z%d", number%zones), c.options.Unframed, c.options.Malformed
	s.Upstream = upstream.New(config, c.store, c.ledger, c.options.Seed+uint64(number), s.via)
	if err := s.Start(); err != nil {
		return nil, err
	}
	go s.beat(stop)
	return s, nil
}

// station returns the upstream that is the target of a fault.
func (c *cluster) station(target int) *station {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams[target%len(c.upstreams)]
}

// stations returns all upstreams, those that have been replaced too.
func (c *cluster) stations() []*station {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.upstreams, c.replaced)
}

// beat writes the entry at each heartbeat.
func (s *station) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Register()
		case <-stop:
			return
		}
	}
}

func (c *cluster) startInstances(stop <-chan struct{}) error {
	first, _ := c.options.builds()
	for n := range c.options.Instances {
		i, err := newInstance(n, first, c.server.Listener.Addr().String(), c.options, c.ledger, c.disturbances)
		if err != nil {
			return err
		}
		c.instances = append(c.instances, i)
		c.cuts.processes[n] = i.pid
		if err := i.start(); err != nil {
			return err
		}
		go i.watchReady(stop)
	}
	return nil
}

func (c *cluster) stopInstances() {
	for _, i := range c.instances {
		i.close()
	}
	for _, s := range c.stations() {
		s.Crash()
		_ = s.proxy().Close()
	}
}

var errNotReady = errors.New("the instances did not become ready")

func (c *cluster) awaitReady() error {
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(pollEvery) {
		ready := 0
		for _, i := range c.instances {
			if i.takesCallers() {
				ready++
			}
		}
		if ready == len(c.instances) {
			return nil
		}
	}
	return errNotReady
}

// configure sends the next version of the configuration to the store.
func (c *cluster) configure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := configuration{prefixes: []string{"/book/", "/status/", "/tag/", "/notes/"}, sent: time.Now()}
	for n, present := range c.extras {
		if present {
			next.prefixes = append(next.prefixes, fmt.Sprintf("/extra%d/", n))
		}
	}
	data, err := c.document(next.prefixes).Encode()
	if err != nil {
		return err
	}
	ctx := context.Background()
	if len(c.configurations) == 0 {
		_, err = c.store.Create(ctx, platform.KindConfig, platform.NameConfig, data)
	} else {
		var old object.Object
		if old, err = c.store.Get(ctx, platform.KindConfig, platform.NameConfig); err == nil {
			_, err = c.store.Update(ctx, platform.KindConfig, old.Name, data, old.Version)
		}
	}
	next.acknowledged = time.Now()
	if err != nil && !errors.Is(err, object.ErrOutcomeUnknown) {
		return err // a store that is away takes no configuration
	}
	c.configurations = append(c.configurations, next)
	return nil
}

func (c *cluster) history() []configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configurations
}

func (c *cluster) departures() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// document is the next configuration as the operator writes it.
func (c *cluster) document(prefixes []string) operator.Document {
	d := operator.Document{Version: 10 + 3*len(c.configurations), IdleTimeout: c.idleTimeout}
	for _, prefix := range prefixes {
		r := routeOf(prefix)
		r.Timeout = c.routeTimeout
		d.Routes = append(d.Routes, r)
	}
	engines := operator.Engines{Service: engineService, WeightsMB: weightsMB, AdapterSlots: adapterSlots, LoadsPerS: loadsPerS}
	for m := range models {
		engines.Models = append(engines.Models, operator.Model{
			Name: fmt.Sprintf("m%d", m), WeightsMB: modelMB, Load: loadTime, FromDisk: diskTime, Adapters: adapters, AdapterMB: adapterMB,
		})
	}
	d.Plain, d.Engines = []string{plainService}, []operator.Engines{engines}
	return d
}

// routeOf returns the route of a prefix; the routes that come and go are safe ones.
func routeOf(prefix string) operator.Route {
	r := operator.Route{Prefix: prefix, Host: host, Kind: "safe", Service: plainService, Attempts: 2, Target: routeTarget}
	switch prefix {
	case "/book/":
		r.Kind, r.Attempts = "unsafe", 1
	case "/tag/":
		r.Kind, r.Service, r.Resumable, r.Gap = "stream", engineService, true, routeGap
	case "/notes/":
		r.Kind, r.Service, r.Gap = "stream", engineService, routeGap
	}
	return r
}
