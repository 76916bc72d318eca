package bundlecheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

// validBundle returns a bundle without faults. It has two engines of 100 MiB each and models
// of 40 and 30 MiB with two replicas each.
func validBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Deployment: "kalyvas",
		Zones:      []bundle.Zone{"z1", "z2"},
		Services: []bundle.Service{
			{Name: "tagger", Kind: bundle.KindGeneration, Deadline: time.Second},
			{Name: "bookings", Kind: bundle.KindPlain, Deadline: time.Second, OrderPaths: []string{"/orders"}},
			{Name: "flights", Kind: bundle.KindPlain, Deadline: time.Second},
		},
		Upstreams: []bundle.Upstream{
			{ID: "t1", Service: "tagger", Address: "10.0.0.1:80", Zone: "z1", Memory: 100, Accelerators: 1},
			{ID: "t2", Service: "tagger", Address: "10.0.0.2:80", Zone: "z2", Memory: 100, Accelerators: 1},
			{ID: "b1", Service: "bookings", Address: "10.0.0.3:80", Zone: "z1"},
			{ID: "f1", Service: "flights", Address: "[fd00::1]:80", Zone: "z1"},
		},
		Models: []bundle.Model{
			{ID: "a", Service: "tagger", Version: "1", Memory: 40, MinReplicas: 2},
			{ID: "b", Service: "tagger", Version: "1", Memory: 30, MinReplicas: 2},
		},
		Adapters: []bundle.Adapter{{ID: "x", Model: "a", Memory: 5}},
	}
}

func TestCheckAcceptsValidBundle(t *testing.T) {
	assert.DeepEqual(t, Check(Input{New: validBundle(), Old: validBundle()}), []bundle.Fault(nil))
}

func TestCheckReportsEachFault(t *testing.T) {
	tests := []struct {
		name   string
		change func(*bundle.Bundle)
		want   []string // substrings of the faults in order
	}{
		{"model fits no engine", func(b *bundle.Bundle) { b.Models[0].Memory = 101 },
			[]string{"[model a] memory-mib: the model fits no engine: it needs 101 MiB, the largest engine of service tagger has 100 MiB"}},
		{"adapter of unknown model", func(b *bundle.Bundle) { b.Adapters[0].Model = "c" }, []string{`[adapter x] model: there is no model "c"`}},
		{"adapter does not fit beside its model", func(b *bundle.Bundle) { b.Adapters[0].Memory = 61 }, []string{"[adapter x] memory-mib: the adapter fits no engine beside its model"}},
		{"service without upstream", func(b *bundle.Bundle) { b.Upstreams = b.Upstreams[:3] }, []string{"[service flights] the service has no upstream"}},
		{"service defined twice", func(b *bundle.Bundle) { b.Services[2].Name = "bookings"; b.Upstreams[3].Service = "bookings" },
			[]string{"[service bookings] the service is defined twice, so callers' route to it is not unique"}},
		{"model defined twice", func(b *bundle.Bundle) { b.Models[1].ID = "a" }, []string{"[model a] the model is defined twice, so callers' route"}},
		{"adapter defined twice", func(b *bundle.Bundle) { b.Adapters = append(b.Adapters, b.Adapters[0]) }, []string{"[adapter x] the adapter is defined twice"}},
		{"adapter with the name of a model", func(b *bundle.Bundle) { b.Adapters[0].ID = "b" }, []string{"[adapter b] a model has the same name"}},
		{"order paths of a generation service", func(b *bundle.Bundle) { b.Services[0].OrderPaths = []string{"/x"} }, []string{"[service tagger] order-paths"}},
		{"invalid order paths", func(b *bundle.Bundle) { b.Services[1].OrderPaths = []string{"/a", "/a", "b"} },
			[]string{"[service bookings] order-paths: path /a is listed twice", `[service bookings] order-paths: "b" must start`}},
		{"duplicates", func(b *bundle.Bundle) {
			b.Upstreams[1].ID = "t1"
			b.Upstreams[1].Address = "[::ffff:10.0.0.1]:80"
			b.Services[2].Name = "bookings"
			b.Zones = append(b.Zones, "z1")
		}, []string{
			"[deployment] zones: zone z1 is listed twice", "[service bookings] the service is defined twice",
			`[upstream f1] service: there is no service "flights"`, "[upstream t1] the upstream is defined twice",
			"[upstream t1] address: address [::ffff:10.0.0.1]:80 already belongs to upstream t1",
		}},
		{"invalid addresses", func(b *bundle.Bundle) {
			b.Upstreams[0].Address, b.Upstreams[1].Address, b.Upstreams[2].Address = "engine:80", "10.0.0.1:0", "0.0.0.0:80"
		}, []string{"[upstream b1] address", `[upstream t1] address: "engine:80" is not an IP address`, "[upstream t2] address"}},
		{"unknown zone", func(b *bundle.Bundle) { b.Upstreams[0].Zone = "z3" }, []string{`[upstream t1] zone: zone "z3" is not among`}},
		{"invalid min replicas", func(b *bundle.Bundle) { b.Models[0].MinReplicas = 3; b.Models[1].MinReplicas = 0 },
			[]string{"[model a] min-replicas: 3 replicas do not fit: 2 engines", "[model b] min-replicas"}},
		{"engine without memory", func(b *bundle.Bundle) { b.Upstreams[0].Memory, b.Upstreams[0].Accelerators = 0, 0 },
			[]string{"[upstream t1] accelerators", "[upstream t1] memory-mib"}},
		{"upstream of plain service with memory", func(b *bundle.Bundle) { b.Upstreams[2].Memory = 1 }, []string{"[upstream b1] memory-mib"}},
		{"invalid deadline and kind", func(b *bundle.Bundle) { b.Services[0].Deadline = 0; b.Services[1].Kind = "fast" },
			[]string{"[service bookings] kind", "[service tagger] deadline"}},
		{"model of plain service", func(b *bundle.Bundle) { b.Models[0].Service = "bookings" }, []string{"[model a] service"}},
		{"memory overcommitted", func(b *bundle.Bundle) { b.Models[0].Memory = 80 },
			[]string{"[model b] memory-mib: memory of service tagger is overcommitted: all models with their replicas need 220 MiB, the 2 engines have 200 MiB"}},
		{"old and new versions exceed memory together", func(b *bundle.Bundle) { b.Models[0].Version = "2" },
			[]string{"[model a] version: memory of service tagger is overcommitted during the roll-out: old and new versions together need 180 MiB"}},
		{"other deployment", func(b *bundle.Bundle) { b.Deployment = "magnolia" }, []string{"[deployment] name"}},
		{"empty bundle", func(b *bundle.Bundle) { *b = bundle.Bundle{} }, []string{"[deployment] the bundle", "[deployment] name", "[deployment] name", "[deployment] zones"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := validBundle()
			test.change(b)
			faults := Check(Input{New: b, Old: validBundle()})
			assert.Equal(t, len(faults), len(test.want), "%v", faults)
			for i, want := range test.want {
				assert.Check(t, is.Contains(faults[i].String(), want))
			}
		})
	}
}

func TestFaultsNameFilesInOrder(t *testing.T) {
	b := validBundle()
	b.Models[0].Version, b.Models[1].Version = "", ""
	faults := Check(Input{New: b, Files: map[string]string{"model a": "z.ini", "model b": "b.ini"}})
	assert.Equal(t, faults[0].String(), "b.ini: [model b] version: the model has no version")
	assert.Equal(t, faults[1].String(), "z.ini: [model a] version: the model has no version")
}

// A removed model stays loaded until the requests under the old generation have ended. If its
// memory were not counted, the rollout could overcommit an engine.
func TestRemovedModelNeedsMemoryDuringRollout(t *testing.T) {
	old := validBundle()
	old.Models = append(old.Models, bundle.Model{ID: "c", Service: "tagger", Version: "1", Memory: 60, MinReplicas: 1})
	faults := Check(Input{New: validBundle(), Old: old})
	assert.Equal(t, len(faults), 1)
	assert.Check(t, is.Contains(faults[0].String(), "[service tagger] version: memory of service tagger is overcommitted during the roll-out"))
}

func TestPackNeverExceedsMemoryOfAllEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]bundle.Upstream, rapid.IntRange(1, 6).Draw(t, "engines"))
		for i := range engines {
			engines[i].Memory = bundle.MiB(rapid.IntRange(1, 100).Draw(t, "memory"))
		}
		var demands []demand
		for range rapid.IntRange(1, 8).Draw(t, "models") {
			demands = append(demands, demand{
				model:    bundle.Model{Memory: bundle.MiB(rapid.IntRange(1, 60).Draw(t, "need"))},
				replicas: 1, isOld: true,
			})
		}
		if _, ok := pack(engines, demands); ok && sumDemands(demands) > sumEngines(engines) {
			t.Fatalf("pack placed models of %d MiB on engines of %d MiB", sumDemands(demands), sumEngines(engines))
		}
	})
}
