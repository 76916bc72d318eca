// Package approval defines which operators may approve bundles, and the record of an approval.
package approval

import (
	"crypto/ed25519"
	"time"

	"savoryweir/internal/state/bundle"
)

// Operator is the name of a person who may sign bundles.
type Operator string

// Policy defines whose signatures, and how many of them, activate a bundle.
type Policy struct {
	Deployment string
	// Required is the minimum number of operators who must sign the content of a bundle.
	Required int
	Keys     map[Operator]ed25519.PublicKey
}

// Key is the private key of an operator.
type Key struct {
	Operator Operator
	Private  ed25519.PrivateKey
}

// Signature is an operator's signature over the content of a bundle.
type Signature struct {
	Operator Operator
	Value    []byte
}

// Action is the kind of operation that created a generation.
type Action string

// The actions.
const (
	ActionApprove  Action = "approve"
	ActionFallback Action = "fallback"
)

// Approval is the record that activates one generation.
type Approval struct {
	Deployment string
	Generation bundle.Generation
	Manifest   bundle.Hash
	Action     Action
	// FallbackTo is the generation whose content is activated again. It is zero unless
	// Action is ActionFallback.
	FallbackTo bundle.Generation
	// Previous is the hash of the approval of the preceding generation. It is zero for the first.
	Previous   bundle.Hash
	Operator   Operator // operator who approved
	ApprovedAt time.Time
	// Nonce identifies the attempt, so that its writer recognizes its own approval after a
	// lost response.
	Nonce      string
	Signatures []Signature
	// Seal is the approving operator's signature over all fields except Signatures.
	Seal []byte
}
