package world

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// AdapterEngine is a stand-in of a model engine that holds one model and takes orders for its adapters.
type AdapterEngine struct {
	ID    string
	Model string
	Born  time.Time
	Slots int // for adapters
	Gap   time.Duration
	// Unanswered decides whether an order gets no answer and is carried out after LateBy. Nil means never.
	Unanswered func() bool
	LateBy     time.Duration
	Log        func(format string, arguments ...any)
	// OnOverload is called when the engine is ordered to load more adapters than it has slots for, with the
	// requests that it works on.
	OnOverload func(running int)

	mu        sync.Mutex // guards all below
	seq       uint64
	adapters  []string
	unloading []string // to be dropped when no request uses them
	users     map[string]int
	crashed   bool
}

// order is the body of an order.
type order struct {
	OpType, Model, Adapter, Holder string
	Expect                         uint64
	FenceToken                     uint64
}

// Models are the models in the entry and the report of the engine.
func (e *AdapterEngine) Models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []map[string]any{{"name": e.Model, "version": 1, "adapters": append([]string{}, e.adapters...)}}
}

// ServeHTTP implements http.Handler.
func (e *AdapterEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is gone
	}
	switch {
	case r.URL.Path == "/v1/report":
		models := e.Models()
		e.mu.Lock()
		seq := e.seq
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": models, "busy": false, "seq": seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 144622, "handles": 0, "born": e.Born.UnixMilli(),
		})
	case r.URL.Path == "/v1/order":
		e.takeOrder(w, r, body)
	default:
		e.stream(w, r)
	}
}

func (e *AdapterEngine) takeOrder(w http.ResponseWriter, r *http.Request, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || r.Header.Get("Expect-Instance") != e.ID {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.Unanswered != nil && e.Unanswered() {
		e.Log("%s leaves an order unanswered: %s %s, expect %d", e.ID, o.OpType, o.Adapter, o.Expect)
		time.AfterFunc(e.LateBy, func() { e.carryOut(o, "late") })
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.carryOut(o, "at once"))
}

// carryOut carries an order out and returns the status of the answer.
func (e *AdapterEngine) carryOut(o order, when string) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		e.Log("%s, order %s: %s %s, expect %d: %d; seq is %d, holds %v, unloads %v when unused", e.ID, when, o.OpType, o.Adapter, o.Expect, status, e.seq, e.adapters, e.unloading)
	}()
	holds := slices.Contains(e.adapters, o.Adapter)
	isUnload := o.OpType == "model_unload"
	switch {
	case e.crashed || o.Adapter == "":
		return http.StatusConflict
	case o.Expect != e.seq:
		return http.StatusConflict
	case isUnload != holds:
		return http.StatusOK // the order holds already
	case isUnload && slices.Contains(e.unloading, o.Adapter):
		return http.StatusAccepted // it is being carried out
	case isUnload && e.users[o.Adapter] > 0:
		e.seq++
		e.unloading = append(e.unloading, o.Adapter)
		return http.StatusAccepted
	case isUnload:
		e.seq++
		e.drop(o.Adapter)
		return http.StatusOK
	case len(e.adapters) < e.Slots:
		e.seq++
		e.adapters = append(e.adapters, o.Adapter)
		return http.StatusAccepted
	case len(e.unloading) > 0:
		return http.StatusConflict // another order is under way
	default:
		running := 0
		for _, n := range e.users {
			running += n
		}
		e.crashed = true
		e.OnOverload(running)
		return http.StatusAccepted
	}
}

// drop removes an adapter. The caller holds e.mu.
func (e *AdapterEngine) drop(adapter string) {
	isIt := func(a string) bool { return a == adapter }
	e.adapters, e.unloading = slices.DeleteFunc(e.adapters, isIt), slices.DeleteFunc(e.unloading, isIt)
}

// use begins or ends the use of an adapter by a request. It reports whether the engine holds the adapter.
func (e *AdapterEngine) use(adapter string, change int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change > 0 && (e.crashed || !slices.Contains(e.adapters, adapter) || slices.Contains(e.unloading, adapter)) {
		return false
	}
	if e.users == nil {
		e.users = make(map[string]int)
	}
	if e.users[adapter] += change; e.users[adapter] == 0 && slices.Contains(e.unloading, adapter) {
		e.drop(adapter)
		e.Log("%s has unloaded %s, which no request uses any more", e.ID, adapter)
	}
	return true
}

func (e *AdapterEngine) hasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// stream answers with as many events as the request has output tokens, and breaks off when the engine crashes.
func (e *AdapterEngine) stream(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	if r.Header.Get("Expect-Instance") != e.ID || model != e.Model || !e.use(adapter, 1) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.use(adapter, -1)
	e.Log("%s runs request %s with %s", e.ID, request, adapter)
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(most)
	w.Header().Set("Response-Seal", Seal(request))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		if e.hasCrashed() {
			e.Log("%s breaks off the answer to request %s before event %d", e.ID, request, n)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, Event(request, n))
		_ = http.NewResponseController(w).Flush()
	}
}
