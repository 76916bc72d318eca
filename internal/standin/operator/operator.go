// Package operator writes configurations as the platform's operators do.
package operator

import (
	"encoding/json"
	"time"
)

// Document is one version of a configuration.
type Document struct {
	Version int
	Routes  []Route
	Plain   []string // services without models
	Engines []Engines
	// IdleTimeout of callers' connections.
	IdleTimeout time.Duration
}

// Route is a route to one service.
type Route struct {
	Prefix, Host, Kind, Service string
	Attempts                    int
	Resumable                   bool
	Timeout, Target, Gap        time.Duration
}

// Engines is a service of model engines.
type Engines struct {
	Service      string
	WeightsMB    int
	AdapterSlots int
	LoadsPerS    int
	Models       []Model
}

// Model is one model of a service.
type Model struct {
	Name           string
	WeightsMB      int
	Load, FromDisk time.Duration
	Adapters       int
	AdapterMB      int
}

// maxConns is how many connections each upstream accepts.
const maxConns = 200

// Encode writes the document.
func (d Document) Encode() ([]byte, error) {
	var routes, services []map[string]any
	for _, r := range d.Routes {
		routes = append(routes, map[string]any{
			"name": "r" + r.Prefix, "host": r.Host, "pathPrefix": r.Prefix, "kind": r.Kind, "service": r.Service, "maxAttempts": r.Attempts,
			"resumable": r.Resumable, "timeoutMs": r.Timeout.Milliseconds(), "targetLatencyMs": r.Target.Milliseconds(),
			"gapAimMs": r.Gap.Milliseconds(), "priority": 1,
		})
	}
	for _, name := range d.Plain {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns})
	}
	for _, e := range d.Engines {
		var models []map[string]any
		for _, m := range e.Models {
			models = append(models, map[string]any{
				"name": m.Name, "weightsMb": m.WeightsMB, "loadTimeS": m.Load.Seconds(), "diskS": m.FromDisk.Seconds(),
				"adapters": m.Adapters, "adapterMb": m.AdapterMB,
			})
		}
		services = append(services, map[string]any{"name": e.Service, "healthPath": "/health", "maxConns": maxConns, "engine": map[string]any{
			"weightsMb": e.WeightsMB, "adapterSlots": e.AdapterSlots, "loadsPerS": e.LoadsPerS, "models": models,
		}})
	}
	return json.Marshal(map[string]any{
		"version": d.Version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": d.IdleTimeout.Milliseconds()},
	})
}
