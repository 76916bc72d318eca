// Package approvalfile encodes and decodes approvals and signatures as JSON, and the files with
// trusted keys and private keys as INI.
package approvalfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

// MaxSignatures is the largest number of signatures on an approval.
const MaxSignatures = 64

// wireSignature is the JSON form of a signature.
type wireSignature struct {
	Operator approval.Operator `json:"operator"`
	Value    []byte            `json:"value"`
}

// wireApproval is the JSON form of an approval.
type wireApproval struct {
	Deployment       string            `json:"deployment"`
	Generation       bundle.Generation `json:"generation"`
	Manifest         bundle.Hash       `json:"manifest"`
	Action           approval.Action   `json:"action"`
	FallbackTo       bundle.Generation `json:"fallback_to,omitempty"`
	Previous         bundle.Hash       `json:"previous"`
	Operator         approval.Operator `json:"operator"`
	ApprovedAtMillis int64             `json:"approved_at_ms"`
	Nonce            string            `json:"nonce"`
	Signatures       []wireSignature   `json:"signatures"`
	Seal             []byte            `json:"seal"`
}

// EncodeApproval returns the JSON form of an approval. Equal approvals have equal bytes.
func EncodeApproval(a approval.Approval) ([]byte, error) {
	wire := wireApproval{
		Deployment: a.Deployment, Generation: a.Generation, Manifest: a.Manifest,
		Action: a.Action, FallbackTo: a.FallbackTo, Previous: a.Previous,
		Operator: a.Operator, ApprovedAtMillis: a.ApprovedAt.UnixMilli(), Nonce: a.Nonce, Seal: a.Seal,
	}
	for _, s := range a.Signatures {
		wire.Signatures = append(wire.Signatures, wireSignature(s))
	}
	return json.MarshalIndent(wire, "", "  ")
}

// DecodeApproval returns the approval in data. It does not verify the signatures. Unknown fields
// and data after the JSON value are errors.
func DecodeApproval(data []byte) (approval.Approval, error) {
	var wire wireApproval
	if err := decodeStrict(data, &wire); err != nil {
		return approval.Approval{}, fmt.Errorf("decode approval: %w", err)
	}
	if len(wire.Signatures) > MaxSignatures {
		return approval.Approval{}, fmt.Errorf("approval has %d signatures, more than the limit of %d", len(wire.Signatures), MaxSignatures)
	}
	a := approval.Approval{
		Deployment: wire.Deployment, Generation: wire.Generation, Manifest: wire.Manifest,
		Action: wire.Action, FallbackTo: wire.FallbackTo, Previous: wire.Previous,
		Operator: wire.Operator, ApprovedAt: time.UnixMilli(wire.ApprovedAtMillis), Nonce: wire.Nonce, Seal: wire.Seal,
	}
	for _, s := range wire.Signatures {
		a.Signatures = append(a.Signatures, approval.Signature(s))
	}
	return a, nil
}

// EncodeSignature returns the JSON form of a signature.
func EncodeSignature(s approval.Signature) ([]byte, error) { return json.Marshal(wireSignature(s)) }

// DecodeSignature returns the signature in data. It does not verify the signature. Unknown fields
// and data after the JSON value are errors.
func DecodeSignature(data []byte) (approval.Signature, error) {
	var wire wireSignature
	if err := decodeStrict(data, &wire); err != nil {
		return approval.Signature{}, fmt.Errorf("decode signature: %w", err)
	}
	return approval.Signature(wire), nil
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return fmt.Errorf("data has more than one JSON value")
	}
	return nil
}
