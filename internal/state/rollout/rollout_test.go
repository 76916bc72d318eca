package rollout

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func TestEveryTransitionIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/design/bundles.md")
	assert.NilError(t, err)
	for _, transition := range Table() {
		var from []string
		for _, state := range transition.From {
			from = append(from, string(state))
		}
		row := fmt.Sprintf("| %s | %s | %s |", transition.Event, strings.Join(from, ", "), transition.To)
		assert.Assert(t, strings.Contains(string(page), row), row)
	}
}

func TestStateChangesOnlyByListedTransitions(t *testing.T) {
	paths := map[State][]Event{
		Heard:      {},
		Fetching:   {Fetch},
		Waiting:    {Fetch, Fail},
		Verifying:  {Fetch, Complete},
		InForce:    {Fetch, Fail, Fetch, Complete, Accept},
		Refused:    {Fetch, Refuse},
		Superseded: {Supersede},
	}
	for state, path := range paths {
		for _, event := range []Event{Fetch, Fail, Complete, Accept, Refuse, Supersede} {
			r := New(bundle.Head{Generation: 1})
			for _, step := range path {
				assert.NilError(t, r.Apply(step))
			}
			assert.Equal(t, r.State(), state)
			want := state
			for _, transition := range Table() {
				if transition.Event == event && slices.Contains(transition.From, state) {
					want = transition.To
				}
			}
			err := r.Apply(event)
			assert.Equal(t, r.State(), want, "%s in %s", event, state)
			assert.Equal(t, err == nil, want != state, "%s in %s", event, state)
		}
	}
}
