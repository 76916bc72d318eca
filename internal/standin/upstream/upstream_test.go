package upstream

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
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
	crashed []string         // requests that crashed their upstream
}

func (n *notes) Stopped(Run) {}

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

func (n *notes) Crashed(r Run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed = append(n.crashed, r.Request)
}

func (n *notes) Ordered(Order) {}

func (n *notes) Overloaded(string)     {}
func (n *notes) Fell(string, []string) {}

func (n *notes) Arrived(_, _ string, _ float64) {}

func (n *notes) crashes() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

// events returns how many events an incarnation wrote.
func (n *notes) events(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.wrote[id])
}

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

// start starts an upstream until the end of the test.
func start(t *testing.T, u *Upstream) {
	t.Helper()
	assert.NilError(t, u.Start())
	t.Cleanup(func() { u.Crash() })
}

// exchange sends a request on a connection of its own and returns the head and the body as they
// came, with the error that ended them.
func exchange(t *testing.T, address, id string, call Call) (head, body string, failed error) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/tag/1", nil)
	assert.NilError(t, err)
	call.Stamp(r.Header)
	r.Header.Set("Expect-Instance", id)
	r.Close = true
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	assert.NilError(t, r.Write(conn))
	data, failed := io.ReadAll(bufio.NewReader(conn))
	head, body, _ = strings.Cut(string(data), "\r\n\r\n")
	return head, body, failed
}

// A reader that waits for a length or a last chunk never sees the end of such answers, and one that
// takes the end of the connection for the end of the answer delivers broken ones as whole.
func TestUnframedAnswersEndWithTheirConnection(t *testing.T) {
	const events = 4
	cases := []struct {
		name         string
		places       int
		loses, reset bool
		body         string
	}{
		{"plain", 0, false, false, Answer("a", Fingerprint(http.MethodPost, "/tag/1", nil))},
		{"stream", 1, false, false, Event("a", 1) + Event("a", 2) + Event("a", 3) + Event("a", 4)},
		{"broken stream", 1, true, false, Event("a", 1) + Event("a", 2)[:len(Event("a", 2))/2]},
		{"broken plain answer", 0, true, true, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			journal := &notes{wrote: make(map[string][]int), serving: make(map[string]bool)}
			var address string
			u := New(Config{Name: "e0", Service: "tagger", Slots: 2, Work: time.Millisecond, Places: test.places, UnframedShare: 1},
				objectapi.New(time.Now, objectapi.Limits{}), journal, 1, func(a string) (string, error) { address = a; return a, nil })
			start(t, u)
			if test.loses {
				u.SetFaults(Faults{LoseShare: 1})
			}
			call := Call{Request: "a", Deadline: time.Second}
			if test.places > 0 {
				call.Model, call.Events = "m", events
				u.mu.Lock()
				u.models = []resident{{Name: "m"}}
				u.mu.Unlock()
			}
			head, body, err := exchange(t, address, u.ID(), call)
			if test.reset {
				assert.ErrorContains(t, err, "reset")
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n"), head)
			assert.Assert(t, !strings.Contains(head, "Content-Length") && !strings.Contains(head, "Transfer-Encoding"), head)
			assert.Equal(t, body, test.body)
		})
	}
}

// A crash that only cut its own request, came after the answer or kept the port would hide what
// such prompts do to the other callers of the engine.
func TestCrashingPartOfPromptEndsEngineWithAllItsStreams(t *testing.T) {
	const events = 500
	for _, share := range []float64{0, 1} {
		journal := &notes{wrote: make(map[string][]int), serving: make(map[string]bool)}
		var mu sync.Mutex
		var addresses []string
		u := New(Config{
			Name: "e0", Service: "tagger", Slots: 4, Work: 2 * time.Millisecond, Models: []string{"m"}, Places: 1,
			UnframedShare: share, CrashingPart: "c7", RestartTime: 50 * time.Millisecond,
		}, objectapi.New(time.Now, objectapi.Limits{}), journal, 1, func(a string) (string, error) {
			mu.Lock()
			defer mu.Unlock()
			addresses = append(addresses, a)
			return a, nil
		})
		start(t, u)
		address, id := addresses[0], u.ID()
		call := func(request string, events int, own uint64, shared ...string) Call {
			return Call{Request: request, Deadline: 10 * time.Second, Model: "m", Events: events, Shared: shared, Own: own}
		}
		_, body, err := exchange(t, address, id, call("last", 1, 0xc7, "a1", "b2"))
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(body, Event("last", 1)), "the last part crashes nothing: %q", body)

		bystander := make(chan string)
		go func() {
			_, body, _ := exchange(t, address, id, call("bystander", events, 1, "a1"))
			bystander <- body
		}()
		for journal.events(id) < 3 {
			time.Sleep(time.Millisecond)
		}
		head, body, _ := exchange(t, address, id, call("crashing", 4, 2, "a1", "c7"))
		assert.Assert(t, head == "" || strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n"), head)
		assert.Assert(t, !strings.Contains(body, Event("crashing", 1)), body)
		got := <-bystander
		assert.Assert(t, strings.Contains(got, Event("bystander", 1)) && !strings.Contains(got, Event("bystander", events)))
		assert.Assert(t, !strings.HasSuffix(got, "\n0\r\n\r\n"), "it looks complete")
		for !u.IsUp() {
			time.Sleep(time.Millisecond)
		}
		assert.DeepEqual(t, journal.crashes(), []string{"crashing"})
		mu.Lock()
		assert.Equal(t, len(addresses), 2)
		assert.Assert(t, addresses[1] != address && u.ID() != id)
		mu.Unlock()
	}
}
