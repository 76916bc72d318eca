// Package service is a small stand-in of a plain service for tests and the
// demo. Reads may be repeated. Orders may not, so it counts the runs of each.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/order"
)

// OrderPath starts the paths of orders.
const OrderPath = "/orders/"

const maxBodyBytes = 1 << 20

// FaultKind is a kind of misbehaviour.
type FaultKind string

// The kinds of faults.
const (
	// FaultHang never answers and does not run the call.
	FaultHang FaultKind = "hang"
	// FaultFail answers with status 500 and does not run the call.
	FaultFail FaultKind = "fail"
	// FaultSlow runs the call after a delay, also when the caller has left.
	FaultSlow FaultKind = "slow"
	// FaultRunThenCut runs the call and closes the connection without an answer.
	FaultRunThenCut FaultKind = "run-then-cut"
	// FaultCutAnswer runs the call and closes the connection within the answer.
	FaultCutAnswer FaultKind = "cut-answer"
	// FaultCrossed runs the call and answers with another request's id.
	FaultCrossed FaultKind = "crossed"
	// FaultRefuse refuses the call before running it.
	FaultRefuse FaultKind = "refuse"
)

// Fault is one misbehaviour to show.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Match       string    `json:"match"` // text that the path must hold, empty for all
	Count       int       `json:"count"` // calls to hit, zero for no end
	DelayMillis int       `json:"delay_ms"`
}

// Runs is the number of runs of one order.
type Runs struct {
	Order string `json:"order"`
	Runs  int    `json:"runs"`
}

// Answer is the body of the answer to a call.
type Answer struct {
	Path  string `json:"path"`
	Order string `json:"order,omitempty"`
	Runs  int    `json:"runs"`
}

// Service is the stand-in.
type Service struct {
	mu     sync.Mutex // guards the fields below
	runs   map[string]int
	reads  int
	faults []Fault
}

// New returns a service without faults.
func New() *Service { return &Service{runs: make(map[string]int)} }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.AllRuns())
	})
	mux.HandleFunc("POST /admin/fault", s.serveFault)
	mux.HandleFunc("POST /admin/clear", func(http.ResponseWriter, *http.Request) { s.ClearFaults() })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Inject makes the service misbehave.
func (s *Service) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Count == 0 {
		f.Count = -1
	}
	s.faults = append(s.faults, f)
}

// ClearFaults ends all misbehaviour.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// AllRuns returns the runs of each order.
func (s *Service) AllRuns() []Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Runs, 0, len(s.runs))
	for id, n := range s.runs {
		all = append(all, Runs{Order: id, Runs: n})
	}
	slices.SortFunc(all, func(a, b Runs) int { return strings.Compare(a.Order, b.Order) })
	return all
}

// RunsOf returns the runs of one order.
func (s *Service) RunsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Reads returns how often a read ran.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(f)
}

func (s *Service) take(path string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !strings.Contains(path, f.Match) {
			continue
		}
		if s.faults[i].Count > 0 {
			s.faults[i].Count--
		}
		if s.faults[i].Count == 0 {
			s.faults = slices.Delete(s.faults, i, i+1)
		}
		return f
	}
	return Fault{}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	w.Header().Set(httpapi.HeaderRequestID, r.Header.Get(httpapi.HeaderRequestID))
	fault := s.take(r.URL.Path)
	switch fault.Kind {
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultFail:
		http.Error(w, "the service failed", http.StatusInternalServerError)
		return
	case FaultRefuse:
		w.Header().Set(httpapi.HeaderOutcome, string(order.OutcomeNotRun))
		http.Error(w, "the service refused", http.StatusServiceUnavailable)
		return
	case FaultSlow:
		wait(context.WithoutCancel(r.Context()), time.Duration(fault.DelayMillis)*time.Millisecond)
	}
	answer := s.run(r.URL.Path, r.Header.Get(httpapi.HeaderIdempotencyKey), string(body))
	s.answer(w, fault, answer)
}

func wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// run counts the call. An order is known by its key, or else by its body.
func (s *Service) run(path, key, body string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(path, OrderPath) {
		s.reads++
		return Answer{Path: path, Runs: s.reads}
	}
	if key == "" {
		key = body
	}
	s.runs[key]++
	return Answer{Path: path, Order: key, Runs: s.runs[key]}
}

func (s *Service) answer(w http.ResponseWriter, fault Fault, answer Answer) {
	data, _ := json.Marshal(answer)
	switch fault.Kind {
	case FaultRunThenCut:
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		w.Header().Set(httpapi.HeaderRequestID, "another-request")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if fault.Kind == FaultCutAnswer {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
