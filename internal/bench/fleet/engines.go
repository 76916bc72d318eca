package fleet

import (
	"net"
	"net/http"
	"time"

	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/peerconn"
)

// Rates of the weight store behind the measured engines. They are high, so that
// the loads of the start are over before the measurement.
const (
	weightLoadsPerSecond = 2000
	weightLoadsAtOnce    = 200
	weightAdapterTime    = 5 * time.Millisecond
	weightAdapters       = 100
	weightTick           = 20 * time.Millisecond
	engineReportLag      = 100 * time.Millisecond
)

// Engines are the memory parts of model engine stand-ins at the addresses of a
// bundle, all in this process.
type Engines struct {
	Traffic peerconn.ByteCounter // with the control processes
	servers []*http.Server
	done    chan struct{}
}

// StartEngines serves each engine of a bundle at its loopback address.
func StartEngines(b *bundle.Bundle) (*Engines, error) {
	store := weights.New(weights.Limits{
		LoadsPerSecond: weightLoadsPerSecond, AtOnce: weightLoadsAtOnce,
		AdapterTime: weightAdapterTime, AdaptersInTransit: weightAdapters,
	})
	e := &Engines{done: make(chan struct{})}
	for _, u := range b.Upstreams {
		listener, err := net.Listen("tcp", u.Address)
		if err != nil {
			e.Stop()
			return nil, err
		}
		engine := residency.New(residency.Config{
			Name: string(u.ID), CapacityMiB: int64(u.Memory), ChecksFence: u.ChecksFence, ReportLag: engineReportLag,
		}, store, time.Now())
		server := &http.Server{Handler: residency.Handler(engine)}
		e.servers = append(e.servers, server)
		go func() { _ = server.Serve(e.Traffic.WrapListener(listener)) }()
	}
	go e.advance(store)
	return e, nil
}

// advance finishes the loads of the weight store as time goes by.
func (e *Engines) advance(store *weights.Store) {
	ticker := time.NewTicker(weightTick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			store.Advance(now)
		case <-e.done:
			return
		}
	}
}

// Stop closes all engines.
func (e *Engines) Stop() {
	close(e.done)
	for _, s := range e.servers {
		_ = s.Close()
	}
}
