package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// run is one request that a server began to work on.
type run struct {
	request, server, service string
	at                       time.Time
}

// runs are the runs of all servers.
type runs struct {
	record *record

	mu   sync.Mutex // guards list
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	r.list = append(r.list, one)
	r.mu.Unlock()
	r.record.line("%s (%s) runs %s", one.server, one.service, one.request)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// server is a plain server of a service: it runs each request for a time and answers it.
type server struct {
	id, service, zone string
	work              time.Duration
	runs              *runs
	store             *objectapi.Memory
	link              *link
	http              *http.Server
	born              time.Time
}

// startServer starts a server and writes its entry.
func startServer(store *objectapi.Memory, id, service, zone string, work time.Duration, seen *runs) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, work: work, runs: seen, store: store, born: time.Now()}
	if s.link, err = newLink(l.Addr().String()); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, s.register("ready")
}

// register writes the entry with a state.
func (s *server) register(state string) error {
	data, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.link.address(), "zone": s.zone, "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "seq": 1, "born": s.born.UnixMilli(),
	})
	if err != nil {
		return err
	}
	old, err := s.store.Get(context.Background(), platform.KindUpstreams, object.Name(s.id))
	if err != nil {
		_, err = s.store.Create(context.Background(), platform.KindUpstreams, object.Name(s.id), data)
		return err
	}
	_, err = s.store.Update(context.Background(), platform.KindUpstreams, old.Name, data, old.Version)
	return err
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.runs.add(run{request: id, server: s.id, service: s.service, at: time.Now()})
	time.Sleep(s.work)
	h.Set("Response-Seal", "seal."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s %s (%d bytes)\n", s.id, id, r.URL.Path, len(body))
}
