// Package signoff signs bundles and approvals and decides whether the
// signatures suffice.
//
// Two statements are signed. A content signature covers the deployment and the
// manifest hash, so it stays valid when the same content comes into force again by a
// fallback. A seal covers one approval with its generation and predecessor, so that a
// recorded approval cannot be replayed as a later generation.
package signoff

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// The first line of each signed statement keeps one kind from passing for the other.
const (
	contentStatement = "savoryweir bundle content v1"
	sealStatement    = "savoryweir bundle approval v1"
)

// InsufficientSignaturesError lists why an approval does not bring a bundle into force.
type InsufficientSignaturesError struct {
	Valid, Required int // counts of content signatures
	Reasons         []string
}

// Error implements the error interface.
func (e *InsufficientSignaturesError) Error() string {
	text := fmt.Sprintf("the bundle has %d valid signatures of %d required", e.Valid, e.Required)
	if len(e.Reasons) > 0 {
		text += ": " + strings.Join(e.Reasons, "; ")
	}
	return text
}

func contentMessage(deployment string, manifest bundle.Hash) []byte {
	return fmt.Appendf(nil, "%s\n%q\n%s\n", contentStatement, deployment, manifest)
}

func sealMessage(a approval.Approval) []byte {
	return fmt.Appendf(nil, "%s\n%q\n%d\n%s\n%q\n%d\n%s\n%q\n%d\n%q\n",
		sealStatement, a.Deployment, a.Generation, a.Manifest, a.Action, a.FallbackTo,
		a.Previous, a.Operator, a.ApprovedAt.UnixMilli(), a.Nonce)
}

// SignContent signs the content of a bundle.
func SignContent(key approval.Key, deployment string, manifest bundle.Hash) approval.Signature {
	return approval.Signature{
		Operator: key.Operator,
		Value:    ed25519.Sign(key.Private, contentMessage(deployment, manifest)),
	}
}

// Seal sets the approving operator and signs the approval.
func Seal(key approval.Key, a approval.Approval) approval.Approval {
	a.Operator = key.Operator
	a.Seal = ed25519.Sign(key.Private, sealMessage(a))
	return a
}

// VerifyContent returns a *RefusedError unless enough operators have signed the content.
func VerifyContent(policy approval.Policy, manifest bundle.Hash, signatures []approval.Signature) error {
	valid := make(map[approval.Operator]bool)
	var reasons []string
	for _, s := range signatures {
		public, known := policy.Keys[s.Operator]
		switch {
		case !known:
			reasons = append(reasons, fmt.Sprintf("operator %q is not trusted", s.Operator))
		case !verify(public, contentMessage(policy.Deployment, manifest), s.Value):
			reasons = append(reasons, fmt.Sprintf("the signature of %q is not valid for this content", s.Operator))
		default:
			valid[s.Operator] = true
		}
	}
	if policy.Required < 1 || len(valid) < policy.Required {
		return &InsufficientSignaturesError{Valid: len(valid), Required: policy.Required, Reasons: reasons}
	}
	return nil
}

// VerifyApproval returns an error unless the approval is sealed by a trusted operator
// and its content is signed by enough of them.
func VerifyApproval(policy approval.Policy, a approval.Approval) error {
	if a.Deployment != policy.Deployment {
		return fmt.Errorf("the approval is for deployment %q, not %q", a.Deployment, policy.Deployment)
	}
	if a.Generation == 0 {
		return fmt.Errorf("the approval has no generation")
	}
	if err := VerifyContent(policy, a.Manifest, a.Signatures); err != nil {
		return err
	}
	public, known := policy.Keys[a.Operator]
	if !known {
		return fmt.Errorf("generation %d was approved by %q, who is not trusted", a.Generation, a.Operator)
	}
	if !verify(public, sealMessage(a), a.Seal) {
		return fmt.Errorf("the seal of %q on generation %d is not valid", a.Operator, a.Generation)
	}
	return nil
}

// verify is ed25519.Verify for keys of any length.
func verify(public ed25519.PublicKey, message, signature []byte) bool {
	return len(public) == ed25519.PublicKeySize && ed25519.Verify(public, message, signature)
}
