package upstreamhttp

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/transport/checkedhttp"
)

const stepSentinel errs.Step = "open sentinel connection"

// Sentinel is an idle connection to an upstream. It breaks when the upstream's process
// ends and stays open when only another connection is interrupted. It thus
// distinguishes a crash of the process from the failure of a single connection.
type Sentinel struct {
	conn   net.Conn
	broken chan struct{}
}

// OpenSentinel opens a sentinel connection. Over HTTP/1.1 it sends one health request on
// it, so that the upstream treats the connection as idle and keeps it open.
func (c *Client) OpenSentinel(ctx context.Context, address string) (*Sentinel, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, stepSentinel, errs.Peer(address))
	}
	if c.oneRequestPerConn {
		err = sendProbe(ctx, conn, address)
	}
	if err != nil {
		_ = conn.Close()
		return nil, errs.Wrap(err, stepSentinel, errs.Peer(address))
	}
	s := &Sentinel{conn: conn, broken: make(chan struct{})}
	go s.waitForClose()
	return s, nil
}

// sendProbe sends one health request on conn and reads the head of the response. The
// deadline of ctx applies.
func sendProbe(ctx context.Context, conn net.Conn, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request, err := http.NewRequest(http.MethodGet, schemeHTTP+"://"+address+probePath, nil)
	if err != nil {
		return err
	}
	checked := checkedhttp.NewConn(conn)
	checked.ExpectResponse()
	if err := request.Write(checked); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(checked), request)
	if err := cmp.Or(checked.Err(), err); err != nil {
		return err
	}
	_ = response.Body.Close()
	return conn.SetDeadline(time.Time{})
}

// waitForClose closes broken when the connection ends. An idle HTTP/1.1 connection carries
// no data, so any received bytes are discarded.
func (s *Sentinel) waitForClose() {
	defer close(s.broken)
	buffer := make([]byte, 512)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
	}
}

// Broken returns a channel that is closed when the connection has ended.
func (s *Sentinel) Broken() <-chan struct{} { return s.broken }

// Close closes the connection.
func (s *Sentinel) Close() { _ = s.conn.Close() }
