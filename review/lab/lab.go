// Package lab runs savoryweir-node processes beside small stand-ins of the platform, for the cases of the third review.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	CantDo = 2
)

// Bounds of the deployment, as on the sheet of Kalyvas, Attica.
const (
	heartbeat    = 1200 * time.Millisecond
	startBound   = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	nodeSettings = `[instance]
id = %s
zone = %s
address = %s
[callers]
address = %s
[ready]
address = %s
[mesh]
port = %d
[operations]
port = %d
[store]
url = http://%s
[bounds]
grace = 8s
config-apply = 2000ms
drain = 2000ms
retry-ratio = 0.2
retry-window = 10s
retry-slack = 56
turn-gap = 3000ms
load-window = 5s
memory-mb = 284
`
)

// Lab is everything that runs for a case.
type Lab struct {
	Store   *objectapi.Memory
	Address string // of the store

	program string
	folder  string
	stop    chan struct{}

	mu      sync.Mutex // guards the fields below
	record  *os.File
	started time.Time
	nodes   []*Node
	servers []*http.Server
}

// New starts the store. program is the path of savoryweir-node.
func New(program, record string) (*Lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp(os.Getenv("FOLDER"), "lab-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Store: objectapi.New(time.Now, objectapi.Limits{}), program: program, folder: folder, stop: make(chan struct{}), record: file, started: time.Now()}
	l.Address, err = l.Serve(objectapi.Handler(l.Store))
	return l, err
}

// Serve serves a handler on a free port and returns its address.
func (l *Lab) Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Record writes a line to the record.
func (l *Lab) Record(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close ends all processes that the lab started.
func (l *Lab) Close() {
	close(l.stop)
	l.mu.Lock()
	nodes, servers := l.nodes, l.servers
	l.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.folder)
}

// Configure writes the operator's configuration, the first one or the next one.
func (l *Lab) Configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return l.Put(platform.KindConfig, platform.NameConfig, data)
}

// Put writes an object without a condition.
func (l *Lab) Put(kind object.Kind, name object.Name, data []byte) error {
	ctx := context.Background()
	_, err := l.Store.Create(ctx, kind, name, data)
	if !errors.Is(err, object.ErrConflict) {
		return err
	}
	found, err := l.Store.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	_, err = l.Store.Update(ctx, kind, name, data, found.Version)
	return err
}

// Limits are those that configurations name for callers.
func Limits(maxBodyBytes int) map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000}
}

// Register writes the entry of a server, and writes it again at each heartbeat.
func (l *Lab) Register(id string, entry map[string]any) error {
	write := func(seq int) error {
		entry["seq"] = seq
		data, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		return l.Put(platform.KindUpstreams, object.Name(id), data)
	}
	if err := write(1); err != nil {
		return err
	}
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-time.After(heartbeat):
				_ = write(seq)
			case <-l.stop:
				return
			}
		}
	}()
	return nil
}

// Node is one savoryweir-node.
type Node struct {
	Name    string
	Callers string // address for callers
	ready   string
	log     string
	mu      sync.Mutex // guards command
	command *exec.Cmd
	start   func() (*exec.Cmd, error)
}

// Ports of instances lie below those that the system gives to outgoing connections.
const firstPort, lastPort = 10000, 30000

// FreePort returns a port that is free for TCP and UDP on an address.
func FreePort(ip string) (int, error) {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = conn.Close()
			return port, nil
		}
	}
	return 0, errors.New("no port is free")
}

// StartNode starts an instance. store is the address at which it finds the store.
func (l *Lab) StartNode(name, zone, store string) (*Node, error) {
	const ip = "127.0.0.1"
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = FreePort(ip); err != nil {
			return nil, err
		}
	}
	n := &Node{Name: name, Callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), log: filepath.Join(l.folder, name+".log")}
	settings := filepath.Join(l.folder, name+".ini")
	text := fmt.Sprintf(nodeSettings, name, zone, ip, n.Callers, n.ready, ports[2], ports[3], store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.start = func() (*exec.Cmd, error) {
		log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer func() { _ = log.Close() }()
		command := exec.Command(l.program, "--settings="+settings)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return nil, err
		}
		return command, listProcess(command.Process.Pid)
	}
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	return n, n.Restart()
}

// listProcess adds a process to the file that the script names, so that it can end what is left if this program dies.
func listProcess(pid int) error {
	name := os.Getenv("PROCESSES")
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, pid)
	return errors.Join(err, file.Close())
}

// Restart starts the process, which must not be running.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	n.command, err = n.start()
	return err
}

// Kill ends the process with SIGKILL.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	n.command = nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Signal(s)
}

// Log returns what the process has written.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.log)
	return string(data)
}

// AwaitReady waits until the instance says that it takes callers.
func (n *Node) AwaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(readyPoll) {
		response, err := client.Get("http://" + n.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", n.Name)
}
