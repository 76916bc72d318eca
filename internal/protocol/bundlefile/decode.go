package bundlefile

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
)

// Entry describes one section in a manifest.
type Entry struct {
	Name      string
	Hash      bundle.Hash
	SizeBytes int
}

// Sections maps the hashes of sections to their data. It may hold manifests too.
type Sections map[bundle.Hash][]byte

// MissingError reports the sections that are missing to assemble a bundle.
type MissingError struct{ Hashes []bundle.Hash }

// Error implements the error interface.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%d sections are missing, the first is %s", len(e.Hashes), e.Hashes[0])
}

// DecodeManifest returns the entries of a manifest.
func DecodeManifest(data []byte) ([]Entry, error) {
	var manifest savoryweirv1.Manifest
	if err := proto.Unmarshal(data, &manifest); err != nil {
		return nil, fmt.Errorf("decode manifest: %w", err)
	}
	if n := len(manifest.GetEntries()); n == 0 || n > MaxSections {
		return nil, fmt.Errorf("manifest has %d sections; expected 1 to %d", n, MaxSections)
	}
	entries := make([]Entry, 0, len(manifest.GetEntries()))
	for _, e := range manifest.GetEntries() {
		hash, err := bundle.HashFromBytes(e.GetHash())
		if err != nil {
			return nil, fmt.Errorf("manifest entry %q: %w", e.GetName(), err)
		}
		if e.GetSizeBytes() > MaxFileBytes {
			return nil, fmt.Errorf("manifest entry %q has a size of %d bytes, more than the limit of %d", e.GetName(), e.GetSizeBytes(), MaxFileBytes)
		}
		entries = append(entries, Entry{Name: e.GetName(), Hash: hash, SizeBytes: int(e.GetSizeBytes())})
	}
	return entries, nil
}

// Missing returns the hashes of the entries whose data is not in sections, without duplicates.
func Missing(entries []Entry, sections Sections) []bundle.Hash {
	var missing []bundle.Hash
	seen := make(map[bundle.Hash]bool)
	for _, e := range entries {
		if _, ok := sections[e.Hash]; ok || seen[e.Hash] {
			continue
		}
		seen[e.Hash] = true
		missing = append(missing, e.Hash)
	}
	return missing
}

// Decode assembles the bundle whose manifest has the given hash. It returns a *MissingError if
// the manifest or one of its sections is not in sections, and a *bundle.FaultsError if their
// content is not a valid bundle. It ignores sections that are not in the manifest.
func Decode(manifest bundle.Hash, sections Sections) (*bundle.Bundle, error) {
	data, ok := sections[manifest]
	if !ok {
		return nil, &MissingError{Hashes: []bundle.Hash{manifest}}
	}
	if bundle.HashOf(data) != manifest {
		return nil, fmt.Errorf("manifest %s does not match its hash", manifest)
	}
	entries, err := DecodeManifest(data)
	if err != nil {
		return nil, err
	}
	if missing := Missing(entries, sections); len(missing) > 0 {
		return nil, &MissingError{Hashes: missing}
	}
	files, err := verifiedFiles(entries, sections)
	if err != nil {
		return nil, err
	}
	b, _, faults := Parse(files)
	if err := bundle.JoinFaults(faults); err != nil {
		return nil, err
	}
	return b, nil
}

func verifiedFiles(entries []Entry, sections Sections) ([]File, error) {
	files := make([]File, 0, len(entries))
	for _, e := range entries {
		data := sections[e.Hash]
		if bundle.HashOf(data) != e.Hash {
			return nil, fmt.Errorf("section %s does not match its hash %s", e.Name, e.Hash)
		}
		if len(data) != e.SizeBytes {
			return nil, fmt.Errorf("section %s has %d bytes, but the manifest lists %d", e.Name, len(data), e.SizeBytes)
		}
		files = append(files, File{Name: e.Name, Data: data})
	}
	return files, nil
}
