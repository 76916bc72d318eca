// Package approval defines who may approve bundles and the record of an approval.
package approval

import (
	"crypto/ed25519"
	"time"

	"savoryweir/internal/state/bundle"
)

// Operator is the name of a person who may sign bundles.
type Operator string

// Policy tells whose signatures bring a bundle into force.
type Policy struct {
	Deployment string
	// Required is the number of operators who must have signed the content.
	Required int
	Keys     map[Operator]ed25519.PublicKey
}

// Key is the private key of an operator.
type Key struct {
	Operator Operator
	Private  ed25519.PrivateKey
}

// Signature is an operator's signature of a bundle's content.
type Signature struct {
	Operator Operator
	Value    []byte
}

// Action tells how a generation came about.
type Action string

// The actions.
const (
	ActionApprove  Action = "approve"
	ActionFallback Action = "fallback"
)

// Approval is the record that brings one generation into force.
type Approval struct {
	Deployment string
	Generation bundle.Generation
	Manifest   bundle.Hash
	Action     Action
	// FallbackTo is the generation whose content is taken again, zero unless Action is ActionFallback.
	FallbackTo bundle.Generation
	// Previous is the hash of the approval of the generation before, zero for the first.
	Previous   bundle.Hash
	Operator   Operator // who approved
	ApprovedAt time.Time
	// Nonce identifies the attempt, so that its writer recognises it after a lost answer.
	Nonce      string
	Signatures []Signature
	// Seal is the approving operator's signature of all fields but Signatures.
	Seal []byte
}
