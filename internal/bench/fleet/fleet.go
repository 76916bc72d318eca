// Package fleet runs many real control processes on the loopback interface
// against a stand-in of the object API, and reads what they cost.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/bench/process"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/status"
)

// Rates of the store and times of the run.
const (
	storeWritesPerSecond = 300
	storeReadsPerSecond  = 2000
	startPatience        = time.Minute
	pollInterval         = 50 * time.Millisecond
	seedCount            = 3
	zones                = 3
	logLevel             = "error"
)

// Fleet is a running set of control processes.
type Fleet struct {
	Store     *objectapi.Memory
	Processes []*Process
	Approver  *Approver
	server    *httptest.Server
	folder    string
	binaries  string
}

// Process is one control process.
type Process struct {
	process.Process
	ID         string
	Zone       string
	peers      string
	Local      string
	operations string
}

// Start starts count control processes from the folder of binaries. Extra are
// further command-line flags for each.
func Start(binaries string, count int, extra ...string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	approver, err := NewApprover()
	if err != nil {
		return nil, err
	}
	store := objectapi.New(time.Now, objectapi.Limits{WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond})
	f := &Fleet{
		Store:    store,
		Approver: approver,
		server:   httptest.NewServer(objectapi.Handler(store)),
		folder:   folder,
		binaries: binaries,
	}
	if err := os.WriteFile(f.trustedKeys(), approver.trustedFile(), 0o600); err != nil {
		return nil, err
	}
	if err := f.startProcesses(count, extra); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) trustedKeys() string { return filepath.Join(f.folder, "trusted.ini") }

func (f *Fleet) startProcesses(count int, extra []string) error {
	for i := range count {
		ports, err := freePorts(3)
		if err != nil {
			return err
		}
		f.Processes = append(f.Processes, &Process{
			ID: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), peers: ports[0], Local: ports[1], operations: ports[2],
		})
	}
	var seeds []string
	for _, p := range f.Processes[:min(seedCount, count)] {
		seeds = append(seeds, p.peers)
	}
	for _, p := range f.Processes {
		if err := p.start(f, seeds, extra); err != nil {
			return err
		}
	}
	return nil
}

// Ports below the range from which the kernel takes those of outgoing
// connections, which could otherwise take a port before its process listens.
const (
	lowestPort  = 12_000
	highestPort = 32_000
)

// takenPorts are the ports that were given to processes of this run.
var takenPorts sync.Map

// freePorts returns loopback addresses that were free just now and were not
// given out before.
func freePorts(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if _, isTaken := takenPorts.LoadOrStore(port, true); isTaken {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func (p *Process) start(f *Fleet, seeds, extra []string) error {
	_, port, err := net.SplitHostPort(p.peers)
	if err != nil {
		return err
	}
	arguments := append([]string{
		"--instance-id=" + p.ID, "--instance-zone=" + p.Zone, "--instance-address=127.0.0.1",
		"--log-level=" + logLevel, "--peers-port=" + port, "--peers-seeds=" + strings.Join(seeds, ","),
		"--local-address=" + p.Local, "--operations-address=" + p.operations,
		"--store-url=" + f.server.URL, "--bundles-trusted-keys=" + f.trustedKeys(),
	}, extra...)
	return p.Start(filepath.Join(f.binaries, "savoryweir-control"), arguments)
}

// PeerAddress returns the address for other instances.
func (p *Process) PeerAddress() string { return p.peers }

// Stop ends all processes and the store.
func (f *Fleet) Stop() {
	for _, p := range f.Processes {
		_ = p.Kill() // an error means that it has ended already
	}
	f.server.CloseClientConnections()
	f.server.Close()
	_ = os.RemoveAll(f.folder)
}

// Status reads the process's own report.
func (p *Process) Status() (status.Status, error) {
	var s status.Status
	response, err := http.Get("http://" + p.operations + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// WaitFor polls all processes until each satisfies the condition, and returns how long that took.
func (f *Fleet) WaitFor(ctx context.Context, condition func(status.Status) bool) (time.Duration, error) {
	start := time.Now()
	for _, p := range f.Processes {
		for {
			s, err := p.Status()
			if err == nil && condition(s) {
				break
			}
			if time.Since(start) > startPatience {
				return 0, fmt.Errorf("%s did not reach the state in %s: %+v, %w", p.ID, startPatience, s, err)
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return 0, context.Cause(ctx)
			}
		}
	}
	return time.Since(start), nil
}

// WaitMembers waits until each process sees all others alive.
func (f *Fleet) WaitMembers(ctx context.Context) error {
	_, err := f.WaitFor(ctx, func(s status.Status) bool {
		alive := 0
		for _, m := range s.Members {
			if m.State == "alive" {
				alive++
			}
		}
		return alive == len(f.Processes)
	})
	return err
}

// Approve brings a bundle into force and returns the time until it is in force everywhere.
func (f *Fleet) Approve(ctx context.Context, b *bundle.Bundle) (time.Duration, error) {
	head, err := f.Approver.Approve(ctx, f.Store, b)
	if err != nil {
		return 0, err
	}
	return f.WaitFor(ctx, func(s status.Status) bool { return s.Generation >= head.Generation })
}

// trustedFile returns the file with the approver's public key.
func (a *Approver) trustedFile() []byte {
	header := fmt.Sprintf("[policy]\ndeployment = %s\nrequired-signatures = 1\n", deployment)
	return append([]byte(header), approvalfile.EncodeTrustedKey(a.key)...)
}

// readMetric returns the value of a metric without labels.
func (p *Process) readMetric(name string) (float64, error) {
	response, err := http.Get("http://" + p.operations + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return findMetric(response.Body, name)
}

// parseFields reads the numbers at the given places of a line, counted from zero.
func parseFields(line string, places ...int) ([]float64, error) {
	fields := strings.Fields(line)
	var numbers []float64
	for _, place := range places {
		if place >= len(fields) {
			return nil, fmt.Errorf("line has %d fields, want more than %d", len(fields), place)
		}
		number, err := strconv.ParseFloat(fields[place], 64)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
