package objectapi

import (
	"encoding/json"
	"net/http"
	"time"

	"savoryweir/internal/state/object"
)

// ListChange is one change to the instance list, visible after a lag.
type ListChange struct {
	Instance  object.Instance `json:"instance"`
	Removed   bool            `json:"removed"`
	LagMillis int             `json:"lag_ms"`
}

// AdminHandler serves the switches of the stand-in on a port of its own:
// POST /faults, POST /instances and GET /counts.
func AdminHandler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			m.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		var c ListChange
		if !decode(w, r, &c) {
			return
		}
		lag := time.Duration(c.LagMillis) * time.Millisecond
		if c.Removed {
			m.RemoveInstance(c.Instance.ID, lag)
			return
		}
		m.SetInstance(c.Instance, lag)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeBody(w)(json.Marshal(m.Counts())) })
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
