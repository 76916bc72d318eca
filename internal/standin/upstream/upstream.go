// Package upstream is a stand-in for the platform's upstreams: plain services and
// model engines that register in the store, run requests, take orders and fail on
// command. It writes what it runs into a journal, from which promises are checked.
package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// Run is one request that an upstream began to work on.
type Run struct {
	Request     string // its identifier
	Upstream    string // identifier of the incarnation
	Version     string // of the upstream's software
	Service     string
	Fingerprint string // of method, path and body
	Began       time.Time
}

// Order is one order that reached an engine.
type Order struct {
	Upstream string
	Holder   string
	Fence    uint64
	At       time.Time
}

// Journal takes what upstreams see. It is safe for concurrent use.
type Journal interface {
	Ran(Run)
	// Stopped tells that an upstream has stopped working on a run.
	Stopped(Run)
	// Wrote tells that a run is about to write an event of its stream.
	Wrote(r Run, event int)
	// Serving tells that an incarnation begins to take requests, or no longer does because it
	// has ended or is leaving.
	Serving(upstream, version string, serving bool)
	// Crashed tells that a run is about to crash its upstream by a part of its prompt.
	Crashed(Run)
	Ordered(Order)
	// Arrived tells that a request reached an upstream, with the limit that its answer names; zero if
	// it names none.
	Arrived(request, upstream string, limit float64)
	// Fell tells that a brittle upstream has fallen over, as it had to reject these requests within a
	// second.
	Fell(upstream string, rejected []string)
	// Overloaded tells that an engine was ordered to hold more than fits.
	Overloaded(upstream string)
}

// Store is the part of the platform's store that upstreams write to.
type Store interface {
	object.Reader
	object.Writer
}

// Config describes an upstream.
type Config struct {
	Name    string // first part of its identifiers; each start has one of its own
	Service string
	Zone    string
	Version string // of the software that the first incarnation runs; empty for plain services
	Slots   int
	Work    time.Duration // of a plain request, and between two events of a stream
	Models  []string      // resident at the first start; empty for plain services
	// Places is how many models fit into memory; zero for plain services.
	Places   int
	LoadTime time.Duration
	// UnframedShare is the share of answers that have neither a length nor chunks and end with
	// their connection.
	UnframedShare float64
	// MalformedShare is the share of runs that are answered by a response that violates HTTP.
	MalformedShare float64
	// CrashingPart is the ID of a part of prompts. An engine that begins to write an answer to a
	// prompt that holds it, other than as the last part, crashes and is away for RestartTime.
	CrashingPart string
	RestartTime  time.Duration
}

// Faults are the failures that an upstream shows.
type Faults struct {
	FailShare float64 // of requests that run and are answered with 500
	LoseShare float64 // of requests that run and whose answer is lost
	LateShare float64 // of orders that get no answer and are carried out after OrderDelay
}

// OrderDelay is how late an order without an answer is carried out.
const OrderDelay = 700 * time.Millisecond

// Upstream is one stand-in. It is safe for concurrent use.
type Upstream struct {
	config  Config
	store   Store
	journal Journal
	via     func(address string) (string, error) // address that the entry tells

	writing sync.Mutex // held while the entry is written

	mu       sync.Mutex // guards all below
	random   *rand.Rand
	framing  *rand.Rand // apart, so that the other draws of a seed stay the same
	up       bool
	starts   int
	release  string // version of the software that the next incarnation runs
	id       string
	version  string
	address  string
	born     time.Time
	draining bool
	faults   Faults
	brittle  brittleness
	rejected []rejection // for want of room, while it is brittle
	limit    float64     // requests per second that it takes from all callers; zero for any
	running  int
	orders   uint64
	busy     bool
	models   []resident
	onDisk   []string
	server   *http.Server
	cancel   context.CancelFunc // ends the requests that run

	malformed *rand.Rand // apart, as framing
}

type resident struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// New returns an upstream that is not running. via turns the address on which it
// listens into the one that it tells in the store.
func New(c Config, store Store, journal Journal, seed uint64, via func(address string) (string, error)) *Upstream {
	return &Upstream{
		config: c, store: store, journal: journal, via: via, random: rand.New(rand.NewPCG(seed, 1)), framing: rand.New(rand.NewPCG(seed, 2)),
		malformed: rand.New(rand.NewPCG(seed, 3)),
		release:   c.Version, onDisk: c.Models,
	}
}

// Start begins an incarnation. An engine holds its first models at its first start
// and nothing at later ones.
func (u *Upstream) Start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address, err := u.via(listener.Addr().String())
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.up {
		return listener.Close() // it was started again meanwhile
	}
	u.up = true
	u.starts++
	u.id, u.address, u.born = fmt.Sprintf("%s-%d", u.config.Name, u.starts), address, time.Now()
	u.version = u.release
	u.draining, u.running, u.orders, u.busy, u.models = false, 0, 0, false, nil
	if u.starts == 1 {
		for _, m := range u.config.Models {
			u.models = append(u.models, resident{Name: m, Version: 1})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.server = &http.Server{Handler: u.handler(u.id, u.version), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func(s *http.Server) { _ = s.Serve(listener) }(u.server)
	u.journal.Serving(u.id, u.version, true)
	u.register()
	return nil
}

// Crash ends the incarnation at once and sends nothing more. Its entry stays until
// it is removed with Lapse. It reports false if the upstream was not running.
func (u *Upstream) Crash() bool { return u.crash(func() {}) }

// crash calls announce before it ends an incarnation that runs.
func (u *Upstream) crash(announce func()) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return false
	}
	announce()
	u.up = false
	u.journal.Serving(u.id, u.version, false)
	u.cancel()
	_ = u.server.Close() // closes all connections whatever it reports
	return true
}

// Drain tells that the upstream is leaving. It goes on serving until it is crashed.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
	u.journal.Serving(u.id, u.version, false)
	u.register()
}

// Release sets the version of the software that later incarnations run.
func (u *Upstream) Release(version string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.release = version
}

// IsUp reports whether an incarnation runs.
func (u *Upstream) IsUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up
}

// Lapse removes the entry, as the store does for upstreams that are silent.
func (u *Upstream) Lapse() {
	u.writing.Lock()
	defer u.writing.Unlock()
	if o, err := u.store.Get(context.Background(), platform.KindUpstreams, object.Name(u.ID())); err == nil {
		_ = u.store.Delete(context.Background(), platform.KindUpstreams, o.Name, o.Version)
	}
}

// Register writes the entry, as an upstream does at each heartbeat.
func (u *Upstream) Register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.register()
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// brittleness is how much a brittle upstream takes.
type brittleness struct {
	endures int // rejections in a second for want of room; zero if it is not brittle
	slots   int
}

type rejection struct {
	request string
	at      time.Time
}

// brittleLead is how long an upstream has said that it is brittle before it has less room and may fall over.
const brittleLead = 3 * time.Second

// SetBrittle has the upstream say that it endures so many rejections in a second, and later run fewer
// requests at a time. It then falls over when it has to reject more. Zero ends that.
func (u *Upstream) SetBrittle(endures, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.brittle, u.rejected = brittleness{endures: endures}, nil
	if endures > 0 {
		time.AfterFunc(brittleLead, func() { u.loseRoom(endures, slots) })
	}
}

func (u *Upstream) loseRoom(endures, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.brittle.endures == endures {
		u.brittle.slots = slots
	}
}

// SetLimit sets the requests per second that the upstream names in its answers as the most that it
// takes. Zero ends the limit.
func (u *Upstream) SetLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
}

// ID returns the identifier of the present incarnation.
func (u *Upstream) ID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

type entry struct {
	Service string     `json:"service"`
	Address string     `json:"address"`
	Zone    string     `json:"zone"`
	Version string     `json:"version,omitempty"`
	Slots   int        `json:"slots"`
	State   string     `json:"state"`
	Born    int64      `json:"born"`
	Models  []resident `json:"models"`
	AtHand  atHand     `json:"atHand"`
}

type atHand struct {
	InMemory []string `json:"inMemory"`
	OnDisk   []string `json:"onDisk"`
}

// register writes the entry in the background: a store that is slow holds up nobody.
// While it is away the next heartbeat makes up for it. The caller holds u.mu.
func (u *Upstream) register() {
	if u.up {
		go u.writeEntry(u.id)
	}
}

// writeEntry writes the present state of an incarnation, unless it has ended.
func (u *Upstream) writeEntry(id string) {
	u.writing.Lock()
	defer u.writing.Unlock()
	u.mu.Lock()
	data, err := json.Marshal(entry{
		Service: u.config.Service, Address: u.address, Zone: u.config.Zone, Version: u.version, Slots: u.config.Slots,
		State: u.state(), Born: u.born.UnixMilli(), Models: u.models, AtHand: atHand{OnDisk: u.onDisk},
	})
	current := u.up && u.id == id
	u.mu.Unlock()
	if err != nil {
		panic(err) // the types above can be encoded
	}
	if !current {
		return
	}
	ctx := context.Background()
	old, err := u.store.Get(ctx, platform.KindUpstreams, object.Name(id))
	if errors.Is(err, object.ErrNotFound) {
		_, _ = u.store.Create(ctx, platform.KindUpstreams, object.Name(id), data)
		return
	}
	if err == nil {
		_, _ = u.store.Update(ctx, platform.KindUpstreams, old.Name, data, old.Version)
	}
}

func (u *Upstream) state() string {
	if u.draining {
		return "draining"
	}
	return "ready"
}
