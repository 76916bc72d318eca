package signoff

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// signingKey returns the key of an operator, derived from the first letter of the name.
func signingKey(name approval.Operator) approval.Key {
	seed := bytes.Repeat([]byte{name[0]}, ed25519.SeedSize)
	return approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(seed)}
}

// twoOfThree returns a policy that requires the signatures of two of three operators.
func twoOfThree() approval.Policy {
	policy := approval.Policy{Deployment: "kalyvas", Required: 2, Keys: make(map[approval.Operator]ed25519.PublicKey)}
	for _, name := range []approval.Operator{"anna", "babis", "chara"} {
		policy.Keys[name] = signingKey(name).Private.Public().(ed25519.PublicKey)
	}
	return policy
}

var content = bundle.HashOf([]byte("content"))

// sealedApproval returns a valid approval: two operators signed the content, a third one
// sealed the approval.
func sealedApproval() approval.Approval {
	return Seal(signingKey("chara"), approval.Approval{
		Deployment: "kalyvas", Generation: 4, Manifest: content, Action: approval.ActionApprove,
		ApprovedAt: time.UnixMilli(1000), Nonce: "n",
		Signatures: []approval.Signature{
			SignContent(signingKey("anna"), "kalyvas", content),
			SignContent(signingKey("babis"), "kalyvas", content),
		},
	})
}

func TestVerifyApprovalAcceptsValidApproval(t *testing.T) {
	assert.NilError(t, VerifyApproval(twoOfThree(), sealedApproval()))
}

func TestVerifyApprovalRejectsInvalidApproval(t *testing.T) {
	tests := []struct {
		name   string
		change func(*approval.Approval)
		want   string
	}{
		{"no signature", func(a *approval.Approval) { a.Signatures = nil }, "0 valid signatures of 2 required"},
		{"one signature", func(a *approval.Approval) { a.Signatures = a.Signatures[:1] }, "1 valid signatures of 2 required"},
		{"one operator twice", func(a *approval.Approval) { a.Signatures[1] = a.Signatures[0] }, "1 valid signatures of 2 required"},
		{"unknown operator", func(a *approval.Approval) { a.Signatures[1] = SignContent(signingKey("zoe"), "kalyvas", content) }, `"zoe" is not trusted`},
		{"signature under another name", func(a *approval.Approval) {
			a.Signatures[1] = approval.Signature{Operator: "babis", Value: a.Signatures[0].Value}
		},
			`the signature of "babis" is not valid`},
		{"signature of other content", func(a *approval.Approval) {
			a.Signatures[1] = SignContent(signingKey("babis"), "kalyvas", bundle.HashOf([]byte("other")))
		}, "not valid for this content"},
		{"signature for other deployment", func(a *approval.Approval) { a.Signatures[1] = SignContent(signingKey("babis"), "magnolia", content) }, "not valid"},
		{"short signature", func(a *approval.Approval) { a.Signatures[1].Value = []byte{1} }, "not valid"},
		{"replayed as a later generation", func(a *approval.Approval) { a.Generation = 9 }, `seal of "chara" on generation 9 is not valid`},
		{"other predecessor", func(a *approval.Approval) { a.Previous = content }, "seal"},
		{"seal of an untrusted operator", func(a *approval.Approval) { *a = Seal(signingKey("zoe"), *a) }, "who is not trusted"},
		{"other deployment", func(a *approval.Approval) { a.Deployment = "magnolia" }, "for deployment"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := sealedApproval()
			test.change(&a)
			assert.ErrorContains(t, VerifyApproval(twoOfThree(), a), test.want)
		})
	}
}

// A policy that requires no signature must not let unsigned bundles come into force.
func TestPolicyWithoutRequiredSignaturesRejectsEveryApproval(t *testing.T) {
	policy := twoOfThree()
	policy.Required = 0
	var insufficient *InsufficientSignaturesError
	assert.Assert(t, errors.As(VerifyApproval(policy, sealedApproval()), &insufficient))
}
