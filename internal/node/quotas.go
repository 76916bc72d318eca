package node

import (
	quotas "savoryweir/internal/coordination/quota"
	"savoryweir/internal/logging"
	"savoryweir/internal/node/quota"
	"savoryweir/internal/state/fleet"
)

// newQuotas returns the quotas of customers.
func (n *Node) newQuotas() *quota.Quotas {
	return quota.New(quota.Options{
		Instance: n.settings.Instance.ID, Log: logging.WithComponent(n.log, "quotas"), Others: n.mesh.PeerIDs, AreListed: n.knowsPeers,
		Send: n.mesh.Send, Clock: n.bootTime, Bounds: n.quotaBounds, Count: n.metrics.CountQuota,
		Config: func() *fleet.Config { return n.gateway.Config() },
	})
}

func (n *Node) quotaBounds() quotas.Bounds {
	b := n.bounds.Load()
	return quotas.Bounds{Window: b.QuotaWindow, Over: b.QuotaOver, Slack: b.QuotaSlack}
}
