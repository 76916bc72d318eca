package fleet

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"savoryweir/internal/bench/process"
	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/state/timeline"
)

// Entry is one entry process, beside the control process of the same instance.
type Entry struct {
	process.Process
	callers    string
	operations string
}

// StartEntries starts an entry process beside each control process. Extra are
// further command-line flags for each.
func (f *Fleet) StartEntries(extra ...string) ([]*Entry, error) {
	var entries []*Entry
	for _, p := range f.Processes {
		e, err := f.StartEntry(p, extra...)
		if err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// StartEntry starts an entry process for the instance of a control process.
func (f *Fleet) StartEntry(p *Process, extra ...string) (*Entry, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	e := &Entry{callers: ports[0], operations: ports[1]}
	arguments := append([]string{
		"--instance-id=" + p.ID, "--instance-zone=" + p.Zone, "--log-level=" + logLevel,
		"--callers-address=" + e.callers, "--operations-address=" + e.operations, "--view-control=" + p.Local,
	}, extra...)
	return e, e.Start(filepath.Join(f.binaries, "savoryweir-entry"), arguments)
}

// URL returns the address for callers.
func (e *Entry) URL() string { return "http://" + e.callers }

// Events returns the process's time line.
func (e *Entry) Events() ([]timeline.Event, error) { return readEvents(e.operations) }

// Events returns the process's time line.
func (p *Process) Events() ([]timeline.Event, error) { return readEvents(p.operations) }

func readEvents(operations string) ([]timeline.Event, error) {
	response, err := http.Get("http://" + operations + "/timeline")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return timelinefile.Read(response.Body)
}

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
