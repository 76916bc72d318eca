package bundles

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/activebundle"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/timeline"
)

// offerCapacity is the number of offered heads that may wait for their roll-out.
const offerCapacity = 256

// offer is a head together with a source that holds its data. The source may be nil.
type offer struct {
	head   bundle.Head
	source SectionSource
}

// Manager holds the bundle in force and replaces it with newer generations. Its methods are safe for concurrent use.
type Manager struct {
	settings Settings
	options  Options
	log      zerolog.Logger
	metrics  metrics
	store    storeSource
	offers   *queue.Queue[offer]

	lastReadPolicy *approval.Policy // policy at the last read of the pointer, used only by followPointer

	mu              sync.Mutex // guards the fields below
	state           activebundle.State
	current         *InForce
	previous        *InForce
	changed         chan struct{} // closed and replaced when current changes
	watching        bool
	watchingChanged chan struct{} // closed and replaced when watching changes
	peersAnsweredCh chan struct{} // closed when a peer has answered after the start
	peersAnswered   bool
	fetcher         PeerFetcher
}

// New returns a manager without a bundle. Run starts it.
func New(o Options) *Manager {
	return &Manager{
		settings:        o.Settings,
		options:         o,
		log:             o.Logger,
		metrics:         newMetrics(o.Metrics),
		store:           storeSource{store: o.Store},
		offers:          queue.New[offer](offerCapacity),
		changed:         make(chan struct{}),
		watchingChanged: make(chan struct{}),
		peersAnsweredCh: make(chan struct{}),
	}
}

// Run follows the pointer and rolls out offered heads until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.followPointer(ctx) })
	group.Go(func() error { return m.runRollouts(ctx) })
	return group.Wait()
}

// Current returns the bundle in force, or nil if there is none yet.
func (m *Manager) Current() *InForce {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Head returns the head in force, or the zero value if there is none yet.
func (m *Manager) Head() bundle.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Head()
}

// Changed returns a channel that is closed at the next change of the bundle in force.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Offer queues a head received from a peer or read from the store, if it is newer than
// the one in force. The source holds the data of the head and may be nil. Offer never
// blocks; it drops the head if the queue is full.
func (m *Manager) Offer(head bundle.Head, source SectionSource) {
	if head.Generation == 0 {
		return
	}
	m.mu.Lock()
	verdict := m.state.Compare(head)
	m.mu.Unlock()
	m.metrics.heads.WithLabelValues(string(verdict)).Inc()
	if verdict == activebundle.Conflicting {
		m.log.Error().Uint64("generation", uint64(head.Generation)).Msg("Generation offered with other content than the generation in force.")
	}
	if verdict != activebundle.Newer {
		return
	}
	if !m.offers.Offer(offer{head: head, source: source}) {
		m.metrics.dropped.Inc()
	}
}

// OnPeersAnswered ends the wait for peers at the start. It is called when a peer has
// answered, so that the heads of peers are known.
func (m *Manager) OnPeersAnswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.peersAnswered {
		m.peersAnswered = true
		close(m.peersAnsweredCh)
	}
}

// SetWatching sets whether this instance is one of the few that watch the pointer. The
// others only poll it.
func (m *Manager) SetWatching(watching bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching != watching {
		m.watching = watching
		close(m.watchingChanged)
		m.watchingChanged = make(chan struct{})
	}
}

// watchState reports whether this instance watches the pointer and returns a channel
// that is closed when this changes.
func (m *Manager) watchState() (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching, m.watchingChanged
}

// Section returns the section with the given hash and reports whether this process
// holds it.
func (m *Manager) Section(hash bundle.Hash) (bundlefile.Section, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.heldData()[hash]
	return bundlefile.Section{Hash: hash, Data: data}, ok
}

// heldData returns the data of the current and the previous bundle by hash. The caller
// must hold m.mu.
func (m *Manager) heldData() bundlefile.Sections {
	heldData := make(bundlefile.Sections)
	for _, f := range []*InForce{m.previous, m.current} {
		if f == nil {
			continue
		}
		heldData[f.Approval.Hash] = f.Approval.Data
		for _, s := range f.All() {
			heldData[s.Hash] = s.Data
		}
	}
	return heldData
}

// putInForce makes a verified bundle the one in force. It returns false if the same or
// a higher generation has come into force in the meantime.
func (m *Manager) putInForce(next *InForce) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Advance(next.Head) != activebundle.Newer {
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
