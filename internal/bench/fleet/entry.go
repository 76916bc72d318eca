package fleet

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

// Entry is one entry process, beside the control process of the same instance.
type Entry struct {
	child
	callers    string
	operations string
}

// StartEntries starts an entry process beside each control process. Extra are
// further command-line flags for each.
func (f *Fleet) StartEntries(extra ...string) ([]*Entry, error) {
	var entries []*Entry
	for _, p := range f.Processes {
		ports, err := freePorts(2)
		if err != nil {
			return entries, err
		}
		e := &Entry{callers: ports[0], operations: ports[1]}
		arguments := append([]string{
			"--instance-id=" + p.ID, "--instance-zone=" + p.Zone, "--log-level=" + logLevel,
			"--callers-address=" + e.callers, "--operations-address=" + e.operations, "--view-control=" + p.Local,
		}, extra...)
		if err := e.start(filepath.Join(f.binaries, "savoryweir-entry"), arguments); err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// URL returns the address for callers.
func (e *Entry) URL() string { return "http://" + e.callers }

// WaitReady waits until the process takes requests.
func (e *Entry) WaitReady() error {
	for start := time.Now(); time.Since(start) < startPatience; time.Sleep(pollInterval) {
		response, err := http.Get("http://" + e.operations + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry at %s was not ready in %s", e.callers, startPatience)
}
