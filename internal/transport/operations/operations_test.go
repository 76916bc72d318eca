package operations

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/status"
	"savoryweir/internal/state/timeline"
)

func call(t *testing.T, h http.Handler, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code, w.Body.String()
}

func TestPathsServeTheirSources(t *testing.T) {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "tested_total", Help: "Test."})
	registry.MustRegister(counter)
	recorder := timeline.NewRecorder(hlc.New(time.Now), "control", "i1", "z1", 4)
	recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	notReady := errors.New("no bundle is in force")
	h := Handler(Options{
		Metrics: registry,
		Ready:   func() error { return notReady },
		Status:  func() status.Status { return status.Status{Instance: "i1", Generation: 7} },
		Events:  recorder.Events,
	})
	for _, test := range []struct {
		method, path string
		code         int
		want         string
	}{
		{"GET", PathHealth, 200, "ok"},
		{"GET", PathReady, 503, "no bundle is in force"},
		{"GET", PathMetrics, 200, "tested_total 0"},
		{"GET", PathStatus, 200, `"ready":false,"not_ready":"no bundle is in force","generation":7`},
		{"GET", PathTimeline, 200, `"kind":"process.started"`},
		{"POST", PathStatus, 405, ""},
		{"GET", "/debug", 404, ""},
	} {
		code, body := call(t, h, test.method, test.path)
		assert.Equal(t, code, test.code, test.path)
		assert.Check(t, is.Contains(body, test.want), test.path)
	}
	notReady = nil
	code, _ := call(t, h, "GET", PathReady)
	assert.Equal(t, code, 200)
}

func TestServeReturnsWhenContextEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	recorder := timeline.NewRecorder(hlc.New(time.Now), "control", "i1", "z1", 4)
	recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, listener, Handler(Options{Metrics: prometheus.NewRegistry(), Events: recorder.Events}), time.Second)
	}()
	response, err := http.Get("http://" + listener.Addr().String() + PathTimeline)
	assert.NilError(t, err)
	events, err := timelinefile.Read(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.DeepEqual(t, events, recorder.Events())
	cancel()
	assert.NilError(t, <-served)
}
