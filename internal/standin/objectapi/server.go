package objectapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"savoryweir/internal/protocol/objecthttp"
	"savoryweir/internal/state/object"
)

// maxWatchWait bounds how long a watch may wait.
const maxWatchWait = time.Minute

// Handler serves the object API over HTTP.
func Handler(m *Memory) http.Handler {
	s := &server{store: m}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objecthttp.ObjectPath, s.get)
	mux.HandleFunc("PUT "+objecthttp.ObjectPath, s.put)
	mux.HandleFunc("DELETE "+objecthttp.ObjectPath, s.remove)
	mux.HandleFunc("GET "+objecthttp.ListPath, s.list)
	mux.HandleFunc("GET "+objecthttp.WatchPath, s.watch)
	mux.HandleFunc("GET "+objecthttp.InstancesPath, s.instances)
	return mux
}

type server struct{ store *Memory }

func target(r *http.Request) (object.Kind, object.Name) {
	return object.Kind(r.PathValue("kind")), object.Name(r.PathValue("name"))
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	kind, name := target(r)
	o, err := s.store.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(objecthttp.VersionHeader, objecthttp.FormatVersion(o.Version))
	_, _ = w.Write(o.Data)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxSizeBytes))
	if err != nil {
		writeError(w, object.ErrTooLarge)
		return
	}
	kind, name := target(r)
	var version object.Version
	if r.Header.Get("If-None-Match") == "*" {
		version, err = s.store.Create(r.Context(), kind, name, data)
	} else {
		var expected object.Version
		expected, err = objecthttp.ParseVersion(r.Header.Get("If-Match"))
		if err != nil {
			http.Error(w, "If-Match or If-None-Match is required", http.StatusPreconditionRequired)
			return
		}
		version, err = s.store.Update(r.Context(), kind, name, data, expected)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(objecthttp.VersionHeader, objecthttp.FormatVersion(version))
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) {
	expected, err := objecthttp.ParseVersion(r.Header.Get("If-Match"))
	if err != nil {
		http.Error(w, "If-Match is required", http.StatusPreconditionRequired)
		return
	}
	kind, name := target(r)
	if err := s.store.Delete(r.Context(), kind, name, expected); err != nil {
		writeError(w, err)
	}
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	kind, _ := target(r)
	found, err := s.store.List(r.Context(), kind, r.URL.Query().Get(objecthttp.PrefixParam))
	if err != nil {
		writeError(w, err)
		return
	}
	var reply objecthttp.Objects
	for _, o := range found {
		reply.Objects = append(reply.Objects, objecthttp.Object{Name: o.Name, Version: o.Version, Data: o.Data})
	}
	writeJSON(w, reply)
}

func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	kind, _ := target(r)
	after, err := objecthttp.ParseVersion(r.URL.Query().Get(objecthttp.AfterParam))
	if err != nil {
		http.Error(w, "the version to watch after is missing", http.StatusBadRequest)
		return
	}
	millis, err := strconv.Atoi(r.URL.Query().Get(objecthttp.WaitMillisParam))
	if err != nil {
		http.Error(w, "the time to wait is missing", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchWait)
	events, next, err := s.store.Watch(r.Context(), kind, after, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := objecthttp.Objects{Next: next}
	for _, e := range events {
		reply.Objects = append(reply.Objects, objecthttp.Object{
			Name: e.Object.Name, Version: e.Object.Version, Data: e.Object.Data, Deleted: e.Deleted,
		})
	}
	writeJSON(w, reply)
}

func (s *server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, object.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // close the connection without an answer
	case errors.Is(err, object.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, object.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, object.ErrThrottled):
		status = http.StatusTooManyRequests
	case errors.Is(err, object.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, object.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
