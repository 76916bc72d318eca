package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// pageLength is the largest number of objects in one answer to a list.
const pageLength = 500

// Handler serves the object API over HTTP.
func Handler(m *Memory) http.Handler {
	s := &server{store: m}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ObjectPattern, s.get)
	mux.HandleFunc("PUT "+platform.ObjectPattern, s.put)
	mux.HandleFunc("PUT "+platform.StatusPattern, s.touch)
	mux.HandleFunc("DELETE "+platform.ObjectPattern, s.remove)
	mux.HandleFunc("GET "+platform.KindPattern, s.listOrWatch)
	mux.HandleFunc("POST "+platform.KindPattern, s.create)
	return s.withEra(mux)
}

// withEra sets the store's era in all answers once the store has come back from a copy:
// the era of the content, or the current one in answers without content.
func (s *server) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s.store}, r)
	})
}

// eraWriter sets the era as the head of an answer is written.
type eraWriter struct {
	http.ResponseWriter
	store *Memory
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if w.Header().Get(platform.HeaderStoreEra) == "" {
		setEra(w, w.store.Era())
	}
	w.ResponseWriter.WriteHeader(status)
}

func setEra(w http.ResponseWriter, era object.Era) {
	if era > 0 {
		platform.EncodeStoreEra(w.Header(), era)
	}
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if w.Header().Get(platform.HeaderStoreEra) == "" {
		setEra(w, w.store.Era())
	}
	return w.ResponseWriter.Write(data)
}

type server struct{ store *Memory }

func target(r *http.Request) (object.Kind, object.Name) {
	return object.Kind(r.PathValue("kind")), object.Name(r.PathValue("name"))
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	kind, name := target(r)
	o, err := s.store.Get(r.Context(), kind, name)
	writeObject(w, o, err)
}

func readObject(w http.ResponseWriter, r *http.Request) (object.Object, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*object.MaxSizeBytes))
	if err != nil {
		return object.Object{}, object.ErrTooLarge
	}
	return platform.DecodeObject(object.Kind(r.PathValue("kind")), 0, body)
}

func (s *server) create(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err == nil {
		o.Version, err = s.store.Create(r.Context(), o.Kind, o.Name, o.Data)
	}
	writeObject(w, o, err)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err == nil {
		_, o.Name = target(r)
		o.Version, err = s.store.Update(r.Context(), o.Kind, o.Name, o.Data, o.Version)
	}
	writeObject(w, o, err)
}

func (s *server) touch(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err == nil {
		_, o.Name = target(r)
		o.Version, err = s.store.Touch(r.Context(), o.Kind, o.Name, o.Version)
	}
	writeObject(w, o, err)
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) {
	query, err := platform.ParseStoreQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kind, name := target(r)
	expected, err := object.NewVersion(s.store.Era(), query.ExpectedRevision)
	if err == nil {
		err = s.store.Delete(r.Context(), kind, name, expected)
	}
	if err != nil {
		writeError(w, err)
	}
}

func (s *server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, _ := target(r)
	query, err := platform.ParseStoreQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if query.IsWatch {
		wait := min(query.Wait, platform.MaxWatchWait)
		after, err := object.NewVersion(s.store.Era(), query.WatchAfter)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		events, next, err := s.store.WatchSince(r.Context(), kind, after, wait)
		if err != nil {
			writeError(w, err)
			return
		}
		setEra(w, next.Era())
		writeBody(w)(platform.EncodeEvents(events, next))
		return
	}
	s.list(w, r, kind, query)
}

func (s *server) list(w http.ResponseWriter, r *http.Request, kind object.Kind, query platform.StoreQuery) {
	list := s.store.ListAt
	if query.StaleOK {
		list = s.store.ListStaleAt
	}
	found, version, err := list(r.Context(), kind)
	if err == nil && kind == object.KindInstances {
		var listed []object.Object
		listed, err = s.instances(r.Context())
		found = append(found, listed...)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	found = slices.DeleteFunc(found, func(o object.Object) bool { return o.Name <= query.After })
	more := len(found) > pageLength
	setEra(w, version.Era())
	writeBody(w)(platform.EncodePage(platform.Page{Objects: found[:min(pageLength, len(found))], More: more, Version: version}))
}

// instances returns the instances that tests have listed, as objects.
func (s *server) instances(ctx context.Context) ([]object.Object, error) {
	list, err := s.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var objects []object.Object
	for _, i := range list {
		data, err := json.Marshal(i)
		if err != nil {
			return nil, err
		}
		objects = append(objects, object.Object{Kind: object.KindInstances, Name: object.Name(i.ID), Data: data})
	}
	return objects, nil
}

func writeObject(w http.ResponseWriter, o object.Object, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	setEra(w, o.Version.Era())
	writeBody(w)(platform.EncodeObject(o))
}

func writeBody(w http.ResponseWriter) func([]byte, error) {
	return func(body []byte, err error) {
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, object.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // close the connection without an answer
	case errors.Is(err, object.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, object.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, object.ErrHistoryGone):
		status = http.StatusGone
	case errors.Is(err, object.ErrThrottled):
		status = http.StatusTooManyRequests
	case errors.Is(err, object.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, object.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
