package force

import (
	"testing"

	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

func TestGenerationOnlyIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		for range rapid.IntRange(1, 50).Draw(t, "heads") {
			before := state.Head()
			head := bundle.Head{Generation: bundle.Generation(rapid.IntRange(0, 6).Draw(t, "generation"))}
			head.Manifest[0] = byte(rapid.IntRange(0, 2).Draw(t, "content"))
			verdict := state.Advance(head)
			after := state.Head()
			if after.Generation < before.Generation {
				t.Fatalf("reverted from %d to %d", before.Generation, after.Generation)
			}
			if (verdict == Newer) != (after != before) {
				t.Fatalf("verdict %s, but %v became %v", verdict, before, after)
			}
			if verdict == Known && head != before {
				t.Fatalf("%v taken for %v", head, before)
			}
		}
	})
}
