package node

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/logging"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/node/warmup"
)

// buildWarmup creates the limit of requests to upstreams that have just started or recovered, if the
// settings ask for it.
func (n *Node) buildWarmup() {
	if !n.settings.Warmup.Window {
		return
	}
	n.warmup = warmup.New(warmup.Options{
		Instance: n.settings.Instance.ID, Log: logging.WithComponent(n.log, "warmup"), Others: n.mesh.PeerIDs, Send: n.mesh.Send,
		FailureRate: n.tracker.FailureRate, RecordWindow: n.metrics.RecordWarmupWindow,
	})
	n.gateway.Warmup = n.warmup
}

// updateWarmup learns from the upstreams that are known which ones have started or are down.
func (n *Node) updateWarmup(view *registry.View) {
	if n.warmup != nil {
		n.warmup.Update(time.Now(), view.All(), !n.gateway.IsCutOff())
	}
}

// receiveWarmup processes what another instance tells of upstreams that warm up. One with other settings
// gets no reply.
func (n *Node) receiveWarmup(m *pb.FleetMessage) {
	if n.warmup != nil {
		n.warmup.Receive(m)
	}
}
