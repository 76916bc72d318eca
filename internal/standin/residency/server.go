package residency

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/protocol/enginehttp"
)

const tagBase = 36 // of the numbers in entity tags

// Handler serves the order and residency API of the engine.
func Handler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.LoadPath, orderHandler(e, Load))
	mux.HandleFunc("POST "+enginehttp.UnloadPath, orderHandler(e, Unload))
	mux.HandleFunc("GET "+enginehttp.ResidencyPath, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, e)
	})
	return mux
}

// serveReport answers with the report, or that it is not modified. The entity tag
// is a hash of the body, so that it changes with each change of the report.
func serveReport(w http.ResponseWriter, r *http.Request, e *Engine) {
	report := e.Report(time.Now())
	if e.config.NoEntityTags {
		writeJSON(w, http.StatusOK, report)
		return
	}
	body, err := json.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), tagBase)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

// Serving adapts an engine's memory to the generation part of the stand-in.
type Serving struct{ Engine *Engine }

// Serves reports whether a model, or an adapter, is ready under any version.
func (s Serving) Serves(name string) bool {
	for _, r := range s.Engine.Now().Residents {
		if r.State != enginehttp.StateReady {
			continue
		}
		if r.Slot.Adapter == name || (r.Slot.Adapter == "" && r.Slot.Model == name) {
			return true
		}
	}
	return false
}

// Handler serves orders, reports and, below /residency-admin, the switches.
func (s Serving) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", Handler(s.Engine))
	mux.Handle("/residency-admin/", http.StripPrefix("/residency-admin", AdminHandler(s.Engine)))
	return mux
}

// AdminHandler serves the switches of the stand-in: POST /faults, POST /restart and GET /account.
func AdminHandler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { e.Restart(time.Now()) })
	mux.HandleFunc("GET /account", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Account())
	})
	return mux
}

func orderHandler(e *Engine, action Action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order enginehttp.Order
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		outcome, answered := e.Deliver(time.Now(), action, order)
		if !answered {
			panic(http.ErrAbortHandler) // close the connection without an answer
		}
		writeJSON(w, status(outcome), enginehttp.Answer{Outcome: outcome})
	}
}

func status(outcome enginehttp.Outcome) int {
	switch outcome {
	case enginehttp.OutcomeOldFence:
		return http.StatusConflict
	case enginehttp.OutcomeNoMemory:
		return http.StatusInsufficientStorage
	case enginehttp.OutcomeNoModel:
		return http.StatusFailedDependency
	default:
		return http.StatusOK
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
