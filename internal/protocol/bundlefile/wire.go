package bundlefile

import (
	"fmt"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
)

// HeadToWire converts a head for a message to a peer. The zero head becomes nil.
func HeadToWire(head bundle.Head) *savoryweirv1.BundleHead {
	if head.Generation == 0 {
		return nil
	}
	return &savoryweirv1.BundleHead{
		Generation:   uint64(head.Generation),
		ManifestHash: head.Manifest[:],
		ApprovalHash: head.Approval[:],
	}
}

// HeadFromWire converts a received head. Nil becomes the zero head.
func HeadFromWire(message *savoryweirv1.BundleHead) (bundle.Head, error) {
	if message == nil {
		return bundle.Head{}, nil
	}
	manifest, err := bundle.HashFromBytes(message.GetManifestHash())
	if err != nil {
		return bundle.Head{}, fmt.Errorf("manifest of bundle head: %w", err)
	}
	approval, err := bundle.HashFromBytes(message.GetApprovalHash())
	if err != nil {
		return bundle.Head{}, fmt.Errorf("approval of bundle head: %w", err)
	}
	return bundle.Head{
		Generation: bundle.Generation(message.GetGeneration()),
		Manifest:   manifest,
		Approval:   approval,
	}, nil
}

// SectionsToWire converts sections for a message.
func SectionsToWire(sections []Section) []*savoryweirv1.Section {
	messages := make([]*savoryweirv1.Section, 0, len(sections))
	for _, s := range sections {
		messages = append(messages, &savoryweirv1.Section{Hash: s.Hash[:], Data: s.Data})
	}
	return messages
}

// SectionsFromWire converts received sections. A section that does not match its hash is an error.
func SectionsFromWire(messages []*savoryweirv1.Section) ([]Section, error) {
	sections := make([]Section, 0, len(messages))
	for _, m := range messages {
		section := NewSection(m.GetData())
		if string(section.Hash[:]) != string(m.GetHash()) {
			return nil, fmt.Errorf("received section does not match its hash %x", m.GetHash())
		}
		sections = append(sections, section)
	}
	return sections, nil
}
