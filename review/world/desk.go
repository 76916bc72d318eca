package world

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Desk is a stand-in of a plain server.
type Desk struct {
	ID    string
	Slots int
	Work  time.Duration
	// Fails decides the status of a request that has been run. Nil means that all succeed.
	Fails func() (status int, fails bool)
	// OnRun is called when the server begins to work on a request.
	OnRun func(request, order string)

	running atomic.Int64
}

// ServeHTTP implements http.Handler.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection is gone
	}
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if r.Header.Get("Expect-Instance") != d.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := d.running.Add(1)
	defer d.running.Add(-1)
	if running > int64(d.Slots) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.OnRun(request, string(body))
	time.Sleep(d.Work)
	w.Header().Set("Response-Seal", Seal(request))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, d.Slots))
	if d.Fails != nil {
		if status, fails := d.Fails(); fails {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "the order was booked, but its confirmation could not be written\n")
			return
		}
	}
	_, _ = io.WriteString(w, "booked "+string(body))
}

// Seal is the signature of a server's answer.
func Seal(request string) string { return "seal-" + request }

// Runs counts which server began to work on which request. It is safe for concurrent use.
type Runs struct {
	mu        sync.Mutex
	byRequest map[string][]string
	byOrder   map[string][]string
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{byRequest: make(map[string][]string), byOrder: make(map[string][]string)}
}

// Add counts a run.
func (r *Runs) Add(server, request, order string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byRequest[request] = append(r.byRequest[request], server)
	r.byOrder[order] = append(r.byOrder[order], request)
}

// Of returns the servers that began to work on a request.
func (r *Runs) Of(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[request]
}

// OfOrder returns the requests by which an order was run.
func (r *Runs) OfOrder(order string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byOrder[order]
}
