package bundles

import (
	"context"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
)

// PeerFetcher fetches sections from peers.
type PeerFetcher interface {
	// FetchSectionsFrom returns the sections with the given hashes that the peer has.
	FetchSectionsFrom(ctx context.Context, from member.Member, hashes []bundle.Hash) ([]bundlefile.Section, error)
}

// peerSource is a SectionSource that fetches from one peer.
type peerSource struct {
	peer    member.Member
	fetcher PeerFetcher
}

// Peer implements SectionSource.
func (s peerSource) Peer() errs.Peer { return errs.Peer(s.peer.ID) }

// FetchSections implements SectionSource.
func (s peerSource) FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	return s.fetcher.FetchSectionsFrom(ctx, s.peer, hashes)
}

// SetPeerFetcher sets the client for fetching sections from peers. It must be called
// before Run.
func (m *Manager) SetPeerFetcher(fetcher PeerFetcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetcher = fetcher
}

// OfferHead offers a head that the given peer has in force, with the peer as the source
// of its data. It never blocks.
func (m *Manager) OfferHead(head bundle.Head, from member.Member) {
	m.mu.Lock()
	fetcher := m.fetcher
	m.mu.Unlock()
	if fetcher == nil {
		m.Offer(head, nil)
		return
	}
	m.Offer(head, peerSource{peer: from, fetcher: fetcher})
}
