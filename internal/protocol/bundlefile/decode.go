package bundlefile

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
)

// Entry is one line of a manifest.
type Entry struct {
	Name      string
	Hash      bundle.Hash
	SizeBytes int
}

// Sections holds the data of sections by hash.
type Sections map[bundle.Hash][]byte

// MissingError reports sections that are needed to put a bundle together.
type MissingError struct{ Hashes []bundle.Hash }

// Error implements the error interface.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%d sections are missing, first %s", len(e.Hashes), e.Hashes[0])
}

// DecodeManifest reads a manifest.
func DecodeManifest(data []byte) ([]Entry, error) {
	var manifest savoryweirv1.Manifest
	if err := proto.Unmarshal(data, &manifest); err != nil {
		return nil, fmt.Errorf("manifest is not readable: %w", err)
	}
	if n := len(manifest.GetEntries()); n == 0 || n > MaxSections {
		return nil, fmt.Errorf("manifest has %d sections, allowed are 1 to %d", n, MaxSections)
	}
	entries := make([]Entry, 0, len(manifest.GetEntries()))
	for _, e := range manifest.GetEntries() {
		hash, err := bundle.HashFromBytes(e.GetHash())
		if err != nil {
			return nil, fmt.Errorf("manifest entry %q: %w", e.GetName(), err)
		}
		if e.GetSizeBytes() > MaxFileBytes {
			return nil, fmt.Errorf("manifest entry %q has %d bytes, allowed are %d", e.GetName(), e.GetSizeBytes(), MaxFileBytes)
		}
		entries = append(entries, Entry{Name: e.GetName(), Hash: hash, SizeBytes: int(e.GetSizeBytes())})
	}
	return entries, nil
}

// Missing returns the hashes of the entries that sections lacks, each once.
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

// Decode puts the bundle with the given manifest together. It returns a
// *MissingError when sections lacks the manifest or a section of it, and a
// *bundle.FaultsError when the content is no bundle. Surplus sections are ignored.
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
	files, err := filesOf(entries, sections)
	if err != nil {
		return nil, err
	}
	b, _, faults := Parse(files)
	if err := bundle.JoinFaults(faults); err != nil {
		return nil, err
	}
	return b, nil
}

func filesOf(entries []Entry, sections Sections) ([]File, error) {
	files := make([]File, 0, len(entries))
	for _, e := range entries {
		data := sections[e.Hash]
		if bundle.HashOf(data) != e.Hash {
			return nil, fmt.Errorf("section %s does not match its hash %s", e.Name, e.Hash)
		}
		if len(data) != e.SizeBytes {
			return nil, fmt.Errorf("section %s has %d bytes, its manifest says %d", e.Name, len(data), e.SizeBytes)
		}
		files = append(files, File{Name: e.Name, Data: data})
	}
	return files, nil
}
