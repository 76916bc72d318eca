// Package bundlefile encodes and decodes bundles, both as the INI files that operators edit and as
// the content-addressed sections that the store and the processes hold.
//
// Parse reads a bundle from INI files. Encode splits a bundle into sections and a manifest. Decode
// assembles the bundle from them. The sections hold INI text in a canonical order, so that equal
// bundles have equal hashes however the operators lay out their files.
package bundlefile

import "savoryweir/internal/state/object"

// Limits of encoded and decoded data.
const (
	// MaxFileBytes is the largest size of a file or section.
	MaxFileBytes = object.MaxSizeBytes
	// MaxSections is the largest number of sections in a manifest.
	MaxSections = 4096
)

// Kinds of INI sections. All but the deployment have a name after the kind, as in [model NAME].
const (
	kindDeployment = "deployment"
	kindService    = "service"
	kindUpstream   = "upstream"
	kindModel      = "model"
	kindAdapter    = "adapter"
)

// Keys of INI sections.
const (
	keyName         = "name"
	keyZones        = "zones"
	keyKind         = "kind"
	keyDeadline     = "deadline"
	keyOrderPaths   = "order-paths"
	keyService      = "service"
	keyAddress      = "address"
	keyZone         = "zone"
	keyMemory       = "memory-mib"
	keyAccelerators = "accelerators"
	keyBatch        = "batch"
	keyChecksFence  = "checks-fence"
	keyVersion      = "version"
	keyMinReplicas  = "min-replicas"
	keyModel        = "model"
)
