package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/node/gateway"
	"savoryweir/internal/state/fleet"
)

// callerServers serve callers' connections under the limits of the configuration
// that was in force when each was opened.
type callerServers struct {
	gateway  *gateway.Gateway
	listener net.Listener

	mu      sync.Mutex // guards all below
	limits  fleet.Limits
	server  *http.Server
	queue   *connQueue
	former  []*http.Server
	leaving bool
}

func newCallerServers(g *gateway.Gateway, l net.Listener) *callerServers {
	return &callerServers{gateway: g, listener: l}
}

const (
	// Limits until the first configuration tells others.
	firstHeaderTimeout = 5 * time.Second
	firstIdleTimeout   = 30 * time.Second
	firstHeaderBytes   = 16 << 10
	acceptPause        = 10 * time.Millisecond
)

func (c *callerServers) run(ctx context.Context) {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return
		}
		if err != nil {
			time.Sleep(acceptPause) // out of descriptors; others are freed meanwhile
			continue
		}
		c.current().push(conn)
	}
}

// current returns the queue of the server that has the limits in force.
func (c *callerServers) current() *connQueue {
	limits := fleet.Limits{MaxHeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	if config := c.gateway.Config(); config != nil {
		limits = config.Limits
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil && c.limits == limits {
		return c.queue
	}
	if c.server != nil {
		c.former = append(c.former, c.server)
	}
	c.limits, c.queue = limits, newConnQueue(c.listener.Addr())
	c.server = &http.Server{
		Handler: c.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	c.server.SetKeepAlivesEnabled(!c.leaving)
	server, queue := c.server, c.queue
	go func() { _ = server.Serve(queue) }() // ends with the queue, when the process stops
	return c.queue
}

// leave ends idle connections, and others after their next answer.
func (c *callerServers) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	for _, s := range append(c.former, c.server) {
		if s != nil {
			s.SetKeepAlivesEnabled(false)
		}
	}
}

// refuse takes no further connections, and refuses what callers send on others.
func (c *callerServers) refuse() error {
	c.gateway.RefuseNewRequests()
	return c.listener.Close()
}

// close ends all connections.
func (c *callerServers) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for _, s := range append(c.former, c.server) {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// connQueue is a listener that is given its connections.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (q *connQueue) push(c net.Conn) {
	select {
	case q.conns <- c:
	case <-q.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
