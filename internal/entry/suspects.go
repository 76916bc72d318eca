package entry

import (
	"sync"
	"time"

	"savoryweir/internal/state/bundle"
)

// maxDeaths is the number of upstreams that may ever die under one request.
const maxDeaths = 2

// maxSuspects bounds the requests that are remembered.
const maxSuspects = 4096

// suspectTable remembers requests under which upstreams died.
type suspectTable struct {
	keep time.Duration

	mu    sync.Mutex // guards own
	own   map[Fingerprint]Suspect
	order []Fingerprint // oldest first
}

func newSuspectTable(keep time.Duration) *suspectTable {
	return &suspectTable{keep: keep, own: make(map[Fingerprint]Suspect)}
}

// deaths returns the upstreams that died under the request, here or as the view tells.
func (t *suspectTable) deaths(now time.Time, view *View, f Fingerprint) []bundle.UpstreamID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []bundle.UpstreamID
	if own, ok := t.own[f]; ok && now.Before(own.Expires) {
		found = own.Upstreams
	}
	if shared, ok := view.suspects[f]; ok && now.Before(shared.Expires) {
		found = mergeUpstreams(found, shared.Upstreams)
	}
	return found
}

// died notes that an upstream died under the request and returns what to share.
func (t *suspectTable) died(now time.Time, f Fingerprint, id bundle.UpstreamID) Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.own[f]
	if !ok {
		t.makeRoom()
		t.order = append(t.order, f)
	}
	s := Suspect{
		Fingerprint: f,
		Upstreams:   mergeUpstreams(known.Upstreams, []bundle.UpstreamID{id}),
		Expires:     now.Add(t.keep),
	}
	t.own[f] = s
	return s
}

func (t *suspectTable) makeRoom() {
	if len(t.order) < maxSuspects {
		return
	}
	delete(t.own, t.order[0])
	t.order = t.order[1:]
}
