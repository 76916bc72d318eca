package approvalfile

import (
	"fmt"
	"strings"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// The kinds of objects in the platform's store.
const (
	// KindSection holds sections and manifests, named by their hash. They never change.
	KindSection object.Kind = "bundle-sections"
	// KindSignature holds content signatures, named by manifest and operator.
	KindSignature object.Kind = "bundle-signatures"
	// KindPointer holds the approval of the latest generation under PointerName.
	KindPointer object.Kind = "bundle-pointer"
	// KindHistory holds the approvals of earlier generations. They never change.
	KindHistory object.Kind = "bundle-history"
)

// PointerName names the only object of KindPointer.
const PointerName object.Name = "current"

// SectionName returns the name of a section's object.
func SectionName(hash bundle.Hash) object.Name { return object.Name(hash.String()) }

// SignaturePrefix returns the start of the names of all signatures of a manifest.
func SignaturePrefix(manifest bundle.Hash) string { return manifest.String() + "." }

// SignatureName returns the name of an operator's signature of a manifest.
func SignatureName(manifest bundle.Hash, operator approval.Operator) object.Name {
	return object.Name(SignaturePrefix(manifest) + string(operator))
}

// SignedManifest returns the manifest that a signature's name tells.
func SignedManifest(name object.Name) (bundle.Hash, bool) {
	manifest, _, ok := strings.Cut(string(name), ".")
	if !ok {
		return bundle.Hash{}, false
	}
	hash, err := bundle.ParseHash(manifest)
	return hash, err == nil
}

// HistoryName returns the name of a generation's approval. Names sort by generation.
func HistoryName(generation bundle.Generation) object.Name {
	return object.Name(fmt.Sprintf("%020d", generation))
}

// HistoryPage is the number of generations whose names share a prefix.
const HistoryPage = 100

// HistoryPrefix returns the start of the names of the generations in the page of one.
func HistoryPrefix(generation bundle.Generation) string {
	return strings.TrimSuffix(string(HistoryName(generation/HistoryPage*HistoryPage)), "00")
}
