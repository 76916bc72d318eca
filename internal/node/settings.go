package node

import (
	"time"

	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
	"savoryweir/internal/transport/storeclient"
)

// Settings holds the settings of an instance on the users' platform.
type Settings struct {
	settings.Common
	Instance settings.Instance `embed:"" prefix:"instance-"`
	Log      logging.Settings  `embed:"" prefix:"log-"`

	Callers    CallerSettings       `embed:"" prefix:"callers-"`
	Ready      ReadySettings        `embed:"" prefix:"ready-"`
	Mesh       MeshSettings         `embed:"" prefix:"mesh-"`
	Operations OperationsSettings   `embed:"" prefix:"operations-"`
	Store      storeclient.Settings `embed:"" prefix:"store-"`
	Bounds     BoundSettings        `embed:"" prefix:"bounds-"`
	Warmup     WarmupSettings       `embed:"" prefix:"warmup-"`
	Fairness   FairnessSettings     `embed:"" prefix:"fairness-"`
	Streams    StreamSettings       `embed:"" prefix:"streams-"`
}

// StreamSettings holds the settings of streams that may be resumed.
type StreamSettings struct {
	NewVersionDelay time.Duration `help:"Time for which upstreams of a software version that joins others begin streams that may be resumed only if the others have no room. After the loss of all instances, a copy of the store counts as naming all versions that have begun streams if it is seven seconds younger than this. With 0 neither holds." default:"20s" min:"0s" max:"10m"`
}

// FairnessSettings holds the settings for room that is short.
type FairnessSettings struct {
	Shares bool `help:"While room is short, refuse customers above their share first, if the configuration names customers." default:"false"`
}

// WarmupSettings holds the settings for upstreams that have just started or recovered.
type WarmupSettings struct {
	Window bool `help:"Limit the requests to upstreams that have just started or recovered by a window over all instances." default:"false"`
}

// CallerSettings holds the settings of the port that serves callers.
type CallerSettings struct {
	Address string `help:"Address of the port that serves callers." default:"127.0.0.1:7000"`
}

// ReadySettings holds the settings of the port on which the platform checks readiness.
type ReadySettings struct {
	Address string `help:"Address of the readiness port." default:"127.0.0.1:7001"`
}

// MeshSettings holds the settings of the datagrams between instances.
type MeshSettings struct {
	Port     int     `help:"UDP port for datagrams between instances." default:"7380" min:"1" max:"65535"`
	LinkMbps float64 `help:"Capacity of the instance's network link in Mbit/s; 0 if it is not known. Instances with faster links distribute loads and changes in a large fleet, if all of the zone tell theirs." default:"0" min:"0" max:"1000000"`
}

// OperationsSettings holds the settings of the port for metrics and health checks.
type OperationsSettings struct {
	Port int `help:"TCP port for metrics and health checks." default:"9464" min:"1" max:"65535"`
}

// BoundSettings holds the bounds that the platform's operators set. They may change while
// the process runs.
type BoundSettings struct {
	Grace       time.Duration `help:"Time between SIGTERM and SIGKILL." default:"8s" min:"100ms" max:"10m"`
	ConfigApply time.Duration `help:"Time within which an acknowledged configuration must be in force." default:"2s" min:"10ms" max:"10m"`
	Revoke      time.Duration `help:"Time after which an API key that a configuration has taken away must work at no instance, whether or not it reaches the store; 0 means no limit." default:"0s" min:"0s" max:"10m"`
	Drain       time.Duration `help:"Time after which an upstream that is leaving must receive no more requests." default:"2s" min:"10ms" max:"10m"`
	RetryRatio  float64       `help:"Maximum ratio of retries to requests." default:"0.1" min:"0" max:"10"`
	RetryWindow time.Duration `help:"Sliding window over which retries are counted." default:"10s" min:"100ms" max:"10m"`
	RetrySlack  float64       `help:"Retries per window that are allowed in addition to the ratio, across all instances." default:"0" min:"0" max:"1000000"`
	TurnGap     time.Duration `help:"Minimum time between the last order of one lease holder and the first order of the next." default:"3s" min:"10ms" max:"10m"`
	LoadWindow  time.Duration `help:"Sliding window over which loads from the weight store are counted." default:"5s" min:"100ms" max:"10m"`
	QuotaWindow time.Duration `help:"Sliding window over which the quotas of customers are counted." default:"10s" min:"100ms" max:"10m"`
	QuotaOver   float64       `help:"Ratio by which a customer may use more than its quota in a window." default:"0" min:"0" max:"10"`
	QuotaSlack  float64       `help:"What a customer may use in a window in addition, in the unit of its quota." default:"0" min:"0" max:"1000000000"`
	MemoryMB    int           `help:"Memory limit of the process in MB; 0 means no limit." default:"0" min:"0" max:"1000000"`
}
