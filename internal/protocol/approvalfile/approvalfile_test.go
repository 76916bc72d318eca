package approvalfile

import (
	"bytes"
	"crypto/ed25519"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

func newKey(name approval.Operator) approval.Key {
	return approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{name[0]}, ed25519.SeedSize))}
}

func TestDecodeApprovalReturnsEncodedApproval(t *testing.T) {
	a := approval.Approval{
		Deployment: "kalyvas", Generation: 3, Manifest: bundle.HashOf([]byte("m")), Action: approval.ActionFallback,
		FallbackTo: 1, Previous: bundle.HashOf([]byte("p")), Operator: "anna", ApprovedAt: time.UnixMilli(5), Nonce: "n",
		Signatures: []approval.Signature{{Operator: "anna", Value: []byte{1}}}, Seal: []byte{2},
	}
	data, err := EncodeApproval(a)
	assert.NilError(t, err)
	decoded, err := DecodeApproval(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, a)
	_, err = DecodeApproval(append(data, '{'))
	assert.ErrorContains(t, err, "data has more than one JSON value")
}

func TestDecodeKeyReturnsEncodedKey(t *testing.T) {
	decoded, err := DecodeKey(EncodeKey(newKey("anna")))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, newKey("anna"))
	_, err = DecodeKey([]byte("[private-key]\noperator = anna\nseed = AAAA\n"))
	assert.ErrorContains(t, err, "the value is not the base64 text of 32 bytes")
}

func TestDecodePolicyReadsAllOperators(t *testing.T) {
	text := "[policy]\ndeployment = kalyvas\nrequired-signatures = 2\n" + string(EncodeTrustedKey(newKey("anna"))) + string(EncodeTrustedKey(newKey("babis")))
	policy, err := DecodePolicy("trusted.ini", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, policy.Required, 2)
	assert.Equal(t, len(policy.Keys), 2)
}

func TestDecodePolicyReportsAllFaults(t *testing.T) {
	sameKey := bytes.Replace(EncodeTrustedKey(newKey("anna")), []byte("anna"), []byte("babis"), 1)
	text := "[policy]\nrequired-signatures = 9\nkeys = 1\n" + string(EncodeTrustedKey(newKey("anna"))) + string(sameKey) +
		"[operator Zoe]\n[operator chara]\npublic-key = x\n[more]\n"
	_, err := DecodePolicy("trusted.ini", []byte(text))
	for _, want := range []string{
		"trusted.ini: [policy] keys: the key is unknown",
		"trusted.ini: [policy] deployment: the name of the deployment is missing",
		"trusted.ini: [operator babis] public-key: operator anna has the same key",
		`trusted.ini: [operator Zoe] "Zoe" is not an operator name`,
		"trusted.ini: [operator chara] public-key: the value is not the base64 text of 32 bytes",
		"trusted.ini: [more] the section is unknown",
		"trusted.ini: [policy] required-signatures: 9 signatures are required, but the file lists only 2 operators",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func FuzzDecodeApproval(f *testing.F) {
	f.Add([]byte(`{"generation":1,"manifest":"00","signatures":[{"operator":"a","value":"AQ=="}]}`))
	f.Add([]byte(`{"seal":null,"approved_at_ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeApproval(data)
		if err != nil {
			return
		}
		_, err = EncodeApproval(a)
		assert.NilError(t, err)
	})
}

func FuzzDecodePolicy(f *testing.F) {
	f.Add([]byte("[policy]\ndeployment = d\nrequired-signatures = 1\n[operator a]\npublic-key = AAAA\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodePolicy("f", data)
		_, _ = DecodeKey(data)
	})
}
