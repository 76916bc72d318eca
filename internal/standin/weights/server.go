package weights

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	loadsPath    = "/loads"
	slowdownPath = "/slowdown"
	kindParam    = "kind"
	factorParam  = "factor"
	// pollInterval bounds how late a finished load is noticed when others have joined.
	pollInterval = 20 * time.Millisecond
)

// Handler serves the store over HTTP: POST /loads?kind=model answers when the load has
// finished, and POST /slowdown?factor=3 slows down adapter loads.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+loadsPath, func(_ http.ResponseWriter, r *http.Request) {
		finished := make(chan struct{})
		s.Start(time.Now(), Kind(r.URL.Query().Get(kindParam)), func(time.Time) { close(finished) })
		s.await(finished)
	})
	mux.HandleFunc("POST "+slowdownPath, func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.URL.Query().Get(factorParam), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SlowAdapters(factor)
	})
	return mux
}

func (s *Store) await(finished <-chan struct{}) {
	for {
		wait := pollInterval
		if due, ok := s.Next(); ok {
			wait = min(wait, time.Until(due))
		}
		select {
		case <-finished:
			return
		case <-time.After(wait):
			s.Advance(time.Now())
		}
	}
}

// Remote loads from a store over HTTP.
type Remote struct {
	URL    string
	Client *http.Client
}

// Start begins a load and calls done from a goroutine when it has finished.
// A load that the store does not answer never finishes.
func (r *Remote) Start(_ time.Time, kind Kind, done func(at time.Time)) {
	target := r.URL + loadsPath + "?" + url.Values{kindParam: {string(kind)}}.Encode()
	go func() {
		response, err := r.Client.Post(target, "", nil)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			done(time.Now())
		}
	}()
}
