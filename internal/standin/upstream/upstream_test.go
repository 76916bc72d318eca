package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// notes is a journal that keeps everything.
type notes struct {
	mu      sync.Mutex // guards all below
	runs    []Run
	wrote   map[string][]int // events by incarnation
	serving map[string]bool  // by incarnation and version
}

func (n *notes) Ran(r Run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs = append(n.runs, r)
}

func (n *notes) Wrote(r Run, event int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrote[r.Upstream] = append(n.wrote[r.Upstream], event)
}

func (n *notes) Serving(id, version string, serving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serving[id+" "+version] = serving
}

func (n *notes) Ordered(Order) {}

func (n *notes) Overloaded(string) {}

func (n *notes) isServing(id, version string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving[id+" "+version]
}

// storedVersion waits for the entry of an incarnation and returns its version.
func storedVersion(t *testing.T, store Store, id string) string {
	t.Helper()
	for range 200 {
		if o, err := store.Get(t.Context(), platform.KindUpstreams, object.Name(id)); err == nil {
			var e struct {
				Version string `json:"version"`
			}
			assert.NilError(t, json.Unmarshal(o.Data, &e))
			return e.Version
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s wrote no entry", id)
	return ""
}

// A checker finds the version that wrote an event through the journal only, so that the journal
// has to know version and events of each incarnation, and the entry has to say the same.
func TestJournalTellsWhichVersionWroteWhichEvents(t *testing.T) {
	journal := &notes{wrote: make(map[string][]int), serving: make(map[string]bool)}
	store := objectapi.New(time.Now, objectapi.Limits{})
	var address string
	u := New(Config{Name: "e0", Service: "tagger", Version: "v1", Slots: 2, Work: time.Millisecond, Places: 1}, store, journal, 1,
		func(a string) (string, error) { address = a; return a, nil })
	ask := func(call Call) string {
		t.Helper()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/tag/1", nil)
		assert.NilError(t, err)
		call.Stamp(r.Header)
		r.Header.Set("Token-Count", "1,4")
		r.Header.Set("Expect-Instance", u.ID())
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer func() { assert.NilError(t, response.Body.Close()) }()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return string(body)
	}

	assert.NilError(t, u.Start())
	assert.Equal(t, storedVersion(t, store, "e0-1"), "v1")
	assert.Assert(t, journal.isServing("e0-1", "v1"))
	assert.Equal(t, ask(Call{Request: "a", Deadline: time.Second}), Event("a", 1)+Event("a", 2)+Event("a", 3)+Event("a", 4))
	u.Release("v2")
	u.Drain()
	assert.Assert(t, !journal.isServing("e0-1", "v1"), "it is leaving")
	assert.Assert(t, u.Crash())
	assert.Assert(t, !u.IsUp())

	assert.NilError(t, u.Start())
	assert.Equal(t, storedVersion(t, store, "e0-2"), "v2")
	assert.Equal(t, ask(Call{Request: "b", Deadline: time.Second, Resumes: "a", LastEvent: 2}), Event("b", 3)+Event("b", 4))
	assert.Assert(t, u.Crash())
	assert.Assert(t, !journal.isServing("e0-2", "v2"))
	assert.Equal(t, len(journal.runs), 2)
	assert.Equal(t, journal.runs[0].Version, "v1")
	assert.Equal(t, journal.runs[1].Version, "v2")
	assert.DeepEqual(t, journal.wrote, map[string][]int{"e0-1": {1, 2, 3, 4}, "e0-2": {3, 4}})
}
