package rollout

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
)

func TestOnlyTheTableMoves(t *testing.T) {
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
			for _, line := range Table() {
				if line.Event == event && slices.Contains(line.From, state) {
					want = line.To
				}
			}
			err := r.Apply(event)
			assert.Equal(t, r.State(), want, "%s in %s", event, state)
			assert.Equal(t, err == nil, want != state, "%s in %s", event, state)
		}
	}
}
