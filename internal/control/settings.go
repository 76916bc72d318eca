// Package control implements the control process. It manages membership, the bundle in
// force, placement and order claims, and serves the local entry process. A fault of the
// control process never interrupts the request of a caller.
package control

import (
	"time"

	"savoryweir/internal/control/bundles"
	"savoryweir/internal/control/claims"
	"savoryweir/internal/control/demandflow"
	"savoryweir/internal/control/placing"
	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/logging"
	"savoryweir/internal/settings"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/tlsconf"
)

// Settings holds all settings of the control process.
type Settings struct {
	settings.Common
	Instance   settings.Instance    `embed:"" prefix:"instance-"`
	Log        logging.Settings     `embed:"" prefix:"log-"`
	Peers      PeerSettings         `embed:"" prefix:"peers-"`
	Local      LocalSettings        `embed:"" prefix:"local-"`
	Operations OperationsSettings   `embed:"" prefix:"operations-"`
	Store      storeclient.Settings `embed:"" prefix:"store-"`
	Membership membership.Settings  `embed:"" prefix:"membership-"`
	Spread     gossip.Settings      `embed:"" prefix:"spread-"`
	Bundles    bundles.Settings     `embed:"" prefix:"bundles-"`
	Orders     claims.Settings      `embed:"" prefix:"orders-"`
	Placement  placing.Settings     `embed:"" prefix:"placement-"`
	Demand     demandflow.Settings  `embed:"" prefix:"demand-"`
	Engines    EngineSettings       `embed:"" prefix:"engines-"`
	Shutdown   ShutdownSettings     `embed:"" prefix:"shutdown-"`
}

// PeerSettings configures the port for the control processes of other instances and the
// discovery of instances.
type PeerSettings struct {
	Port         int              `help:"Port for the control processes of other instances, at the instance's address." default:"9082" min:"1" max:"65535"`
	Seeds        []string         `help:"IP addresses and ports of control processes to contact at the start, when the platform's list can't be read."`
	ListInterval time.Duration    `help:"Time between two reads of the platform's list of instances." default:"2s" min:"100ms" max:"10m"`
	ListReaders  int              `help:"Number of instances that read the platform's list and watch the bundle pointer." default:"3" min:"1" max:"64"`
	RemoteViews  int              `help:"Number of entry processes of other instances, whose own control process does not answer, that may watch the view of this one." default:"4" min:"0" max:"1024"`
	TLS          tlsconf.Settings `embed:"" prefix:"tls-"`
}

// LocalSettings configures the port for the entry process of the same instance.
type LocalSettings struct {
	Address   string        `help:"Loopback address and port for the entry process of this instance." default:"127.0.0.1:9081"`
	Heartbeat time.Duration `help:"Longest time between two messages to an entry that watches the view." default:"500ms" min:"50ms" max:"1m"`
}

// EngineSettings configures the connections to model engines for orders and reports.
type EngineSettings struct {
	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// ShutdownSettings configures the shutdown of the process.
type ShutdownSettings struct {
	EntryWait time.Duration `help:"Time for which a stopping control process keeps serving an entry process that still watches it. It covers the time that the load balancer takes to react." default:"10s" min:"0s" max:"1h"`
	DrainTime time.Duration `help:"Time after which the process stops even if orders are in progress." default:"90s" min:"0s" max:"24h"`
}

// OperationsSettings configures the port for operators.
type OperationsSettings struct {
	Address        string `help:"IP address and port for metrics, health, status and time line." default:"127.0.0.1:9083"`
	TimelineEvents int    `help:"Events kept for the time line." default:"1024" min:"16" max:"1000000"`

	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}
