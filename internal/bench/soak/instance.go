package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savoryweir/internal/bench/process"
)

const (
	// Bounds that the instances are given; the platform's usual ones.
	grace       = 5 * time.Second
	configApply = 2 * time.Second
	drainBound  = 2 * time.Second
	turnGap     = 3 * time.Second
	retryRatio  = 0.2
	retrySlack  = 40
	retryWindow = 10 * time.Second
	// restartPause is the time after which the platform starts an ended process again.
	restartPause = 300 * time.Millisecond
	// readyEvery and readyMisses are how the platform finds out who takes callers.
	readyEvery  = time.Second
	readyMisses = 2
)

// instance is one savoryweir-node with the proxies around it.
type instance struct {
	number       int
	program      string
	settings     string
	streams      string // section of the settings
	callers      *Proxy // in front of the callers' port
	store        *Proxy // in front of the store
	ready, mesh  int
	ops, inner   int
	log          *os.File
	judge        *ledger
	disturbances *disturbances

	mu      sync.Mutex // guards all below
	process *process.Process
	ending  bool // by a signal of the soak
	closed  bool // no more starts
	inTurn  bool // takes callers
}

// Ports of instances lie below those that the system gives to outgoing connections, as an
// instance that is started again must find its ports free.
const firstPort, lastPort = 10000, 30000

// portOrder is random, so that soaks that run at the same time do not meet.
var (
	portOrder = rand.Perm(lastPort - firstPort)
	nextPort  atomic.Int64
)

var errNoPort = errors.New("no port is free")

// freePort returns a port that it has not returned before and on which nobody listens. It
// does not try to listen there: a process that is being started elsewhere at that moment
// would hold the port until it has replaced its image.
func freePort() (int, error) {
	for range portOrder {
		port := firstPort + portOrder[int(nextPort.Add(1))%len(portOrder)]
		if address := fmt.Sprintf("127.0.0.1:%d", port); !acceptsConnections(address) && !takesDatagrams(address) {
			return port, nil
		}
	}
	return 0, errNoPort
}

func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// takesDatagrams reports whether somebody listens for datagrams: the system refuses them else.
func takesDatagrams(address string) bool {
	conn, err := net.Dial("udp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pollEvery))
	if _, err = conn.Write([]byte{0}); err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

func newInstance(number int, program, store string, o Options, judge *ledger, d *disturbances) (*instance, error) {
	folder := o.Folder
	i := &instance{number: number, program: program, settings: filepath.Join(folder, fmt.Sprintf("i%d.ini", number)), judge: judge, disturbances: d}
	if o.Former == "" { // an earlier build may not know the setting
		i.streams = fmt.Sprintf("[streams]\nnew-version-delay = %s\n", o.NewVersionDelay)
	}
	var err error
	for _, port := range []*int{&i.ready, &i.ops, &i.inner, &i.mesh} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	if i.callers, err = NewProxy("127.0.0.1:0", fmt.Sprintf("127.0.0.1:%d", i.inner)); err != nil {
		return nil, err
	}
	if i.store, err = NewProxy("127.0.0.1:0", store); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(folder, fmt.Sprintf("i%d.log", number))); err != nil {
		return nil, err
	}
	return i, i.configure(retryRatio, retrySlack)
}

// configure writes the settings file.
func (i *instance) configure(ratio float64, slack int) error {
	text := fmt.Sprintf(`[instance]
id = i%d
zone = z%d
address = 127.0.0.1
[callers]
address = 127.0.0.1:%d
[ready]
address = 127.0.0.1:%d
[mesh]
port = %d
[operations]
port = %d
[store]
url = http://%s
[bounds]
grace = %s
config-apply = %s
drain = %s
turn-gap = %s
retry-ratio = %g
retry-window = %s
retry-slack = %d
%s`, i.number, i.number%zones, i.inner, i.ready, i.mesh, i.ops, i.store.Address(), grace, configApply, drainBound, turnGap, ratio, retryWindow, slack, i.streams)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

const zones = 3

// start begins the process and starts it again whenever it ends, as the platform does.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil
	}
	p := &process.Process{Output: i.log}
	if err := p.Start(i.program, []string{"--settings=" + i.settings}); err != nil {
		return err
	}
	i.process, i.ending = p, false
	go i.await(p)
	return nil
}

func (i *instance) await(p *process.Process) {
	err := p.Wait()
	i.mu.Lock()
	ending, closed := i.ending, i.closed
	i.process, i.inTurn = nil, false
	i.mu.Unlock()
	if closed {
		return
	}
	if !ending {
		i.judge.violate(PromiseAlive, time.Now(), "i%d ended by itself: %v", i.number, err)
	}
	time.Sleep(restartPause)
	if err := i.start(); err != nil {
		i.judge.violate(PromiseAlive, time.Now(), "i%d was not started again: %v", i.number, err)
	}
}

// signal sends a signal to the running process. It reports false if there is none.
func (i *instance) signal(s syscall.Signal, ends bool) (*process.Process, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return nil, false
	}
	i.ending = i.ending || ends
	err := i.process.Signal(s)
	return i.process, err == nil || !errors.Is(err, os.ErrProcessDone)
}

// terminate asks the process to stop, and kills it after its grace time.
func (i *instance) terminate() {
	i.disturbances.begin(i.number, planned)
	defer i.disturbances.end(i.number, planned)
	p, ok := i.signal(syscall.SIGTERM, true)
	if !ok {
		return
	}
	for end := time.Now().Add(grace); time.Now().Before(end); time.Sleep(pollEvery) {
		if !i.runs(p) {
			return
		}
	}
	if i.runs(p) {
		if !i.disturbances.touched(i.number, time.Now().Add(-grace-stable), unplanned) {
			i.judge.violate(PromiseAlive, time.Now(), "i%d did not end in its grace time", i.number)
		}
		i.signal(syscall.SIGKILL, true)
	}
}

const pollEvery = 20 * time.Millisecond

func (i *instance) runs(p *process.Process) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process == p
}

// kill ends the process at once.
func (i *instance) kill() {
	i.disturbances.begin(i.number, unplanned)
	defer i.disturbances.end(i.number, unplanned)
	i.signal(syscall.SIGKILL, true)
}

// pause freezes the process for a time.
func (i *instance) pause(d time.Duration) {
	i.disturbances.begin(i.number, unplanned)
	defer i.disturbances.end(i.number, unplanned)
	if p, ok := i.signal(syscall.SIGSTOP, false); ok {
		time.Sleep(d)
		if i.runs(p) {
			i.signal(syscall.SIGCONT, false)
		}
	}
}

// close ends the process for good.
func (i *instance) close() {
	i.mu.Lock()
	i.closed = true
	p := i.process
	i.mu.Unlock()
	if p != nil {
		i.signal(syscall.SIGKILL, true)
	}
	for p != nil && i.runs(p) {
		time.Sleep(pollEvery)
	}
	_ = errors.Join(i.callers.Close(), i.store.Close(), i.log.Close())
}

// watchReady takes the instance into turn and out of it, as the platform's balancer
// does, until stop is closed.
func (i *instance) watchReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: readyEvery / 2}
	misses := readyMisses
	for ticker := time.NewTicker(readyEvery); ; {
		response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/ready", i.ready))
		if misses++; err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		i.mu.Lock()
		i.inTurn = misses < readyMisses
		i.mu.Unlock()
		select {
		case <-ticker.C:
		case <-stop:
			ticker.Stop()
			return
		}
	}
}

func (i *instance) takesCallers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inTurn
}

// pid returns the ID of the running process, or 0 if there is none.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0
	}
	return i.process.PID()
}

// name is the instance's identifier.
func (i *instance) name() string { return fmt.Sprintf("i%d", i.number) }
