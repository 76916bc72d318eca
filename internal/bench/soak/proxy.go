package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Link is what a proxy does to the connections that pass through it.
type Link struct {
	Delay  time.Duration // before each piece is passed on
	Refuse bool          // new connections are reset
	// HoldToServer and HoldToClient keep back the bytes of one direction until the
	// link is set anew.
	HoldToServer, HoldToClient bool
}

// Proxy forwards TCP connections on the loopback interface and harms them on command.
type Proxy struct {
	listener net.Listener
	target   string
	cuts     *instanceCuts // whose instances are cut off here; nil where that does not matter

	mu      sync.Mutex // guards all below
	link    Link
	changed chan struct{} // closed and replaced when the link is set anew
	pairs   map[*pair]bool
}

// pair is one connection on both sides of the proxy.
type pair struct {
	client, server *net.TCPConn
	silent         bool // passes nothing on any more, and is not reset
	closed         chan struct{}
	once           sync.Once
}

// NewProxy listens on address, which may name port 0, and forwards to target.
func NewProxy(address, target string) (*Proxy, error) { return newProxy(address, target, nil) }

func newProxy(address, target string, cuts *instanceCuts) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, cuts: cuts, changed: make(chan struct{}), pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy with its connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Reset()
	return err
}

// Set replaces what is done to all connections, open ones included.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.signal()
}

// Silence stops the connections that are open now for good; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
	p.signal()
}

// signal tells the copying goroutines of a change. The caller holds p.mu.
func (p *Proxy) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets the connections that are open now.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	p.mu.Lock()
	refuse := p.link.Refuse
	p.mu.Unlock()
	if refuse || p.cuts != nil && p.cuts.isCut(client) {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(client) // the target's port is closed, or its host is gone
		return
	}
	c := &pair{client: client, server: server.(*net.TCPConn), closed: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(c, c.server, c.client, func(l Link) bool { return l.HoldToServer }) })
	group.Go(func() { p.copy(c, c.client, c.server, func(l Link) bool { return l.HoldToClient }) })
	group.Wait()
	c.end(func(conn *net.TCPConn) { _ = conn.Close() })
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

const pieceBytes = 32 << 10

// copy passes one direction on until either side ends it.
func (p *Proxy) copy(c *pair, to, from *net.TCPConn, isHeld func(Link) bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.pass(c, isHeld) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		var failed *net.OpError
		switch {
		case err == nil:
		case errors.As(err, &failed):
			c.reset() // a reset is passed on as one
			return
		default:
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits until a piece may go on. It reports false if the pair has ended.
func (p *Proxy) pass(c *pair, isHeld func(Link) bool) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, silent, changed := p.link, c.silent, p.changed
		p.mu.Unlock()
		switch {
		case silent || isHeld(link):
			select {
			case <-changed:
			case <-c.closed:
				return false
			}
		case link.Delay > 0 && !delayed:
			delayed = true
			select {
			case <-time.After(link.Delay):
			case <-c.closed:
				return false
			}
		default:
			return true
		}
	}
}

func (c *pair) reset() { c.end(reset) }

// end closes both sides once.
func (c *pair) end(closing func(*net.TCPConn)) {
	c.once.Do(func() {
		close(c.closed)
		closing(c.client)
		closing(c.server)
	})
}

// reset closes a connection without the usual exchange.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
