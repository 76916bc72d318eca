package entry

import (
	"time"

	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
	"savoryweir/internal/transport/orderclient"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/internal/transport/upstreamhttp"
)

// Settings are all settings of the entry process.
type Settings struct {
	settings.Common
	Instance   settings.Instance    `embed:"" prefix:"instance-"`
	Log        logging.Settings     `embed:"" prefix:"log-"`
	Callers    CallerSettings       `embed:"" prefix:"callers-"`
	Upstreams  UpstreamSettings     `embed:"" prefix:"upstreams-"`
	Queue      QueueSettings        `embed:"" prefix:"queue-"`
	Orders     OrderSettings        `embed:"" prefix:"orders-"`
	Claims     orderclient.Settings `embed:"" prefix:"claims-"`
	Operations OperationsSettings   `embed:"" prefix:"operations-"`
	Shutdown   ShutdownSettings     `embed:"" prefix:"shutdown-"`
	View       ViewSettings         `embed:"" prefix:"view-"`
}

// CallerSettings are the settings of the port for callers and the limits of their requests.
type CallerSettings struct {
	Address         string           `help:"IP address and port for callers." default:"127.0.0.1:8080"`
	MaxBodyBytes    int64            `help:"Maximum size of a request body, in bytes." default:"1048576" min:"1024" max:"67108864"`
	MaxHeaderBytes  int              `help:"Maximum size of the headers of a request, in bytes." default:"16384" min:"4096" max:"1048576"`
	MaxStreams      int              `help:"Maximum number of requests in progress." default:"4096" min:"1" max:"1000000"`
	Reserved        int              `help:"Requests in progress that are reserved for each service." default:"1024" min:"1" max:"1000000"`
	Shared          int              `help:"Requests in progress beyond the reserved ones, shared by all services." default:"1024" min:"0" max:"1000000"`
	ReadTimeout     time.Duration    `help:"Timeout to read the headers of a request, and another one to read its body." default:"10s" min:"100ms" max:"5m"`
	WriteTimeout    time.Duration    `help:"Timeout to write one stream event to a caller." default:"10s" min:"100ms" max:"5m"`
	IdleTimeout     time.Duration    `help:"Idle time after which a connection of a caller is closed." default:"60s" min:"1s" max:"1h"`
	DefaultDeadline time.Duration    `help:"Deadline of requests to services that configure none, unless the request has one." default:"60s" min:"100ms" max:"24h"`
	TLS             tlsconf.Settings `embed:"" prefix:"tls-"`
}

// UpstreamSettings are the settings of connections to upstreams and of the handling of their faults.
type UpstreamSettings struct {
	Protocol         upstreamhttp.Protocol `help:"HTTP version of generation requests and reads: http1 or h2c. Orders use http1." default:"http1" enum:"http1,h2c"`
	ConnectTimeout   time.Duration         `help:"Timeout to open a connection." default:"500ms" min:"10ms" max:"30s"`
	FirstByteTimeout time.Duration         `help:"Timeout for the first byte of an answer. Orders wait for it until their deadline." default:"10s" min:"100ms" max:"10m"`
	IdleTimeout      time.Duration         `help:"Time without a byte within an answer after which its connection counts as broken. Orders wait until their deadline." default:"2s" min:"50ms" max:"5m"`
	ProbeTimeout     time.Duration         `help:"Timeout for the answer to a probe on a new connection." default:"500ms" min:"10ms" max:"30s"`
	PingAfter        time.Duration         `help:"Time without a frame after which an HTTP/2 connection is pinged." default:"1s" min:"50ms" max:"5m"`
	MaxAttempts      int                   `help:"Maximum number of attempts for one repeatable request." default:"3" min:"1" max:"20"`
	MaxInFlight      int                   `help:"Maximum number of requests of this entry in progress at one upstream." default:"256" min:"1" max:"100000"`
	MaxEventBytes    int                   `help:"Maximum size of a stream event, in bytes." default:"65536" min:"1024" max:"16777216"`
	MaxAnswerBytes   int64                 `help:"Maximum size of an answer of a plain service, in bytes." default:"4194304" min:"1024" max:"67108864"`
	MaxTokens        int                   `help:"Maximum number of events of a stream." default:"131072" min:"1" max:"10000000"`
	RetryShare       float64               `help:"Retries allowed, as a share of the requests to a service." default:"0.1" min:"0" max:"1"`
	RetryBurst       float64               `help:"Retries allowed to a service beyond its share." default:"10" min:"0" max:"1000"`
	Settle           time.Duration         `help:"Time for which an upstream that is down keeps its place in the selection, until all instances know which requests ran on it." default:"4s" min:"0s" max:"10m"`
	Overbook         int                   `help:"Requests above an engine's batch size that may wait at it." default:"0" min:"0" max:"1000"`
	PrefixBonus      float64               `help:"Load in requests that a cached prompt prefix outweighs." default:"0" min:"0" max:"1000"`
	ZonePenalty      float64               `help:"Load in requests that an upstream in this availability zone may have more." default:"0.5" min:"0" max:"1000"`
	ProbeEvery       time.Duration         `help:"Interval between probes of an upstream that is down." default:"500ms" min:"50ms" max:"1m"`
	EjectAfter       int                   `help:"Consecutive failures after which an upstream is ejected." default:"5" min:"1" max:"1000"`
	EjectFor         time.Duration         `help:"Duration of an ejection." default:"2s" min:"100ms" max:"10m"`
	LeavingFor       time.Duration         `help:"Time for which an upstream's announcement in its answers that it is leaving is kept." default:"30s" min:"1s" max:"1h"`
	SuspectFor       time.Duration         `help:"Time for which a request is remembered during which processes of upstreams ended." default:"10m" min:"1s" max:"24h"`
	TLS              tlsconf.Settings      `embed:"" prefix:"tls-"`
}

// QueueSettings are the settings of the queue in which requests wait for an upstream.
type QueueSettings struct {
	Length     int           `help:"Maximum number of waiting requests for each service." default:"512" min:"0" max:"100000"`
	MaxWait    time.Duration `help:"Maximum time a request waits for an upstream." default:"5s" min:"0s" max:"10m"`
	RetryAfter time.Duration `help:"Minimum retry delay that refused callers are told." default:"1s" min:"1s" max:"10m"`
}

// OrderSettings are the settings of orders, which are calls that must not be repeated.
type OrderSettings struct {
	MaxWait time.Duration `help:"Timeout for the answer to an order, which also applies after its caller has disconnected." default:"60s" min:"100ms" max:"1h"`
}

// OperationsSettings are the settings of the port for operators.
type OperationsSettings struct {
	Address        string `help:"IP address and port for metrics, health checks and the timeline." default:"127.0.0.1:9080"`
	TimelineEvents int    `help:"Number of events that the timeline keeps." default:"4096" min:"16" max:"1000000"`

	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// ShutdownSettings are the durations of the steps of a shutdown.
type ShutdownSettings struct {
	BalancerLag  time.Duration `help:"Time after which the load balancer sends no more requests once the readiness check fails." default:"5s" min:"0s" max:"5m"`
	HandoverTime time.Duration `help:"Time after which open streams are handed over to other entries." default:"30s" min:"0s" max:"24h"`
	DrainTime    time.Duration `help:"Time after which the process ends even if requests are in progress." default:"90s" min:"1s" max:"24h"`
}

// ViewSettings select the source of the view by which requests are routed.
type ViewSettings struct {
	File    string `help:"JSON file with a fixed view, for tests without a control process." type:"path"`
	Control string `help:"IP address and port of this instance's control process." default:"127.0.0.1:9081"`

	Silence   time.Duration    `help:"Time without a message after which a control process counts as unavailable. It must exceed the heartbeat interval of control processes, [local] heartbeat." default:"2s" min:"100ms" max:"5m"`
	PeerAfter time.Duration    `help:"Time without this instance's control process after which the view of another instance is followed." default:"2s" min:"0s" max:"1h"`
	Peers     []string         `help:"IP addresses and ports of other instances' control processes, for an entry that knows no other instance yet."`
	TLS       tlsconf.Settings `embed:"" prefix:"tls-"`
}

// ValidateCombination implements settings.Validator. A request must be able to wait longer than an
// upstream that is down keeps its place in the selection.
func (s *Settings) ValidateCombination() []settings.Violation {
	if s.Queue.MaxWait > s.Upstreams.Settle {
		return nil
	}
	return []settings.Violation{{
		Section: "queue", Key: "max-wait", Value: s.Queue.MaxWait.String(),
		Allowed: "more than upstreams-settle, which is " + s.Upstreams.Settle.String(),
	}}
}
