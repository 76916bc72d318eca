// Package entry is the data path: it takes requests of callers over HTTP, picks
// an upstream for each and passes the answer back.
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

// processName names the process in logs and on the time line.
const processName = "entry"

const componentEntry logging.Component = "entry"

// Dependencies are what the entry uses of other parts.
type Dependencies struct {
	Views    ViewSource
	Claims   Claims
	Reporter Reporter // nil reports nothing
	Log      zerolog.Logger
	Now      func() time.Time // nil takes the system's clock
	Clock    *hlc.Clock       // nil makes one from Now

	// FollowsPeer reports whether the view is that of another instance. Nil is never.
	FollowsPeer func() bool
}

// Server is the entry process.
type Server struct {
	settings     Settings
	log          zerolog.Logger
	now          func() time.Time
	views        ViewSource
	claims       Claims
	reporter     Reporter
	recorder     *timeline.Recorder
	metrics      *metrics
	repeatClient *upstreamhttp.Client // for requests that may be repeated
	onceClient   *upstreamhttp.Client // for orders
	table        *upstreamTable
	reports      *pendingReports
	demand       *demandCounts
	drain        *drainer

	sentinels *sentinels
}

// New returns a server. Run or Handler serves it.
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

// createClients builds the clients to upstreams.
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

// Recorder returns the time line of the process.
func (s *Server) Recorder() *timeline.Recorder { return s.recorder }

// Close closes idle connections to upstreams.
func (s *Server) Close() {
	s.sentinels.close()
	s.repeatClient.CloseIdle()
	s.onceClient.CloseIdle()
}

// Handler returns the interface for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(chatPath, s.postOnly(s.serveChat))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.rejectUnrouted(w, r, notFoundFailure(httpapi.CodeUnknownRoute, "No interface has this path."))
	})
	return s.limitInProgress(mux)
}

// postOnly refuses other methods.
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

// rejectUnrouted answers a request that is no call.
func (s *Server) rejectUnrouted(w http.ResponseWriter, r *http.Request, f *Failure) {
	if mayBeResend(r) {
		f = f.forResend()
	}
	headers, err := httpapi.ParseHeaders(r.Header)
	httpapi.WriteError(w, f.Status, f.detail(requestID(headers, err)))
}

// limitInProgress bounds the requests in progress and lets a shutdown wait for them.
// Paths of services pass the mux by, which would redirect unclean ones.
func (s *Server) limitInProgress(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		active := &activeCall{Method: r.Method, Path: r.URL.Path, Started: s.now()}
		if !s.drain.begin(active, s.settings.Callers.MaxStreams) {
			s.metrics.refusedRequests.Inc()
			s.rejectUnrouted(w, r, unavailableFailure(httpapi.CodeNoCapacity, "This instance has too many requests in progress.",
				order.OutcomeNotRun, s.settings.Queue.RetryAfter))
			return
		}
		defer s.drain.end(active)
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

// recordFinished notes a whole answer.
func (s *Server) recordFinished(c *call) {
	s.metrics.duration.WithLabelValues(string(c.service.Name)).Observe(s.now().Sub(c.started).Seconds())
	s.recordEvent(c, timeline.KindRequestFinished, "", "")
}
