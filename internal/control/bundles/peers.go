package bundles

import (
	"context"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
)

// PeerFetcher asks a peer for sections.
type PeerFetcher interface {
	FetchSectionsFrom(ctx context.Context, from member.Member, hashes []bundle.Hash) ([]bundlefile.Section, error)
}

// peerSource fetches sections from one peer.
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

// SetPeerFetcher sets how peers are asked. It is called before Run.
func (m *Manager) SetPeerFetcher(fetcher PeerFetcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetcher = fetcher
}

// OfferHead takes a head that a peer has in force. It never blocks.
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
