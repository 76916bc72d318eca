package activebundle

import (
	"testing"

	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

// TestActiveGenerationNeverDecreases guards against a process that returns to an older
// bundle, or replaces the content of its generation, after it received stale, repeated or
// conflicting heads.
func TestActiveGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		for range rapid.IntRange(1, 50).Draw(t, "heads") {
			before := state.Head()
			head := bundle.Head{Generation: bundle.Generation(rapid.IntRange(0, 6).Draw(t, "generation"))}
			head.Manifest[0] = byte(rapid.IntRange(0, 2).Draw(t, "content"))
			comparison := state.Advance(head)
			after := state.Head()
			if after.Generation < before.Generation {
				t.Fatalf("active generation decreased from %d to %d", before.Generation, after.Generation)
			}
			if (comparison == Newer) != (after != before) {
				t.Fatalf("comparison is %s, but the active head changed from %v to %v", comparison, before, after)
			}
			if comparison == Current && head != before {
				t.Fatalf("head %v is reported as current, but the active head is %v", head, before)
			}
		}
	})
}
