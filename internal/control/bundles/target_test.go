package bundles

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/bundlecheck"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
)

// targetBundle returns a bundle of the target size: 710 engines, 770 models and 2000
// adapters.
func targetBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Deployment: "d", Zones: []bundle.Zone{"z1", "z2"},
		Services: []bundle.Service{{Name: "s", Kind: bundle.KindGeneration, Deadline: time.Second}},
	}
	for i := range 710 {
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			ID: bundle.UpstreamID(fmt.Sprintf("engine-%03d", i)), Service: "s", Zone: b.Zones[i%2],
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1), Memory: 640000, Accelerators: 8,
		})
	}
	for i := range 770 {
		b.Models = append(b.Models, bundle.Model{
			ID: bundle.ModelID(fmt.Sprintf("model-%03d", i)), Service: "s", Version: "1", Memory: 60000, MinReplicas: 2,
		})
	}
	for i := range 2000 {
		b.Adapters = append(b.Adapters, bundle.Adapter{
			ID: bundle.AdapterID(fmt.Sprintf("adapter-%04d", i)), Model: b.Models[i%770].ID, Memory: 200,
		})
	}
	return b
}

// targetSections returns the encoded target bundle by hash.
func targetSections(t testing.TB) (bundle.Hash, bundlefile.Sections) {
	t.Helper()
	encoded, err := bundlefile.Encode(targetBundle())
	assert.NilError(t, err)
	sections := make(bundlefile.Sections)
	for _, s := range encoded.All() {
		sections[s.Hash] = s.Data
	}
	return encoded.Manifest.Hash, sections
}

// verify decodes and checks a bundle and expects no faults.
func verify(t testing.TB, manifest bundle.Hash, sections bundlefile.Sections) {
	t.Helper()
	decoded, err := bundlefile.Decode(manifest, sections)
	assert.NilError(t, err)
	assert.Equal(t, len(bundlecheck.Check(bundlecheck.Input{New: decoded})), 0)
}

// BenchmarkTargetVerify measures the processor time that an instance spends on one
// change of a bundle of the target size.
func BenchmarkTargetVerify(b *testing.B) {
	manifest, sections := targetSections(b)
	b.ReportAllocs()
	for b.Loop() {
		verify(b, manifest, sections)
	}
}

// The memory budget of a control process is 64 MB. Verifying one change may allocate a
// quarter of it.
func TestBoundAllocationAtTargetSize(t *testing.T) {
	const boundBytes = 16 << 20
	manifest, sections := targetSections(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	verify(t, manifest, sections)
	runtime.ReadMemStats(&after)
	used := after.TotalAlloc - before.TotalAlloc
	t.Logf("the verification of a bundle of the target size allocates %d bytes", used)
	assert.Assert(t, used < boundBytes)
}

// The memory budget of a control process is 64 MB. The bundle in force and the previous
// one may take a tenth of it.
func TestBoundMemoryAtTargetSize(t *testing.T) {
	const boundBytes = 6 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var kept []*InForce
	for range 2 {
		b := targetBundle()
		encoded, err := bundlefile.Encode(b)
		assert.NilError(t, err)
		kept = append(kept, &InForce{Bundle: b, Manifest: encoded.Manifest, Sections: encoded.Sections})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("two bundles of the target size hold %d bytes", used)
	assert.Assert(t, used < boundBytes)
	runtime.KeepAlive(kept)
}
