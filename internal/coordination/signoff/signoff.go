// Package signoff signs bundles and approvals and verifies that an approval has enough
// signatures.
//
// There are two kinds of signed messages. A content signature covers the deployment and
// the manifest hash, so it stays valid when a fallback brings the same content into force
// again. A seal covers one approval with its generation and predecessor, so that a
// recorded approval cannot be replayed as a later generation.
package signoff

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// The first line of a signed message separates the two kinds, so that a signature of one
// kind is never valid for the other.
const (
	contentHeader = "savoryweir bundle content v1"
	sealHeader    = "savoryweir bundle approval v1"
)

// InsufficientSignaturesError reports that the content of a bundle has too few valid
// signatures to come into force.
type InsufficientSignaturesError struct {
	Valid, Required int      // numbers of operators with valid content signatures, present and required
	Reasons         []string // why signatures were rejected
}

// Error implements the error interface.
func (e *InsufficientSignaturesError) Error() string {
	text := fmt.Sprintf("the bundle has %d valid signatures of %d required", e.Valid, e.Required)
	if len(e.Reasons) > 0 {
		text += ": " + strings.Join(e.Reasons, "; ")
	}
	return text
}

// contentMessage returns the message that a content signature covers.
func contentMessage(deployment string, manifest bundle.Hash) []byte {
	return fmt.Appendf(nil, "%s\n%q\n%s\n", contentHeader, deployment, manifest)
}

// sealMessage returns the message that the seal of the approval covers.
func sealMessage(a approval.Approval) []byte {
	return fmt.Appendf(nil, "%s\n%q\n%d\n%s\n%q\n%d\n%s\n%q\n%d\n%q\n",
		sealHeader, a.Deployment, a.Generation, a.Manifest, a.Action, a.FallbackTo,
		a.Previous, a.Operator, a.ApprovedAt.UnixMilli(), a.Nonce)
}

// SignContent signs the content of a bundle for one deployment.
func SignContent(key approval.Key, deployment string, manifest bundle.Hash) approval.Signature {
	return approval.Signature{
		Operator: key.Operator,
		Value:    ed25519.Sign(key.Private, contentMessage(deployment, manifest)),
	}
}

// Seal returns the approval with the owner of the key as its operator, and with the seal
// made by that key.
func Seal(key approval.Key, a approval.Approval) approval.Approval {
	a.Operator = key.Operator
	a.Seal = ed25519.Sign(key.Private, sealMessage(a))
	return a
}

// VerifyContent returns an *InsufficientSignaturesError unless enough trusted operators
// have signed the content. Several signatures of one operator count once. A policy that
// requires no signature is never satisfied.
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

// VerifyApproval returns an error unless the approval is for the deployment of the policy,
// is sealed by a trusted operator, and has content signatures of enough trusted operators.
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

// verify reports whether the signature is valid. Unlike ed25519.Verify it returns false
// for a key of the wrong length and does not panic.
func verify(public ed25519.PublicKey, message, signature []byte) bool {
	return len(public) == ed25519.PublicKeySize && ed25519.Verify(public, message, signature)
}
