package bundlefile

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

const smallFile = `
[deployment]
name = kalyvas
zones = attica-1, attica-2
[service tagger]
kind = generation
deadline = 5s
[service bookings]
kind = plain
deadline = 2s
order-paths = /orders
[upstream tagger-1]
service = tagger
address = 10.0.0.1:8000
zone = attica-1
memory-mib = 80000
accelerators = 1
checks-fence = true
[upstream bookings-1]
service = bookings
address = [fd00::1]:8000
zone = attica-2
[model tags]
service = tagger
version = 3
memory-mib = 16000
min-replicas = 1
[adapter agency-1]
model = tags
memory-mib = 200
`

func parseSmallFile(t *testing.T) *bundle.Bundle {
	t.Helper()
	b, source, faults := Parse([]File{{Name: "all.ini", Data: []byte(smallFile)}})
	assert.NilError(t, bundle.JoinFaults(faults))
	assert.Equal(t, source["model tags"], "all.ini")
	return b
}

func sectionsByHash(e Encoded) Sections {
	sections := make(Sections)
	for _, s := range e.All() {
		sections[s.Hash] = s.Data
	}
	return sections
}

func TestDecodeAndParseRestoreEncodedBundle(t *testing.T) {
	b := parseSmallFile(t)
	assert.Equal(t, b.Services[0].Deadline, 5*time.Second)
	assert.DeepEqual(t, b.Services[1].OrderPaths, []string{"/orders"})
	assert.Assert(t, b.Upstreams[0].ChecksFence)
	encoded, err := Encode(b)
	assert.NilError(t, err)
	decoded, err := Decode(encoded.Manifest.Hash, sectionsByHash(encoded))
	assert.NilError(t, err)
	slices.SortFunc(b.Services, func(x, y bundle.Service) int { return -1 })
	reencoded, err := Encode(decoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, reencoded, encoded)
	texts, _, faults := Parse(Texts(b))
	assert.NilError(t, bundle.JoinFaults(faults))
	fromTexts, err := Encode(texts)
	assert.NilError(t, err)
	assert.DeepEqual(t, fromTexts.Manifest, encoded.Manifest)
}

func TestDecodeRejectsDamagedSections(t *testing.T) {
	encoded, err := Encode(parseSmallFile(t))
	assert.NilError(t, err)
	t.Run("missing section", func(t *testing.T) {
		sections := sectionsByHash(encoded)
		delete(sections, encoded.Sections[1].Hash)
		_, err := Decode(encoded.Manifest.Hash, sections)
		var missing *MissingError
		assert.Assert(t, errors.As(err, &missing))
		assert.DeepEqual(t, missing.Hashes, []bundle.Hash{encoded.Sections[1].Hash})
	})
	t.Run("changed section", func(t *testing.T) {
		sections := sectionsByHash(encoded)
		sections[encoded.Sections[1].Hash] = []byte("[adapter agency-1]\nmodel = tags\nmemory-mib = 1\n")
		_, err := Decode(encoded.Manifest.Hash, sections)
		assert.ErrorContains(t, err, "does not match its hash")
	})
	t.Run("changed manifest", func(t *testing.T) {
		sections := sectionsByHash(encoded)
		sections[encoded.Manifest.Hash] = append([]byte{0}, encoded.Manifest.Data...)
		_, err := Decode(encoded.Manifest.Hash, sections)
		assert.ErrorContains(t, err, "does not match its hash")
	})
}

func TestParseReportsAllFaults(t *testing.T) {
	_, _, faults := Parse([]File{
		{Name: "a.ini", Data: []byte("stray = 1\n[model m]\nservice = s\nversion = 1\nmemory-mib = much\nmemory = 3\nversion = 2\n")},
		{Name: "b.ini", Data: []byte("[model m]\n[cluster c]\n[adapter -x]\n[upstream u]\nservice = s\naddress = 'a\nzone = z\nchecks-fence = maybe\n")},
		{Name: "c.ini", Data: []byte("[model\n")},
	})
	var lines []string
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	assert.DeepEqual(t, lines, []string{
		"a.ini: stray: the key is before the first section",
		"a.ini: [model m] memory: the key is unknown",
		`a.ini: [model m] memory-mib: "much" is not a whole number from 0 to 1073741824`,
		"a.ini: [model m] min-replicas: the key is missing",
		"a.ini: [model m] version: the key is defined twice",
		"b.ini: [model m] the section is defined twice, first in a.ini",
		"b.ini: [cluster c] the section is unknown; expected [deployment], [service NAME], [upstream NAME], [model NAME] or [adapter NAME]",
		"b.ini: [adapter -x] the name after the kind must be 1 to 128 letters, digits or . _ / - and start with a letter or digit",
		"b.ini: [upstream u] address: the value must consist of letters, digits, spaces or . _ / : , - [ ] and must not be empty",
		`b.ini: [upstream u] checks-fence: "maybe" is neither true nor false`,
		"c.ini: not an INI file: unclosed section: [model",
		"[deployment] the section is missing",
	})
}

// newTargetSizeBundle returns a bundle with as many upstreams and models as the target deployment.
func newTargetSizeBundle() *bundle.Bundle {
	b := &bundle.Bundle{Deployment: "target", Zones: []bundle.Zone{"z1"}}
	b.Services = append(b.Services, bundle.Service{Name: "generation", Kind: bundle.KindGeneration, Deadline: time.Second})
	for i := range 710 {
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			ID: bundle.UpstreamID(fmt.Sprintf("engine-%03d", i)), Service: "generation",
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: "z1", Memory: 640000, Accelerators: 8,
		})
	}
	for i := range 770 {
		b.Models = append(b.Models, bundle.Model{
			ID: bundle.ModelID(fmt.Sprintf("model-%03d", i)), Service: "generation", Version: "1", Memory: 40000, MinReplicas: 1,
		})
	}
	return b
}

// TestBoundBytesOfOneChangeAtTargetSize limits the bytes that a changed model adds to the sections.
// The control budget at the target size is 3 KB/s for an instance, with 930 changes per day. A
// tenth of it is the limit for the distribution of bundles.
func TestBoundBytesOfOneChangeAtTargetSize(t *testing.T) {
	const changesPerDay, secondsPerDay, boundBytesPerSecond = 930, 86400, 300
	b := newTargetSizeBundle()
	before, err := Encode(b)
	assert.NilError(t, err)
	b.Models[300].Version = "2"
	after, err := Encode(b)
	assert.NilError(t, err)
	known := sectionsByHash(before)
	bytes := 0
	for _, s := range after.All() {
		if _, ok := known[s.Hash]; !ok {
			bytes += len(s.Data)
		}
	}
	totalBytes := 0
	for _, s := range after.All() {
		totalBytes += len(s.Data)
	}
	t.Logf("one change transfers %d of %d bytes, manifest %d bytes, %d sections", bytes, totalBytes, len(after.Manifest.Data), len(after.Sections))
	assert.Assert(t, bytes*changesPerDay/secondsPerDay < boundBytesPerSecond)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Add([]byte("[model m]\nmemory-mib = 99999999999999999999\n"))
	f.Add([]byte("[deployment]\nname = \"\"\"a\nb\"\"\"\nzones = ,\n"))
	f.Add([]byte("\xef\xbb\xbf[adapter a.b]\nmodel : x\n- = y\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, _, faults := Parse([]File{{Name: "f", Data: data}})
		if len(faults) > 0 {
			return
		}
		encoded, err := Encode(b)
		assert.NilError(t, err)
		decoded, err := Decode(encoded.Manifest.Hash, sectionsByHash(encoded))
		assert.NilError(t, err)
		reencoded, err := Encode(decoded)
		assert.NilError(t, err)
		assert.Equal(t, reencoded.Manifest.Hash, encoded.Manifest.Hash)
	})
}

func FuzzDecodeManifest(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		hash := bundle.HashOf(data)
		_, _ = Decode(hash, Sections{hash: data})
	})
}
