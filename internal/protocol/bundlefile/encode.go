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

// entitiesPerSection is the mean number of entities of one kind in a section. Fewer
// make the manifest longer, more make a change carry more unchanged entities.
const entitiesPerSection = 32

// Section is a piece of data that is named by its hash.
type Section struct {
	Hash bundle.Hash
	Data []byte
}

// Encoded is a bundle in the form that the store and the processes hold.
type Encoded struct {
	Manifest Section
	Sections []Section // in manifest order, without the manifest
}

// All returns the sections with the manifest as the last one.
func (e Encoded) All() []Section { return append(slices.Clone(e.Sections), e.Manifest) }

// NewSection names data by its hash.
func NewSection(data []byte) Section { return Section{Hash: bundle.HashOf(data), Data: data} }

// Encode splits a bundle into sections and a manifest. The generation is no part of them.
func Encode(b *bundle.Bundle) (Encoded, error) {
	var encoded Encoded
	manifest := &savoryweirv1.Manifest{}
	for _, text := range canonicalTexts(b) {
		section := NewSection([]byte(text.body))
		if len(section.Data) > MaxFileBytes {
			return Encoded{}, fmt.Errorf("section %s has %d bytes, allowed are %d", text.name, len(section.Data), MaxFileBytes)
		}
		encoded.Sections = append(encoded.Sections, section)
		manifest.Entries = append(manifest.Entries, &savoryweirv1.ManifestEntry{
			Name: text.name, Hash: section.Hash[:], SizeBytes: uint32(len(section.Data)),
		})
	}
	if len(manifest.Entries) > MaxSections {
		return Encoded{}, fmt.Errorf("the bundle has %d sections, allowed are %d", len(manifest.Entries), MaxSections)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(manifest)
	if err != nil {
		return Encoded{}, fmt.Errorf("marshal manifest: %w", err)
	}
	encoded.Manifest = NewSection(data)
	return encoded, nil
}

// namedText is the INI text of one section with its name in the manifest.
type namedText struct {
	name string
	body string
}

// entity is the INI text of one service, upstream, model or adapter.
type entity struct {
	id   string
	body string
}

func canonicalTexts(b *bundle.Bundle) []namedText {
	texts := []namedText{{name: kindDeployment, body: deploymentText(b)}}
	texts = append(texts, shard(kindAdapter, entities(b.Adapters, adapterText))...)
	texts = append(texts, shard(kindModel, entities(b.Models, modelText))...)
	texts = append(texts, shard(kindService, entities(b.Services, serviceText))...)
	texts = append(texts, shard(kindUpstream, entities(b.Upstreams, upstreamText))...)
	slices.SortFunc(texts, func(a, b namedText) int { return cmp.Compare(a.name, b.name) })
	return texts
}

func entities[T any](items []T, text func(T) entity) []entity {
	list := make([]entity, 0, len(items))
	for _, item := range items {
		list = append(list, text(item))
	}
	slices.SortStableFunc(list, func(a, b entity) int { return cmp.Compare(a.id, b.id) })
	return list
}

// shard spreads the entities of one kind over sections by a hash of their id, so
// that a change of one entity changes one section. The number of sections is a
// power of two and changes rarely.
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
