package approvalfile

import (
	"fmt"
	"strings"

	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Kinds of the objects in the platform's store.
const (
	// KindSection is the kind of sections and manifests. Their names are their hashes, and they
	// never change.
	KindSection object.Kind = "bundle-sections"
	// KindSignature is the kind of signatures of a manifest. Their names consist of the hash of
	// the manifest and the operator.
	KindSignature object.Kind = "bundle-signatures"
	// KindPointer is the kind of the approval of the latest generation, which is named PointerName.
	KindPointer object.Kind = "bundle-pointer"
	// KindHistory is the kind of the approvals of earlier generations. They never change.
	KindHistory object.Kind = "bundle-history"
)

// PointerName is the name of the only object of KindPointer.
const PointerName object.Name = "current"

// SectionName returns the name of the object that holds a section or a manifest.
func SectionName(hash bundle.Hash) object.Name { return object.Name(hash.String()) }

// SignaturePrefix returns the prefix of the names of all signatures of a manifest.
func SignaturePrefix(manifest bundle.Hash) string { return manifest.String() + "." }

// SignatureName returns the name of the object that holds an operator's signature of a manifest.
func SignatureName(manifest bundle.Hash, operator approval.Operator) object.Name {
	return object.Name(SignaturePrefix(manifest) + string(operator))
}

// SignedManifest returns the hash of the manifest from the name of a signature. It returns false
// if the name is not the name of a signature.
func SignedManifest(name object.Name) (bundle.Hash, bool) {
	manifest, _, ok := strings.Cut(string(name), ".")
	if !ok {
		return bundle.Hash{}, false
	}
	hash, err := bundle.ParseHash(manifest)
	return hash, err == nil
}

// HistoryName returns the name of the object that holds the approval of a generation. The number
// has leading zeros, so that the names sort by generation.
func HistoryName(generation bundle.Generation) object.Name {
	return object.Name(fmt.Sprintf("%020d", generation))
}

// HistoryPageSize is the number of generations in a page. Their names share a prefix.
const HistoryPageSize = 100

// HistoryPrefix returns the prefix of the names of all generations in the page of the given one.
func HistoryPrefix(generation bundle.Generation) string {
	return strings.TrimSuffix(string(HistoryName(generation/HistoryPageSize*HistoryPageSize)), "00")
}
