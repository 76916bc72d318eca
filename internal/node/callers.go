package node

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/node/gateway"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/hangup"
)

// callerServers serves the connections of callers. The timeouts of the configuration that is in
// force when a connection opens apply to it. Since http.Server does not allow its timeouts to
// change, a change of these replaces the server; earlier servers keep their connections. The
// header limit and longer timeouts apply to these as well, see callerConn.
type callerServers struct {
	gateway  *gateway.Gateway
	listener net.Listener
	// accepted is closed when no more connections are accepted.
	accepted     chan struct{}
	acceptedOnce sync.Once

	mu             sync.Mutex // guards the fields below
	headerTimeout  time.Duration
	idleTimeout    time.Duration
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

	// maxHeaderLimit is the largest header limit that can be enforced, in bytes.
	maxHeaderLimit = 1 << 30

	// acceptBacklogTime is how long an instance that stops goes on accepting the connections
	// that wait for it.
	acceptBacklogTime = 20 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// acceptConnections accepts connections and hands each to the server with the timeouts
// in force. After the listener is closed or its deadline has passed, it waits for the end of ctx.
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
			conn = &callerConn{
				TCPConn: tcp, headerLimit: c.headerLimitInForce, headerTimeout: c.headerTimeoutInForce, idleTimeout: c.idleTimeoutInForce,
				readsHead: true, headSince: time.Now(),
			}
		}
		c.currentListener().deliver(conn)
	}
}

// currentListener returns the listener of the server with the timeouts in force, and starts a
// new server if the timeouts have changed.
func (c *callerServers) currentListener() *queueListener {
	limits := c.limitsInForce()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil && c.headerTimeout == limits.HeaderTimeout && c.idleTimeout == limits.IdleTimeout {
		return c.serverListener
	}
	if c.server != nil {
		c.retired = append(c.retired, c.server)
	}
	c.headerTimeout, c.idleTimeout = limits.HeaderTimeout, limits.IdleTimeout
	c.serverListener = newQueueListener(c.listener.Addr())
	c.server = &http.Server{
		Handler: c.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: maxHeaderLimit, // callerConn enforces the limit in force
		ConnState:      recordConnState,
		ConnContext:    hangup.NewContext,
	}
	server, listener := c.server, c.serverListener
	go func() { _ = server.Serve(listener) }() // returns when the listener or the server is closed, as the process stops
	return c.serverListener
}

func (c *callerServers) limitsInForce() fleet.Limits {
	if config := c.gateway.Config(); config != nil {
		return config.Limits
	}
	return fleet.Limits{HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
}

func (c *callerServers) headerTimeoutInForce() time.Duration { return c.limitsInForce().HeaderTimeout }

func (c *callerServers) idleTimeoutInForce() time.Duration { return c.limitsInForce().IdleTimeout }

func (c *callerServers) headerLimitInForce() int {
	return min(cmp.Or(c.gateway.HeaderLimit(), initialMaxHeaderBytes), maxHeaderLimit)
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

// callerConn is a connection of a caller. It enforces the header limit in force, which may
// change while http.Server serves the connection. Callers reuse it and send heads by the timeouts
// in force, so that it stays open if these are longer than the timeouts of its server.
type callerConn struct {
	*net.TCPConn
	headerLimit   func() int // in force, in bytes
	headerTimeout func() time.Duration
	idleTimeout   func() time.Duration

	readsHead bool          // the server waits for a head or reads one
	headBytes int           // read since readsHead was set
	headSince time.Time     // when the connection was accepted or the first byte after idleSince was read
	idleSince time.Time     // zero unless the connection waits for the next request
	idleLimit time.Duration // idle timeout in force at idleSince
}

const (
	// headerSlop is how far above the limit a head may be, in bytes. It is that of http.Server.
	headerSlop = 4096
	// refusalLinger is how long a connection stays open after a refused head. If it closed at
	// once, the kernel would reset it, and the caller might not read the response.
	refusalLinger = 500 * time.Millisecond
	// headerRefusal is the response of http.Server to a head that is too large.
	headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
		"431 Request Header Fields Too Large"
)

// errHeadTooLarge ends a connection without a further response, because http.Server responds to
// no read error of the network.
var errHeadTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head of the request exceeds the limit")}

// recordConnState is the ConnState hook of the servers. http.Server calls it in the goroutine
// that reads from the connection next: with StateActive when a head has been read, and with
// StateIdle when the whole request has been read and answered, before it sets the idle deadline.
func recordConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.readsHead = false
	case http.StateIdle:
		c.readsHead, c.headBytes = true, 0
		c.idleSince, c.idleLimit = time.Now(), c.idleTimeout()
	}
}

// Read implements net.Conn. It refuses a head that goes on beyond the header limit. The server
// reads only what it needs: if it reads again, all bytes so far belong to the head. Bytes of the
// head that were read with the request before don't count.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.readsHead {
		allowed := c.headerLimit() + headerSlop - c.headBytes
		if allowed <= 0 {
			return 0, c.refuseHead()
		}
		p = p[:min(len(p), allowed)]
	}
	n, err := c.TCPConn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 && !c.idleSince.IsZero() {
		c.idleSince, c.headSince = time.Time{}, time.Now()
	}
	if c.readsHead {
		c.headBytes += n
	}
	return n, err
}

// refuseHead responds to a head that is too large and returns the error that ends the connection.
func (c *callerConn) refuseHead() error {
	_ = c.SetWriteDeadline(time.Now().Add(refusalLinger))
	if _, err := io.WriteString(c.TCPConn, headerRefusal); err != nil {
		return errHeadTooLarge
	}
	_ = c.CloseWrite()
	time.Sleep(refusalLinger)
	return errHeadTooLarge
}

// extendDeadline moves the read deadline of a connection that is idle or reads a head to the end
// of the timeout that its caller may count on: the header timeout in force, or of the idle timeouts
// in force and at idleSince the longer one. It returns false if that time has passed.
func (c *callerConn) extendDeadline() bool {
	if !c.readsHead {
		return false
	}
	deadline := c.headSince.Add(c.headerTimeout())
	if !c.idleSince.IsZero() {
		deadline = c.idleSince.Add(max(c.idleLimit, c.idleTimeout()))
	}
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
