package world

import (
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// Route is a route of the configuration.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Resumable   bool   `json:"resumable"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetLatencyMs"`
	GapAimMs    int    `json:"gapAimMs"`
	Priority    int    `json:"priority"`
}

// PutConfig writes a configuration with routes to plain services, or to a service of engines with one model.
func (w *World) PutConfig(version int, model string, routes ...Route) error {
	var services []map[string]any
	listed := make(map[string]bool)
	for _, r := range routes {
		if listed[r.Service] {
			continue
		}
		listed[r.Service] = true
		service := map[string]any{"name": r.Service, "healthPath": "/health", "maxConns": 110}
		if model != "" && r.Kind == "stream" {
			service["engine"] = map[string]any{
				"weightsMb": 230000, "adapterSlots": 8, "loadsPerS": 1.1,
				"models": []map[string]any{{"name": model, "weightsMb": 65100, "loadTimeS": 3.8, "diskS": 0.78, "adapters": 40, "adapterMb": 12}},
			}
		}
		services = append(services, service)
	}
	return w.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// Server is the entry of a server in the store.
type Server struct {
	Service string           `json:"service"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
	Version string           `json:"version"`
	Slots   int              `json:"slots"`
	State   string           `json:"state"`
	Seq     int              `json:"seq"`
	Born    int64            `json:"born"`
	Models  []map[string]any `json:"models,omitempty"`
}

// PutServer writes the entry of a server.
func (w *World) PutServer(id string, s Server) error {
	return w.Put(platform.KindUpstreams, object.Name(id), s)
}
