package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// node is one savoryweir-node.
type node struct {
	id, zone                string
	callers, ready          string // addresses
	mesh, operations        int    // ports
	program, settings, logs string

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	ended   chan struct{}
}

// bounds are those of the deployment kalyvas-weir, as its settings template writes them.
const bounds = `[bounds]
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

// newNode prepares an instance whose store is at an address. more is added to its bounds.
func newNode(o options, id, zone, store, more string) (*node, error) {
	n := &node{id: id, zone: zone, program: o.node, settings: filepath.Join(o.folder, id+".ini"), logs: filepath.Join(o.folder, id+".log")}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n.callers, n.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	n.mesh, n.operations = ports[2], ports[3]
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\naddress = 127.0.0.1\n[callers]\naddress = %s\n[ready]\naddress = %s\n[mesh]\nport = %d\nlink-mbps = 1000\n[operations]\nport = %d\n[store]\nurl = http://%s\n%s%s",
		id, zone, n.callers, n.ready, n.mesh, n.operations, store, bounds, more)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// taken are the ports that have been given out.
var taken = make(map[int]bool)

// freePorts returns ports that are free for TCP and UDP.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range 100 * count {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenPacket("udp4", tcp.Addr().String())
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		if taken[port] {
			continue
		}
		taken[port] = true
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, errors.New("too few ports are free")
}

// errEnding reports that no process is started any more.
var errEnding = errors.New("the case is ending")

// startedNodes are the instances that were started, so that all can be ended when the case is stopped.
type startedNodes struct {
	mu      sync.Mutex // guards the fields below
	list    []*node
	isEnded bool
}

var started startedNodes

// add reports whether an instance may be started.
func (s *startedNodes) add(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, n)
	return !s.isEnded
}

// end kills all instances, and keeps others from being started.
func (s *startedNodes) end() {
	s.mu.Lock()
	s.isEnded = true
	list := s.list
	s.mu.Unlock()
	killNodes(list)
}

// start starts the process.
func (n *node) start() error {
	f, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !started.add(n) {
		return errEnding
	}
	c := exec.Command(n.program, "--settings="+n.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// pid returns the process ID.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0
	}
	return n.command.Process.Pid
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, ended := n.command, n.ended
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// runs reports whether the process has not ended.
func (n *node) runs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return false
	default:
		return n.command != nil
	}
}

// isReady asks the instance as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startNodes starts instances and waits until all are ready.
func startNodes(nodes []*node) error {
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	var late []string
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		late = nil
		for _, n := range nodes {
			if !n.isReady() {
				late = append(late, n.id)
			}
		}
		if len(late) == 0 {
			return nil
		}
	}
	return errors.New("not ready: " + strings.Join(late, ", "))
}

func killNodes(nodes []*node) {
	for _, n := range nodes {
		n.kill()
	}
}
