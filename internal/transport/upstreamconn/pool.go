// Package upstreamconn sends requests to upstreams over HTTP/1.1. It tells
// whether any byte of a failed request may have reached the upstream, never sends
// a request twice by itself, and reuses a connection only after a whole answer.
package upstreamconn

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"savoryweir/internal/transport/keepalive"
)

const (
	// DialTimeout is the longest wait for a connection: many round trips between
	// zones. A lost opening packet is sent again only after a second; by then
	// another upstream has answered.
	DialTimeout = 250 * time.Millisecond
	// maxIdlePerUpstream is above the requests that one instance usually has in
	// flight at one upstream.
	maxIdlePerUpstream = 16
	// keepUnannounced is how long a connection is kept whose upstream names no
	// idle timeout of its own.
	keepUnannounced = 2 * time.Second
	// keepShare is the share of an announced idle timeout within which a
	// connection is used again.
	keepShare = 0.7
	// onceKeep is the idle time within which a connection may carry a request
	// that can't be sent again: short, as an upstream that closes the connection
	// at that moment leaves the outcome unknown.
	onceKeep = 250 * time.Millisecond
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	now    func() time.Time
	opened func() // told of each new connection

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// NewPool returns an empty pool. opened is told of each connection that is opened.
func NewPool(opened func()) *Pool {
	return &Pool{dialer: keepalive.Dialer(DialTimeout), now: time.Now, opened: opened, idle: make(map[string][]*conn)}
}

// connection returns a connection that is fit for the request.
func (p *Pool) connection(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		idle := p.now().Sub(c.idleSince)
		if idle < c.keepFor && (!once || idle < onceKeep) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.opened()
	return newConn(raw), nil
}

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

// keep returns a connection after a whole answer.
func (p *Pool) keep(address string, c *conn, answer *http.Response) {
	c.idleSince, c.keepFor = p.now(), keepTime(answer.Header)
	p.mu.Lock()
	list := p.idle[address]
	if c.keepFor <= 0 || len(list) >= maxIdlePerUpstream {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
	p.mu.Unlock()
}

// keepTime returns how long the upstream surely keeps an idle connection.
func keepTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(float64(seconds) * keepShare * float64(time.Second))
		}
	}
	return keepUnannounced
}

// CloseExpired closes the connections that are past their idle time.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	var stale []*conn
	for address, list := range p.idle {
		var fresh []*conn
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepFor {
				fresh = append(fresh, c)
			} else {
				stale = append(stale, c)
			}
		}
		if p.idle[address] = fresh; len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
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
