package bundlefile

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
)

// entitiesPerSection is the largest mean number of entities of one kind in a section. With a
// lower number the manifest is longer; with a higher number a change of one entity transfers more
// unchanged entities.
const entitiesPerSection = 32

// Section is data with its hash, which serves as its name.
type Section struct {
	Hash bundle.Hash
	Data []byte
}

// Encoded is the form of a bundle that the store and the processes hold.
type Encoded struct {
	Manifest Section
	Sections []Section // in manifest order, without the manifest
}

// All returns the sections followed by the manifest.
func (e Encoded) All() []Section { return append(slices.Clone(e.Sections), e.Manifest) }

// NewSection returns the section that holds data.
func NewSection(data []byte) Section { return Section{Hash: bundle.HashOf(data), Data: data} }

// Encode splits a bundle into sections and a manifest. Neither contains the generation of the
// bundle.
func Encode(b *bundle.Bundle) (Encoded, error) {
	var encoded Encoded
	manifest := &savoryweirv1.Manifest{}
	for _, text := range formatSections(b) {
		section := NewSection([]byte(text.body))
		if len(section.Data) > MaxFileBytes {
			return Encoded{}, fmt.Errorf("section %s has %d bytes, more than the limit of %d", text.name, len(section.Data), MaxFileBytes)
		}
		encoded.Sections = append(encoded.Sections, section)
		manifest.Entries = append(manifest.Entries, &savoryweirv1.ManifestEntry{
			Name: text.name, Hash: section.Hash[:], SizeBytes: uint32(len(section.Data)),
		})
	}
	if len(manifest.Entries) > MaxSections {
		return Encoded{}, fmt.Errorf("the bundle has %d sections, more than the limit of %d", len(manifest.Entries), MaxSections)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(manifest)
	if err != nil {
		return Encoded{}, fmt.Errorf("marshal manifest: %w", err)
	}
	encoded.Manifest = NewSection(data)
	return encoded, nil
}

// namedText is the INI text of a section and the name of the section in the manifest.
type namedText struct {
	name string
	body string
}

// entity is the INI text of one service, upstream, model or adapter.
type entity struct {
	id   string
	body string
}

func formatSections(b *bundle.Bundle) []namedText {
	texts := []namedText{{name: kindDeployment, body: formatDeployment(b)}}
	texts = append(texts, shard(kindAdapter, formatEntities(b.Adapters, formatAdapter))...)
	texts = append(texts, shard(kindModel, formatEntities(b.Models, formatModel))...)
	texts = append(texts, shard(kindService, formatEntities(b.Services, formatService))...)
	texts = append(texts, shard(kindUpstream, formatEntities(b.Upstreams, formatUpstream))...)
	slices.SortFunc(texts, func(a, b namedText) int { return cmp.Compare(a.name, b.name) })
	return texts
}

func formatEntities[T any](items []T, format func(T) entity) []entity {
	list := make([]entity, 0, len(items))
	for _, item := range items {
		list = append(list, format(item))
	}
	slices.SortStableFunc(list, func(a, b entity) int { return cmp.Compare(a.id, b.id) })
	return list
}

// shard distributes the entities of one kind over sections by a hash of their id, so that a change
// of one entity changes one section. The number of sections is a power of two, so that it changes
// rarely.
func shard(kind string, list []entity) []namedText {
	count := 1
	for count*entitiesPerSection < len(list) {
		count *= 2
	}
	bodies := make([]strings.Builder, count)
	for _, e := range list {
		h := fnv.New32a()
		h.Write([]byte(e.id))
		bodies[h.Sum32()%uint32(count)].WriteString(e.body)
	}
	var texts []namedText
	for i := range bodies {
		if bodies[i].Len() > 0 {
			texts = append(texts, namedText{name: fmt.Sprintf("%s/%04d", kind, i), body: bodies[i].String()})
		}
	}
	return texts
}
