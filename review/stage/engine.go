package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

const (
	heartbeat   = 1200 * time.Millisecond // heartbeatMs in DEPLOY.md
	model       = "tags"
	engineClass = "tagger-llm"
)

// engine is a model engine of one software version. It answers a request by a stream of events, and goes on after
// Last-Event-Id where a request has one.
type engine struct {
	id, zone, version string
	pace              time.Duration // from one event to the next
	store             *objectStore
	record            *record
	address           string
	born              time.Time
	stopped           chan struct{}
}

// startEngine starts an engine, which writes its entry at once and then at every heartbeat, if it is missing.
func startEngine(o options, store *objectStore, id, zone, version string, pace time.Duration) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, version: version, pace: pace, store: store, record: o.record, address: l.Addr().String(), born: time.Now(), stopped: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	if err := e.write(); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

func (e *engine) beat() {
	for next := e.born.Add(heartbeat); ; next = next.Add(heartbeat) {
		select {
		case <-time.After(time.Until(next)):
			if err := e.write(); err != nil {
				e.record.line("%s: its entry is not taken: %v", e.id, err)
			}
		case <-e.stopped:
			return
		}
	}
}

var errAway = errors.New("the store is away")

// write writes the entry unless the store has it.
func (e *engine) write() error {
	if e.store.isAway() {
		return errAway
	}
	data, err := json.Marshal(map[string]any{
		"service": engineClass, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": e.born.UnixMilli(),
		"models": e.models(), "atHand": map[string]any{"inMemory": []string{model}, "onDisk": []string{model}},
	})
	if err != nil {
		return err
	}
	_, err = e.store.Get(context.Background(), platform.KindUpstreams, object.Name(e.id))
	if !errors.Is(err, object.ErrNotFound) {
		return err
	}
	_, err = e.store.Create(context.Background(), platform.KindUpstreams, object.Name(e.id), data)
	e.record.line("%s (software %s) writes its entry: %v", e.id, e.version, err)
	return err
}

func (e *engine) models() any {
	return []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h, id := w.Header(), r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == platform.ReportPath:
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": e.models(), "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": e.born.UnixMilli(),
		})
	case r.URL.Path == platform.OrderPath:
		w.WriteHeader(http.StatusOK) // what it may be ordered to do it does already
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case r.Header.Get("Model") != model:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		e.stream(w, r, id)
	}
}

// stream writes one event after the other. Each tells the engine's software version.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	last, err := strconv.Atoi(most)
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.record.line("%s (software %s) runs %s after event %d, which resumes %q", e.id, e.version, id, after, r.Header.Get("Resumes"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal."+e.id+"."+id)
	for n := after + 1; n <= last; n++ {
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, e.version, e.id)
		_ = http.NewResponseController(w).Flush()
	}
}
