package bundles

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/force"
	"savoryweir/internal/state/timeline"
)

// offerCapacity is the number of heads that may wait to be judged.
const offerCapacity = 256

// offer is a head that was heard of, with one who holds its data.
type offer struct {
	head   bundle.Head
	source SectionSource
}

// Manager keeps the bundle in force. Its methods are safe for concurrent use.
type Manager struct {
	settings Settings
	options  Options
	log      zerolog.Logger
	metrics  metrics
	store    storeSource
	offers   *queue.Queue[offer]

	readUnder *approval.Policy // of the last read of the pointer, owned by followPointer

	mu          sync.Mutex // guards all below
	state       force.State
	current     *InForce
	previous    *InForce
	changed     chan struct{} // closed and replaced when current changes
	watching    bool
	rewatch     chan struct{} // closed and replaced when watching changes
	peersHeard  chan struct{} // closed when peers have answered
	peersClosed bool
	fetcher     PeerFetcher
}

// New returns a manager without a bundle. Run starts it.
func New(o Options) *Manager {
	return &Manager{
		settings:   o.Settings,
		options:    o,
		log:        o.Logger,
		metrics:    newMetrics(o.Metrics),
		store:      storeSource{store: o.Store},
		offers:     queue.New[offer](offerCapacity),
		changed:    make(chan struct{}),
		rewatch:    make(chan struct{}),
		peersHeard: make(chan struct{}),
	}
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.followPointer(ctx) })
	group.Go(func() error { return m.adopt(ctx) })
	return group.Wait()
}

// Current returns the bundle in force, or nil if there is none yet.
func (m *Manager) Current() *InForce {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Head returns the head in force, zero if there is none yet.
func (m *Manager) Head() bundle.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head()
}

// Changed returns a channel that is closed when the bundle in force changes next.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Offer takes a head heard from a peer or read from the store. Source holds its data
// and may be nil. It never blocks.
func (m *Manager) Offer(head bundle.Head, source SectionSource) {
	if head.Generation == 0 {
		return
	}
	m.mu.Lock()
	verdict := m.state.Judge(head)
	m.mu.Unlock()
	m.metrics.heads.WithLabelValues(string(verdict)).Inc()
	if verdict == force.Conflicting {
		m.log.Error().Uint64("generation", uint64(head.Generation)).Msg("Generation heard with another content.")
	}
	if verdict != force.Newer {
		return
	}
	if !m.offers.Offer(offer{head: head, source: source}) {
		m.metrics.dropped.Inc()
	}
}

// OnPeersAnswered tells that peers have answered after the start, so that their heads are known.
func (m *Manager) OnPeersAnswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.peersClosed {
		m.peersClosed = true
		close(m.peersHeard)
	}
}

// SetWatching tells whether this instance is one of the few that watch the pointer.
func (m *Manager) SetWatching(watching bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching != watching {
		m.watching = watching
		close(m.rewatch)
		m.rewatch = make(chan struct{})
	}
}

func (m *Manager) watchState() (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching, m.rewatch
}

// Section returns one section that this process holds.
func (m *Manager) Section(hash bundle.Hash) (bundlefile.Section, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.held()[hash]
	return bundlefile.Section{Hash: hash, Data: data}, ok
}

// held returns all data by hash. The caller holds m.mu.
func (m *Manager) held() bundlefile.Sections {
	held := make(bundlefile.Sections)
	for _, f := range []*InForce{m.previous, m.current} {
		if f == nil {
			continue
		}
		held[f.Approval.Hash] = f.Approval.Data
		for _, s := range f.All() {
			held[s.Hash] = s.Data
		}
	}
	return held
}

// putInForce moves forward to a verified bundle. It reports false if another
// generation, at least as high, came into force meanwhile.
func (m *Manager) putInForce(next *InForce) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Advance(next.Head) != force.Newer {
		return false
	}
	m.previous, m.current = m.current, next
	m.metrics.generation.Set(float64(next.Head.Generation))
	m.record(timeline.KindBundleInForce, next.Head, "")
	close(m.changed)
	m.changed = make(chan struct{})
	return true
}

func (m *Manager) record(kind timeline.Kind, head bundle.Head, note string) {
	if m.options.Recorder != nil {
		m.options.Recorder.Record(timeline.Event{Kind: kind, Generation: uint64(head.Generation), Note: note})
	}
}
