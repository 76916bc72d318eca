// Package entry is the data path: it accepts requests of callers over HTTP, picks an upstream for
// each and forwards the answer.
package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/logging"
	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/internal/transport/upstreamhttp"
)

// processName is the name of the process in logs and in the timeline.
const processName = "entry"

const componentEntry logging.Component = "entry"

// Dependencies are the interfaces and tools that a Server uses.
type Dependencies struct {
	Views    ViewSource
	Claims   Claims
	Reporter Reporter // nil if nothing is reported
	Log      zerolog.Logger
	Now      func() time.Time // nil for the system clock
	Clock    *hlc.Clock       // nil for a clock that is based on Now

	// FollowsPeer reports whether the view is that of another instance. Nil counts as false.
	FollowsPeer func() bool
}

// Server serves callers and operators and holds the state of the entry process.
type Server struct {
	settings     Settings
	log          zerolog.Logger
	now          func() time.Time
	views        ViewSource
	claims       Claims
	reporter     Reporter
	recorder     *timeline.Recorder
	metrics      *metrics
	repeatClient *upstreamhttp.Client // sends requests that may be repeated
	onceClient   *upstreamhttp.Client // sends orders, which must not be repeated
	table        *upstreamTable
	reports      *pendingReports
	demand       *demandCounts
	drain        *drainer

	sentinels *sentinels
}

// New returns a server. It fails if the TLS files for upstreams can't be loaded.
func New(s Settings, d Dependencies) (*Server, error) {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Clock == nil {
		d.Clock = hlc.New(d.Now)
	}
	server := &Server{
		settings: s,
		log:      logging.WithComponent(d.Log, componentEntry),
		now:      d.Now,
		views:    d.Views,
		claims:   d.Claims,
		reporter: d.Reporter,
		table:    newUpstreamTable(s, d.Views),
		reports:  newPendingReports(),
		demand:   newDemandCounts(),
		drain:    newDrainer(),

		sentinels: newSentinels(),
	}
	server.recorder = timeline.NewRecorder(d.Clock, processName, s.Instance.ID, s.Instance.Zone, s.Operations.TimelineEvents)
	server.metrics = newMetrics(func() float64 {
		calls, _ := server.drain.inProgress()
		return float64(len(calls))
	})
	server.metrics.registerFollowsPeer(d.FollowsPeer)
	return server, server.createClients()
}

// createClients creates the HTTP clients for upstreams. Orders always use HTTP/1.
func (s *Server) createClients() error {
	u := s.settings.Upstreams
	settings := upstreamhttp.Settings{
		Protocol: u.Protocol, ConnectTimeout: u.ConnectTimeout, PingAfter: u.PingAfter, PingTimeout: u.ProbeTimeout,
	}
	if u.TLS.Enabled() {
		source, err := tlsconf.NewSource(u.TLS)
		if err != nil {
			return err
		}
		settings.TLS = source
	}
	s.repeatClient = upstreamhttp.NewClient(settings)
	settings.Protocol = upstreamhttp.ProtocolHTTP1
	s.onceClient = upstreamhttp.NewClient(settings)
	return nil
}

// Recorder returns the timeline recorder of the process.
func (s *Server) Recorder() *timeline.Recorder { return s.recorder }

// Close closes sentinel connections and idle connections to upstreams.
func (s *Server) Close() {
	s.sentinels.close()
	s.repeatClient.CloseIdle()
	s.onceClient.CloseIdle()
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(chatPath, s.postOnly(s.serveChat))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.rejectUnrouted(w, r, notFoundFailure(httpapi.CodeUnknownRoute, "No interface has this path."))
	})
	return s.limitInProgress(mux)
}

// postOnly rejects requests whose method is not POST.
func (s *Server) postOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			next(w, r)
			return
		}
		w.Header().Set("Allow", http.MethodPost)
		s.rejectUnrouted(w, r, &Failure{
			Code: httpapi.CodeMethodNotAllowed, Status: http.StatusMethodNotAllowed,
			Message: "This path takes POST only.", Outcome: order.OutcomeNotRun,
		})
	}
}

// rejectUnrouted writes the failure of a request that was rejected before a call was created.
func (s *Server) rejectUnrouted(w http.ResponseWriter, r *http.Request, f *Failure) {
	if mayBeResend(r) {
		f = f.forResend()
	}
	headers, err := httpapi.ParseHeaders(r.Header)
	httpapi.WriteError(w, f.Status, f.detail(requestID(headers, err)))
}

// limitInProgress limits the requests in progress and registers each, so that a shutdown waits for
// it. Paths of services bypass the mux, which would redirect paths that are not clean.
func (s *Server) limitInProgress(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := &activeCall{Method: r.Method, Path: r.URL.Path, Started: s.now()}
		if !s.drain.begin(current, s.settings.Callers.MaxStreams) {
			s.metrics.refusedRequests.Inc()
			s.rejectUnrouted(w, r, unavailableFailure(httpapi.CodeNoCapacity, "This instance has too many requests in progress.",
				order.OutcomeNotRun, s.settings.Queue.RetryAfter))
			return
		}
		defer s.drain.end(current)
		if s.drain.isStopping() {
			w.Header().Set("Connection", "close")
		}
		if strings.HasPrefix(r.URL.Path, servicesPath) {
			s.servePlain(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// recordFinished records the duration of a completely answered call and its event in the timeline.
func (s *Server) recordFinished(c *call) {
	s.metrics.duration.WithLabelValues(string(c.service.Name)).Observe(s.now().Sub(c.started).Seconds())
	s.recordEvent(c, timeline.KindRequestFinished, "", "")
}
