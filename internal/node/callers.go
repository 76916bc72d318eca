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

// callerServers serves the connections of callers. The limits of the configuration that is in
// force when a connection opens apply to it. Since http.Server does not allow its limits to
// change, a change of the limits replaces the server; earlier servers keep their connections.
type callerServers struct {
	gateway  *gateway.Gateway
	listener net.Listener

	mu             sync.Mutex // guards the fields below
	limits         fleet.Limits
	server         *http.Server
	serverListener *queueListener
	retired        []*http.Server
	draining       bool
}

func newCallerServers(g *gateway.Gateway, l net.Listener) *callerServers {
	return &callerServers{gateway: g, listener: l}
}

const (
	// The initial limits apply until the first configuration arrives.
	initialHeaderTimeout  = 5 * time.Second
	initialIdleTimeout    = 30 * time.Second
	initialMaxHeaderBytes = 16 << 10

	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// acceptConnections accepts connections and hands each to the server with the limits in
// force. After the listener is closed, it waits for the end of ctx.
func (c *callerServers) acceptConnections(ctx context.Context) {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // usually out of file descriptors; connections that close meanwhile free some
			continue
		}
		c.currentListener().deliver(conn)
	}
}

// currentListener returns the listener of the server with the limits in force, and starts a
// new server if the limits have changed.
func (c *callerServers) currentListener() *queueListener {
	limits := fleet.Limits{MaxHeaderBytes: initialMaxHeaderBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
	if config := c.gateway.Config(); config != nil {
		limits = config.Limits
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil && c.limits == limits {
		return c.serverListener
	}
	if c.server != nil {
		c.retired = append(c.retired, c.server)
	}
	c.limits, c.serverListener = limits, newQueueListener(c.listener.Addr())
	c.server = &http.Server{
		Handler: c.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	c.server.SetKeepAlivesEnabled(!c.draining)
	server, listener := c.server, c.serverListener
	go func() { _ = server.Serve(listener) }() // returns when the listener or the server is closed, as the process stops
	return c.serverListener
}

// disableKeepAlives closes idle connections, and the other connections after their next
// response.
func (c *callerServers) disableKeepAlives() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for _, s := range append(c.retired, c.server) {
		if s != nil {
			s.SetKeepAlivesEnabled(false)
		}
	}
}

// refuseNewRequests closes the port and makes the gateway refuse new requests on connections
// that are still open.
func (c *callerServers) refuseNewRequests() error {
	c.gateway.RefuseNewRequests()
	return c.listener.Close()
}

// close closes all connections.
func (c *callerServers) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for _, s := range append(c.retired, c.server) {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// queueListener is a net.Listener whose connections are supplied by deliver.
type queueListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newQueueListener(address net.Addr) *queueListener {
	return &queueListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes a connection to Accept, or closes the connection if the listener is closed.
func (q *queueListener) deliver(c net.Conn) {
	select {
	case q.conns <- c:
	case <-q.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener. It returns net.ErrClosed once the listener is closed.
func (q *queueListener) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *queueListener) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

// Addr implements net.Listener.
func (q *queueListener) Addr() net.Addr { return q.address }
