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

// recorder notes the status and the length of each report.
type recorder struct {
	http.ResponseWriter
	status int
	length int
}

func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

func (r *recorder) Write(b []byte) (int, error) {
	r.length += len(b)
	return r.ResponseWriter.Write(b)
}

// reports are the statuses and body lengths of the reports that a server sent.
type reports struct {
	mu       sync.Mutex // guards all below
	statuses []int
	lengths  []int
}

func (r *reports) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		watched := &recorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(watched, request)
		if request.URL.Path == enginehttp.ResidencyPath {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.statuses = append(r.statuses, watched.status)
			r.lengths = append(r.lengths, watched.length)
		}
	})
}

// last returns the status of the last report.
func (r *reports) last() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses[len(r.statuses)-1]
}

// serve starts an engine's server and connects to it.
func serve(t *testing.T, handler http.Handler) (*reports, *engineclient.Session) {
	t.Helper()
	seen := &reports{}
	server := httptest.NewServer(seen.watch(handler))
	t.Cleanup(server.Close)
	session, err := engineclient.Dial(t.Context(), bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}, nil)
	assert.NilError(t, err)
	t.Cleanup(session.Close)
	return seen, session
}

func newEngine(c residency.Config) *residency.Engine {
	c.Name, c.CapacityMiB = "e", 100
	store := weights.New(weights.Limits{LoadsPerSecond: 1, AtOnce: 1, AdapterTime: time.Millisecond, AdaptersInTransit: 1})
	return residency.New(c, store, time.Now())
}

func report(t *testing.T, s *engineclient.Session) ledger.Report {
	t.Helper()
	r, err := s.Report(t.Context())
	assert.NilError(t, err)
	return r
}

func TestUnchangedReportIsNotSentAgain(t *testing.T) {
	seen, session := serve(t, residency.Handler(newEngine(residency.Config{ChecksFence: true})))
	first := report(t, session)
	for range 3 {
		assert.DeepEqual(t, report(t, session), first)
		assert.Equal(t, seen.last(), http.StatusNotModified)
		assert.Equal(t, seen.lengths[len(seen.lengths)-1], 0)
	}
}

// Whatever an order changes, be it the fencing number or the list of handled orders alone,
// the next report is whole.
func TestReportIsWholeAfterEachChange(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		seen, session := serve(t, residency.Handler(newEngine(residency.Config{ChecksFence: fenced})))
		boot := report(t, session).Boot
		tooLarge := load(boot, 5)
		tooLarge.Memory = 1000 // refused: only what the engine has seen changes
		for _, order := range []ledger.Order{load(boot, 4), tooLarge} {
			assert.NilError(t, session.Send(t.Context(), order))
			r := report(t, session)
			assert.Equal(t, seen.last(), http.StatusOK)
			assert.Equal(t, r.Fence, order.Fence)
			assert.Equal(t, r.Handled[len(r.Handled)-1], order.ID())
			assert.DeepEqual(t, report(t, session), r)
			assert.Equal(t, seen.last(), http.StatusNotModified)
		}
	}
}

func TestRestartBehindAnOpenConnectionIsReported(t *testing.T) {
	engine := newEngine(residency.Config{ChecksFence: true})
	seen, session := serve(t, residency.Handler(engine))
	before := report(t, session)
	engine.Restart(time.Now())
	after := report(t, session)
	assert.Equal(t, seen.last(), http.StatusOK)
	assert.Assert(t, after.Boot != before.Boot)
	assert.ErrorIs(t, session.Send(t.Context(), load(before.Boot, 1)), engineclient.ErrRestarted)
}

func TestEngineWithoutEntityTagsSendsEachReportWhole(t *testing.T) {
	seen, session := serve(t, residency.Handler(newEngine(residency.Config{NoEntityTags: true})))
	first := report(t, session)
	assert.DeepEqual(t, report(t, session), first)
	assert.Equal(t, seen.last(), http.StatusOK)
}

// An order whose effect is awaited stays charged over "not modified", as over the same
// report sent whole, and is settled by the report that follows it.
func TestNotModifiedSettlesWhatTheWholeReportWould(t *testing.T) {
	engine := newEngine(residency.Config{ChecksFence: true})
	seen, session := serve(t, residency.Handler(engine))
	l := &ledger.Ledger{}
	l.SetEngine("e", 100, ledger.DeliveryFenced)
	l.ApplyReport("e", report(t, session))
	slot := ledger.Slot{Model: "m", Version: "1"}
	lost, err := l.PlanLoad("e", slot, 10, 3) // recorded, and lost on its way
	assert.NilError(t, err)
	l.ApplyReport("e", report(t, session))
	assert.Equal(t, seen.last(), http.StatusNotModified)
	assert.Equal(t, l.Engine("e").Charged(), bundle.MiB(10))
	unload, err := l.PlanUnload("e", slot, true, 4)
	assert.NilError(t, err)
	assert.NilError(t, session.Send(t.Context(), unload))
	l.ApplyReport("e", report(t, session))
	assert.Equal(t, seen.last(), http.StatusOK)
	assert.Equal(t, l.Engine("e").Charged(), bundle.MiB(0))
	assert.NilError(t, session.Send(t.Context(), lost)) // the copy comes late and is refused
	assert.Equal(t, engine.Account().UsedMiB, int64(0))
}

// Answers that do not say that the engine's report is the one read before are no reports.
func TestNotModifiedCountsOnlyForTheTagThatWasAskedFor(t *testing.T) {
	cases := map[string]struct {
		firstTag, laterTag string
		isRefused          bool
		isConditional      bool
	}{
		"same tag":  {`"a"`, `"a"`, false, true},
		"other tag": {`"a"`, `"b"`, true, true},
		"no tag":    {`"a"`, "", true, true},
		"weak tag":  {`W/"a"`, `W/"a"`, true, false},
		"never one": {"", `"a"`, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var asked []string
			_, session := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked = append(asked, r.Header.Get("If-None-Match"))
				if len(asked) == 1 {
					w.Header().Set("ETag", c.firstTag)
					_, _ = fmt.Fprint(w, `{"boot":"b","sequence":7}`)
					return
				}
				w.Header().Set("ETag", c.laterTag)
				w.WriteHeader(http.StatusNotModified)
			}))
			first := report(t, session)
			second, err := session.Report(t.Context())
			assert.Equal(t, asked[1] != "", c.isConditional)
			if c.isRefused {
				assert.ErrorIs(t, err, engineclient.ErrUnexpectedStatus)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, second, first)
		})
	}
}
