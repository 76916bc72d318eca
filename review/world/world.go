// Package world starts savoryweir-node processes in front of stand-ins of the platform's store and of
// servers, for the cases of the review. It records what was sent, run and answered.
package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// errNotReady reports that an instance did not get ready in time.
var errNotReady = errors.New("instances did not get ready")

// World is a small deployment on loopback addresses.
type World struct {
	Store  *objectapi.Memory
	Nodes  []*Node
	Record *Record

	root, folder string
	storeURL     string
	servers      []*http.Server
}

// New starts the stand-in of the store. root is the folder of the repository, folder the one of the case.
func New(root, folder string) (*World, error) {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Store: objectapi.New(time.Now, objectapi.Limits{}), Record: record, root: root, folder: temporary}
	address, err := w.Serve(objectapi.Handler(w.Store))
	w.storeURL = "http://" + address
	return w, err
}

// Serve starts an HTTP server on a free port and returns its address.
func (w *World) Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// Put writes an object into the store.
func (w *World) Put(kind object.Kind, name object.Name, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx := context.Background()
	old, err := w.Store.Get(ctx, kind, name)
	if errors.Is(err, object.ErrNotFound) {
		_, err = w.Store.Create(ctx, kind, name, data)
		return err
	}
	if err == nil {
		_, err = w.Store.Update(ctx, kind, name, data, old.Version)
	}
	return err
}

// Node is one savoryweir-node.
type Node struct {
	Callers string // address for callers
	ready   string
	root    string
	file    string // settings
	command *exec.Cmd
	log     *os.File
}

// freePorts returns ports that were free for TCP and UDP a moment ago.
func freePorts(count int) ([]int, error) {
	var ports []int
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for len(ports) < count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// settings are those of a small deployment, with the bounds of the pages' small sites.
const settings = `[instance]
id = front-%d
zone = zone-%d
address = 127.0.0.1
[callers]
address = %s
[ready]
address = %s
[mesh]
port = %d
[operations]
port = %d
[store]
url = %s
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

// StartNodes starts instances and waits until all of them are ready.
func (w *World) StartNodes(count int) error {
	for i := range count {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	return w.AwaitReady()
}

// AwaitReady waits until all instances are ready.
func (w *World) AwaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		ready := 0
		for _, n := range w.Nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.Nodes) {
			return nil
		}
	}
	return errNotReady
}

func (w *World) startNode(number int) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	n := &Node{Callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]), root: w.root}
	n.file = filepath.Join(w.folder, fmt.Sprintf("front-%d.ini", number))
	text := fmt.Sprintf(settings, number, number, n.Callers, n.ready, ports[2], ports[3], w.storeURL)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(w.folder, fmt.Sprintf("front-%d.log", number))); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	w.Nodes = append(w.Nodes, n)
	w.Record.Write("instance front-%d started, callers at %s", number, n.Callers)
	return nil
}

func (n *Node) start() error {
	n.command = exec.Command("target/savoryweir-node", "--settings="+n.file)
	n.command.Dir, n.command.Stdout, n.command.Stderr = n.root, n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

// restartDelay is the delay after which the platform starts an ended process again.
const restartDelay = 300 * time.Millisecond

// KillAll kills all instances at the same moment and starts them again, as the platform does.
func (w *World) KillAll() error {
	for _, n := range w.Nodes {
		_ = n.command.Process.Kill()
	}
	w.Record.Write("all instances are killed")
	for _, n := range w.Nodes {
		_ = n.command.Wait() // reports the kill
	}
	time.Sleep(restartDelay)
	for _, n := range w.Nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	w.Record.Write("all instances are started again")
	return nil
}

func (n *Node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes and servers that the world started. The logs of the instances stay if keepLogs is set.
func (w *World) Close(keepLogs bool) {
	for _, n := range w.Nodes {
		_ = n.command.Process.Kill()
		_ = n.command.Wait() // reports the kill
		_ = n.log.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.Record.close()
	if !keepLogs {
		_ = os.RemoveAll(w.folder)
	}
}

// Record writes what happened into a file. It is safe for concurrent use.
type Record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{startedAt: time.Now(), file: file}, err
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *Record) close() { _ = r.file.Close() }
