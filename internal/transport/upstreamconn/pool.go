// Package upstreamconn sends requests to upstreams over HTTP/1.1. It reports whether
// any byte of a failed request may have reached the upstream, never retries a request
// by itself, and reuses a connection only after a complete response.
package upstreamconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/transport/keepalive"
	"savoryweir/internal/transport/sockbuf"
)

const (
	// DialTimeout is the time limit for opening a connection. It covers many round
	// trips between zones. The kernel resends a lost SYN packet only after a second; by
	// then another upstream would have answered.
	DialTimeout = 250 * time.Millisecond
	// maxIdlePerUpstream is larger than the number of requests that one instance
	// usually has in flight at one upstream.
	maxIdlePerUpstream = 16
	// defaultIdleTimeout is how long an idle connection may be reused if the upstream
	// announces no idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutShare is the share of an announced idle timeout within which a
	// connection may be reused.
	idleTimeoutShare = 0.7
	// atMostOnceIdleTimeout is the idle time within which a connection may carry a
	// request that must not be sent again. It is short because an upstream that closes
	// the connection at that moment leaves the outcome of the request unknown.
	atMostOnceIdleTimeout = 250 * time.Millisecond
)

// Reach is what an exchange shows about the path to an address.
type Reach uint8

const (
	// Reached means that a response has arrived.
	Reached Reach = iota
	// NotConnected means that no connection could be opened.
	NotConnected
	// BrokenEarly means that a new connection ended before a response.
	BrokenEarly
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection to an address. It may be replaced before the first use.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Observe is called with the result of each attempt to reach an address, unless it is nil.
	Observe func(address string, result Reach)

	now    func() time.Time
	onOpen func() // called for each new connection

	mu   sync.Mutex         // guards idle
	idle map[string][]*conn // most recently used last
}

// NewPool returns an empty pool. It calls onOpen for each connection that it opens.
func NewPool(onOpen func()) *Pool {
	dialer := keepalive.Dialer(DialTimeout)
	setOptions := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(sockbuf.LimitReceive(network, address, raw), setOptions(network, address, raw))
	}
	return &Pool{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		now: time.Now, onOpen: onOpen, idle: make(map[string][]*conn),
	}
}

// get returns an idle connection that may carry the request, or opens one.
func (p *Pool) get(ctx context.Context, address string, atMostOnce bool) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		idle := p.now().Sub(c.idleSince)
		if idle < c.idleTimeout && (!atMostOnce || idle < atMostOnceIdleTimeout) && c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.Dial(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			p.observe(address, NotConnected)
		}
		return nil, err
	}
	p.onOpen()
	return newConn(raw), nil
}

func (p *Pool) observe(address string, result Reach) {
	if p.Observe != nil {
		p.Observe(address, result)
	}
}

// HasIdle reports whether there is an idle connection to an address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// takeIdle removes and returns the most recently used idle connection to address, or
// nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if len(list) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list[:len(list)-1]
	}
	return c
}

// putUnused returns a connection to the pool on which nothing was sent since get.
func (p *Pool) putUnused(address string, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince, c.idleTimeout = p.now(), defaultIdleTimeout
	}
	p.put(address, c)
}

// put returns an idle connection to the pool. It closes the connection if that can't be reused or
// the pool holds enough connections to address.
func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	list := p.idle[address]
	if c.idleTimeout <= 0 || len(list) >= maxIdlePerUpstream {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
	p.mu.Unlock()
}

// safeIdleTimeout returns the idle time for which the upstream keeps a connection
// open with a margin, as announced in the Keep-Alive header of a response.
func safeIdleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// CloseExpired closes the connections whose idle timeout has passed, and those that the
// upstream has closed or sent data on, which would fill the receive buffer.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		var fresh []*conn
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout && c.isReusable() {
				fresh = append(fresh, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[address] = fresh; len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}
