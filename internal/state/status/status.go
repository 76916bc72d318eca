// Package status defines the status that a process reports to operators.
package status

import "savoryweir/internal/state/bundle"

// Member is one instance as the reporting process sees it.
type Member struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Status is the state of one process.
type Status struct {
	Process    string            `json:"process"`
	Instance   string            `json:"instance"`
	Zone       string            `json:"zone"`
	Ready      bool              `json:"ready"`
	NotReady   string            `json:"not_ready,omitempty"` // reason why Ready is false
	Generation bundle.Generation `json:"generation"`
	Manifest   string            `json:"manifest,omitempty"` // hash of the manifest of the bundle in force
	Members    []Member          `json:"members,omitempty"`
}
