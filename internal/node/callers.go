package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/node/gateway"
	"savoryweir/internal/state/fleet"
)

// callerServers serves the connections of callers. The limits of the configuration that is in
// force when a connection opens apply to it. Since http.Server does not allow its limits to
// change, a change of the limits replaces the server; earlier servers keep their connections.
// Only longer timeouts apply to these as well, see callerConn.
type callerServers struct {
	gateway  *gateway.Gateway
	listener net.Listener
	// accepted is closed when no more connections are accepted.
	accepted     chan struct{}
	acceptedOnce sync.Once

	mu             sync.Mutex // guards the fields below
	limits         fleet.Limits
	server         *http.Server
	serverListener *queueListener
	retired        []*http.Server
}

func newCallerServers(g *gateway.Gateway, l net.Listener) *callerServers {
	return &callerServers{gateway: g, listener: l, accepted: make(chan struct{})}
}

const (
	// The initial limits apply until the first configuration arrives.
	initialHeaderTimeout  = 5 * time.Second
	initialIdleTimeout    = 30 * time.Second
	initialMaxHeaderBytes = 16 << 10

	// acceptBacklogTime is how long an instance that stops goes on accepting the connections
	// that wait for it.
	acceptBacklogTime = 20 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// acceptConnections accepts connections and hands each to the server with the limits in
// force. After the listener is closed or its deadline has passed, it waits for the end of ctx.
func (c *callerServers) acceptConnections(ctx context.Context) {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			c.acceptedOnce.Do(func() { close(c.accepted) })
			<-ctx.Done()
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // usually out of file descriptors; connections that close meanwhile free some
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			conn = newCallerConn(tcp, c.limitsInForce)
		}
		c.currentListener().deliver(conn)
	}
}

// currentListener returns the listener of the server with the limits in force, and starts a
// new server if the limits have changed.
func (c *callerServers) currentListener() *queueListener {
	limits := c.limitsInForce()
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
		MaxHeaderBytes: limits.MaxHeaderBytes, ConnState: recordState,
	}
	server, listener := c.server, c.serverListener
	go func() { _ = server.Serve(listener) }() // returns when the listener or the server is closed, as the process stops
	return c.serverListener
}

func (c *callerServers) limitsInForce() fleet.Limits {
	if config := c.gateway.Config(); config != nil {
		return config.Limits
	}
	return fleet.Limits{MaxHeaderBytes: initialMaxHeaderBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
}

// refuseNewRequests makes the gateway refuse new requests on connections that are still open,
// and closes the port after the connections that wait to be accepted have been accepted. The
// kernel would reset these, with requests that callers may have sent on them already.
func (c *callerServers) refuseNewRequests() error {
	c.gateway.RefuseNewRequests()
	if l, ok := c.listener.(*net.TCPListener); ok {
		if err := l.SetDeadline(time.Now().Add(acceptBacklogTime)); err != nil {
			return err
		}
		<-c.accepted
	}
	return c.listener.Close()
}

// shutdown closes the connections as their requests end. Connections on which a request may
// be on its way get the time until ctx ends. The rest is closed then.
func (c *callerServers) shutdown(ctx context.Context) error {
	c.mu.Lock()
	servers := append(slices.Clone(c.retired), c.server)
	c.mu.Unlock()
	var err error
	for _, s := range servers {
		if s == nil {
			continue
		}
		if shutdownErr := s.Shutdown(ctx); shutdownErr != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// callerConn is a connection of a caller. Callers use it by the limits in force, so that it stays
// open if these allow more time than the limits of its server.
type callerConn struct {
	*net.TCPConn
	limits  func() fleet.Limits // in force
	timeout connTimeout
	since   time.Time     // when the timeout began
	atLeast time.Duration // length of the timeout in force at that time
}

// connTimeout is the timeout that bounds reading from a connection of a caller.
type connTimeout uint8

const (
	noTimeout     connTimeout = iota // of the connection; the request has its own
	headerTimeout                    // reading the head of a request
	idleTimeout                      // waiting for the next request
)

func newCallerConn(tcp *net.TCPConn, limits func() fleet.Limits) *callerConn {
	c := &callerConn{TCPConn: tcp, limits: limits}
	c.begin(headerTimeout)
	return c
}

// begin records that a timeout begins.
func (c *callerConn) begin(t connTimeout) {
	c.timeout, c.since = t, time.Now()
	c.atLeast = c.inForce()
}

// inForce returns the length of the present timeout by the limits in force.
func (c *callerConn) inForce() time.Duration {
	switch c.timeout {
	case headerTimeout:
		return c.limits().HeaderTimeout
	case idleTimeout:
		return c.limits().IdleTimeout
	default:
		return 0
	}
}

// recordState is the ConnState hook of the servers. http.Server calls it in the goroutine that
// reads from the connection next: as idle before it sets the deadline, as active after the head
// of a request.
func recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	switch {
	case ok && state == http.StateIdle:
		c.begin(idleTimeout)
	case ok && state == http.StateActive:
		c.begin(noTimeout)
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendTimeout() {
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 && c.timeout == idleTimeout {
		c.begin(headerTimeout)
	}
	return n, err
}

// extendTimeout moves the read deadline to the end of the timeout that the caller may count on: by
// the limits in force or by those when it began. It returns false if there is no timeout or that
// time has passed.
func (c *callerConn) extendTimeout() bool {
	if c.timeout == noTimeout {
		return false
	}
	deadline := c.since.Add(max(c.atLeast, c.inForce()))
	return time.Now().Before(deadline) && c.SetReadDeadline(deadline) == nil
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
