package fleet

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/bundlestore"
)

const deployment = "fleet"

// Approver brings bundles into force in the name of one operator.
type Approver struct{ key approval.Key }

// NewApprover returns an approver with a new key.
func NewApprover() (*Approver, error) {
	_, private, err := ed25519.GenerateKey(nil)
	return &Approver{key: approval.Key{Operator: "anna", Private: private}}, err
}

// Approve stores a bundle and moves the pointer to it.
func (a *Approver) Approve(ctx context.Context, objects object.Store, b *bundle.Bundle) (bundle.Head, error) {
	encoded, err := bundlefile.Encode(b)
	if err != nil {
		return bundle.Head{}, err
	}
	store := bundlestore.New(objects)
	current, err := store.Pointer(ctx)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return bundle.Head{}, err
	}
	if err := store.PutSections(ctx, append(encoded.Sections, encoded.Manifest)); err != nil {
		return bundle.Head{}, err
	}
	next := signoff.Seal(a.key, approval.Approval{
		Deployment: deployment,
		Generation: current.Approval.Generation + 1,
		Manifest:   encoded.Manifest.Hash,
		Action:     approval.ActionApprove,
		Previous:   current.Hash,
		Operator:   a.key.Operator,
		ApprovedAt: time.Now(),
		Nonce:      uuid.NewString(),
		Signatures: []approval.Signature{signoff.SignContent(a.key, deployment, encoded.Manifest.Hash)},
	})
	if err := store.AdvancePointer(ctx, current, next); err != nil {
		return bundle.Head{}, err
	}
	return bundle.Head{Generation: next.Generation, Manifest: next.Manifest}, nil
}

// Memory of an engine and a model of the measured bundles, in MiB.
const (
	engineMemory bundle.MiB = 640 * 1024
	modelMemory  bundle.MiB = 16 * 1024
)

// Bundle returns a bundle with the given numbers of engines and models. Version
// names the content, so that bundles of different versions differ in one model.
func Bundle(engines, models, version int) *bundle.Bundle {
	b := &bundle.Bundle{
		Deployment: deployment,
		Zones:      []bundle.Zone{"zone-0", "zone-1", "zone-2"},
		Services:   []bundle.Service{{Name: "tagger", Kind: bundle.KindGeneration, Deadline: 10 * time.Second}},
	}
	for i := range engines {
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			ID:      bundle.UpstreamID(fmt.Sprintf("engine-%04d", i)),
			Service: "tagger",
			Address: fmt.Sprintf("127.0.%d.%d:9000", 1+i/250, 1+i%250),
			Zone:    b.Zones[i%len(b.Zones)],
			Memory:  engineMemory, Accelerators: 8, ChecksFence: true,
		})
	}
	for i := range models {
		b.Models = append(b.Models, bundle.Model{
			ID: bundle.ModelID(fmt.Sprintf("model-%04d", i)), Service: "tagger", Version: "1", Memory: modelMemory, MinReplicas: 1,
		})
	}
	b.Models[version%models].Version = fmt.Sprintf("1.%d", version)
	return b
}
