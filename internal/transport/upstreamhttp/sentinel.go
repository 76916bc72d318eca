package upstreamhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"savoryweir/internal/errs"
)

const stepSentinel errs.Step = "open sentinel connection"

// Sentinel is an idle connection to an upstream. It breaks when the upstream's
// process ends, and stays open when only another connection was cut.
type Sentinel struct {
	conn   net.Conn
	broken chan struct{}
}

// OpenSentinel opens a sentinel connection and asks once for the upstream's
// health, so that the upstream keeps the connection as an idle one.
func (c *Client) OpenSentinel(ctx context.Context, address string) (*Sentinel, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, stepSentinel, errs.Peer(address))
	}
	if c.exact {
		err = greet(ctx, conn, address)
	}
	if err != nil {
		_ = conn.Close()
		return nil, errs.Wrap(err, stepSentinel, errs.Peer(address))
	}
	s := &Sentinel{conn: conn, broken: make(chan struct{})}
	go s.watch()
	return s, nil
}

func greet(ctx context.Context, conn net.Conn, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request, err := http.NewRequest(http.MethodGet, schemeHTTP+"://"+address+probePath, nil)
	if err != nil {
		return err
	}
	if err := request.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	return conn.SetDeadline(time.Time{})
}

// watch waits for the end of the connection. An idle HTTP/1.1 connection carries
// nothing, so any byte is skipped.
func (s *Sentinel) watch() {
	defer close(s.broken)
	buffer := make([]byte, 512)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
	}
}

// Broken is closed when the connection has ended.
func (s *Sentinel) Broken() <-chan struct{} { return s.broken }

// Close ends the connection.
func (s *Sentinel) Close() { _ = s.conn.Close() }
