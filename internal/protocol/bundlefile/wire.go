package bundlefile

import (
	"fmt"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
)

// HeadToWire returns the message of a bundle head. It returns nil for the zero head.
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

// HeadFromWire returns the bundle head in a message. It returns the zero head if the message is
// nil.
func HeadFromWire(message *savoryweirv1.BundleHead) (bundle.Head, error) {
	if message == nil {
		return bundle.Head{}, nil
	}
	manifest, err := bundle.HashFromBytes(message.GetManifestHash())
	if err != nil {
		return bundle.Head{}, fmt.Errorf("manifest hash of bundle head: %w", err)
	}
	approval, err := bundle.HashFromBytes(message.GetApprovalHash())
	if err != nil {
		return bundle.Head{}, fmt.Errorf("approval hash of bundle head: %w", err)
	}
	return bundle.Head{
		Generation: bundle.Generation(message.GetGeneration()),
		Manifest:   manifest,
		Approval:   approval,
	}, nil
}

// SectionsToWire returns the messages of sections.
func SectionsToWire(sections []Section) []*savoryweirv1.Section {
	messages := make([]*savoryweirv1.Section, 0, len(sections))
	for _, s := range sections {
		messages = append(messages, &savoryweirv1.Section{Hash: s.Hash[:], Data: s.Data})
	}
	return messages
}

// SectionsFromWire returns the sections in messages. It returns an error if the data of a section
// does not match its hash.
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
