package engineclient_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/transport/engineclient"
)

// responseRecorder records the status and the body length of a response.
type responseRecorder struct {
	http.ResponseWriter
	status int
	length int
}

func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

func (r *responseRecorder) Write(b []byte) (int, error) {
	r.length += len(b)
	return r.ResponseWriter.Write(b)
}

// reportLog holds the statuses and body lengths of the reports that a server sent.
type reportLog struct {
	mu       sync.Mutex // guards the fields below
	statuses []int
	lengths  []int
}

// record wraps a handler and records its responses to report requests.
func (r *reportLog) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		recorder := &responseRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, request)
		if request.URL.Path == enginehttp.ResidencyPath {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.statuses = append(r.statuses, recorder.status)
			r.lengths = append(r.lengths, recorder.length)
		}
	})
}

// lastStatus returns the status of the last report.
func (r *reportLog) lastStatus() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses[len(r.statuses)-1]
}

// startServer starts an engine's server and connects a session to it.
func startServer(t *testing.T, handler http.Handler) (*reportLog, *engineclient.Session) {
	t.Helper()
	sent := &reportLog{}
	server := httptest.NewServer(sent.record(handler))
	t.Cleanup(server.Close)
	session, err := engineclient.Dial(t.Context(), bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}, nil)
	assert.NilError(t, err)
	t.Cleanup(session.Close)
	return sent, session
}

func newEngine(c residency.Config) *residency.Engine {
	c.Name, c.CapacityMiB = "e", 100
	store := weights.New(weights.Limits{LoadsPerSecond: 1, AtOnce: 1, AdapterTime: time.Millisecond, AdaptersInTransit: 1})
	return residency.New(c, store, time.Now())
}

func readReport(t *testing.T, s *engineclient.Session) ledger.Report {
	t.Helper()
	r, err := s.Report(t.Context())
	assert.NilError(t, err)
	return r
}

func TestUnchangedReportIsAnsweredWithNotModified(t *testing.T) {
	sent, session := startServer(t, residency.Handler(newEngine(residency.Config{ChecksFence: true})))
	first := readReport(t, session)
	for range 3 {
		assert.DeepEqual(t, readReport(t, session), first)
		assert.Equal(t, sent.lastStatus(), http.StatusNotModified)
		assert.Equal(t, sent.lengths[len(sent.lengths)-1], 0)
	}
}

// A report must be sent in full even if an order changed only the fencing number or the
// list of handled orders. Otherwise the control process would keep an outdated report.
func TestChangedReportIsSentInFull(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		sent, session := startServer(t, residency.Handler(newEngine(residency.Config{ChecksFence: checksFence})))
		boot := readReport(t, session).Boot
		tooLarge := newLoadOrder(boot, 5)
		tooLarge.Memory = 1000 // refused; only the fencing number and the handled orders change
		for _, order := range []ledger.Order{newLoadOrder(boot, 4), tooLarge} {
			assert.NilError(t, session.Send(t.Context(), order))
			r := readReport(t, session)
			assert.Equal(t, sent.lastStatus(), http.StatusOK)
			assert.Equal(t, r.Fence, order.Fence)
			assert.Equal(t, r.Handled[len(r.Handled)-1], order.ID())
			assert.DeepEqual(t, readReport(t, session), r)
			assert.Equal(t, sent.lastStatus(), http.StatusNotModified)
		}
	}
}

func TestRestartWithoutClosedConnectionChangesReportedBoot(t *testing.T) {
	engine := newEngine(residency.Config{ChecksFence: true})
	sent, session := startServer(t, residency.Handler(engine))
	before := readReport(t, session)
	engine.Restart(time.Now())
	after := readReport(t, session)
	assert.Equal(t, sent.lastStatus(), http.StatusOK)
	assert.Assert(t, after.Boot != before.Boot)
	assert.ErrorIs(t, session.Send(t.Context(), newLoadOrder(before.Boot, 1)), engineclient.ErrRestarted)
}

func TestEngineWithoutEntityTagsSendsEachReportInFull(t *testing.T) {
	sent, session := startServer(t, residency.Handler(newEngine(residency.Config{NoEntityTags: true})))
	first := readReport(t, session)
	assert.DeepEqual(t, readReport(t, session), first)
	assert.Equal(t, sent.lastStatus(), http.StatusOK)
}

// The memory of a lost order stays charged after "not modified", as after the same report
// sent in full. The report that shows a later order with a higher fencing number settles
// the lost order.
func TestNotModifiedHasSameEffectOnLedgerAsRepeatedReport(t *testing.T) {
	engine := newEngine(residency.Config{ChecksFence: true})
	sent, session := startServer(t, residency.Handler(engine))
	l := &ledger.Ledger{}
	l.SetEngine("e", 100, ledger.DeliveryFenced)
	l.ApplyReport("e", readReport(t, session))
	slot := ledger.Slot{Model: "m", Version: "1"}
	lost, err := l.PlanLoad("e", slot, 10, 3) // recorded in the ledger, but lost on the way to the engine
	assert.NilError(t, err)
	l.ApplyReport("e", readReport(t, session))
	assert.Equal(t, sent.lastStatus(), http.StatusNotModified)
	assert.Equal(t, l.Engine("e").ChargedMemory(), bundle.MiB(10))
	unload, err := l.PlanUnload("e", slot, true, 4)
	assert.NilError(t, err)
	assert.NilError(t, session.Send(t.Context(), unload))
	l.ApplyReport("e", readReport(t, session))
	assert.Equal(t, sent.lastStatus(), http.StatusOK)
	assert.Equal(t, l.Engine("e").ChargedMemory(), bundle.MiB(0))
	assert.NilError(t, session.Send(t.Context(), lost)) // a delayed copy of the lost order is refused
	assert.Equal(t, engine.Account().UsedMiB, int64(0))
}

// A "not modified" response that does not carry the requested strong tag does not confirm
// the last report and must be rejected.
func TestNotModifiedIsAcceptedOnlyForRequestedTag(t *testing.T) {
	cases := map[string]struct {
		firstTag, laterTag string
		isRejected         bool
		isConditional      bool
	}{
		"same tag":     {`"a"`, `"a"`, false, true},
		"other tag":    {`"a"`, `"b"`, true, true},
		"no tag":       {`"a"`, "", true, true},
		"weak tag":     {`W/"a"`, `W/"a"`, true, false},
		"no first tag": {"", `"a"`, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var requestedTags []string
			_, session := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requestedTags = append(requestedTags, r.Header.Get("If-None-Match"))
				if len(requestedTags) == 1 {
					w.Header().Set("ETag", c.firstTag)
					_, _ = fmt.Fprint(w, `{"boot":"b","sequence":7}`)
					return
				}
				w.Header().Set("ETag", c.laterTag)
				w.WriteHeader(http.StatusNotModified)
			}))
			first := readReport(t, session)
			second, err := session.Report(t.Context())
			assert.Equal(t, requestedTags[1] != "", c.isConditional)
			if c.isRejected {
				assert.ErrorIs(t, err, engineclient.ErrUnexpectedStatus)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, second, first)
		})
	}
}
