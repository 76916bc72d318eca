// Package bundlefile reads and writes bundles: the INI files that operators
// edit, and the content-addressed sections that the store and the processes hold.
//
// Parse turns files into a bundle. Encode splits a bundle into sections and a
// manifest. Decode puts a bundle together again. The sections hold INI text in a
// canonical order, so that equal bundles have equal hashes however the
// operators lay out their files.
package bundlefile

import "savoryweir/internal/state/object"

// Limits of the input.
const (
	// MaxFileBytes is the size of the largest file or section that is read.
	MaxFileBytes = object.MaxSizeBytes
	// MaxSections is the largest number of sections in a manifest.
	MaxSections = 4096
)

// The kinds of INI sections. The kind is followed by the name, as in [model NAME].
const (
	kindDeployment = "deployment"
	kindService    = "service"
	kindUpstream   = "upstream"
	kindModel      = "model"
	kindAdapter    = "adapter"
)

// The keys of INI sections.
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
