package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
)

// The store came back from a copy without the record, and the holder had the lease again before it looked. It took the record for
// written, so that the versions which had served were unknown after the loss of all instances.
func TestVersionsAreRecordedAgainInLaterEraAlthoughLeaseIsHeld(t *testing.T) {
	served := []streams.Origin{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}
	written := servedPast{served: served, era: 1, knowsPast: true}
	assert.Assert(t, !versionWrite{}.holds(servedPast{served: served}))
	w := versionWrite{written}
	assert.Assert(t, w.holds(written))
	assert.Assert(t, !w.holds(servedPast{served: served[:1], era: 1, knowsPast: true}))
	assert.Assert(t, !w.holds(servedPast{served: served, era: 2, knowsPast: true}))
	assert.Assert(t, !w.holds(servedPast{served: served, era: 1}))
}

// A record from before the store came back from a copy, or from an instance that had started after that, was taken for the past.
func TestRecordOfVersionsTellsPastOnlyIfCompleteInPresentEra(t *testing.T) {
	v1 := streams.Origin{Service: "s", Version: "v1"}
	for name, test := range map[string]struct {
		era    object.Era
		record string // empty if there is none
		want   bool
	}{
		"first era":                          {0, `{"served":[{"service":"s","version":"v1"}]}`, true},
		"first era, no record":               {0, "", true},
		"complete":                           {2, `{"served":[{"service":"s","version":"v1"}],"era":2,"knows_past":true}`, true},
		"written before the store came back": {3, `{"served":[{"service":"s","version":"v1"}],"era":2,"knows_past":true}`, false},
		"written in the first era":           {1, `{"served":[{"service":"s","version":"v1"}],"knows_past":true}`, false},
		"of a build that tells no era":       {1, `{"served":[{"service":"s","version":"v1"}]}`, false},
		"of an instance that had started":    {2, `{"served":[{"service":"s","version":"v1"}],"era":2}`, false},
		"no record in a later era":           {1, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var objects []object.Object
			if test.record != "" {
				objects = append(objects, object.Object{Data: []byte(test.record)})
			}
			past, _, err := decodeVersionRecords(objects, test.era)
			assert.NilError(t, err)
			assert.Equal(t, past.knowsPast, test.want)
			assert.Equal(t, past.era, test.era)
			if test.record != "" {
				assert.DeepEqual(t, past.served, []streams.Origin{v1})
			}
		})
	}
	_, _, err := decodeVersionRecords([]object.Object{{Data: []byte("{")}}, 0)
	assert.Assert(t, err != nil)
}
