package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// host is the Host of all routes.
const host = "desk.example"

// sent is one request of a client with its answer.
type sent struct {
	id, node, path string
	at, answered   time.Time
	status         int // zero if the connection ended without an answer
	body           string
}

// clients send requests and remember them.
type clients struct {
	record *record
	next   atomic.Int64

	mu   sync.Mutex // guards list
	list []sent
}

func (c *clients) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.list...)
}

// client is one client of an instance, with connections of its own.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}}
}

// send sends one request.
func (c *clients) send(with *http.Client, n *node, path string, deadline time.Duration) sent {
	s := sent{id: fmt.Sprintf("%016x", c.next.Add(1)), node: n.id, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+path, bytes.NewReader([]byte("order")))
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.at = time.Now()
	if answer, err := with.Do(r); err == nil {
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			s.status, s.body = answer.StatusCode, string(bytes.TrimSpace(body))
		}
	}
	s.answered = time.Now()
	c.mu.Lock()
	c.list = append(c.list, s)
	c.mu.Unlock()
	c.record.line("client sent %s %s to %s at %.3f: %d %s", s.id, path, s.node, c.record.since(s.at), s.status, s.body)
	return s
}
