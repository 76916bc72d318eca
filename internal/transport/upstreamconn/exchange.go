package upstreamconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"savoryweir/internal/errs"
)

const (
	stepConnect errs.Step = "connect to upstream"
	stepSend    errs.Step = "send request to upstream"
	stepHead    errs.Step = "read answer of upstream"
)

// Request is one request to an upstream.
type Request struct {
	Address    string // IP address and port
	Method     string
	Target     string // path and query as the caller sent them
	Host       string
	Header     http.Header
	Body       []byte
	AtMostOnce bool // the request can't be sent again if its outcome is unknown
}

// Failure is an exchange that brought no head of an answer.
type Failure struct {
	MaybeSent bool // some byte of the request may have reached the upstream
	Err       error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Exchange is a request whose answer's head has come. Close it.
type Exchange struct {
	Response *http.Response

	pool    *Pool
	address string
	conn    *conn
	written chan error // closed or filled when the request is sent
	whole   bool
	stop    func() bool
	closed  atomic.Bool
}

// Do sends a request and waits for the head of the answer. The end of ctx closes
// the connection at any time until the exchange is closed.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.connection(ctx, r.Address, r.AtMostOnce)
	if err != nil {
		return nil, &Failure{Err: errs.Wrap(err, stepConnect, errs.Peer(r.Address))}
	}
	x := &Exchange{pool: p, address: r.Address, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	sent, err := x.send(r)
	if err != nil {
		x.Close()
		return nil, &Failure{MaybeSent: sent, Err: errs.Wrap(cause(ctx, err), stepSend, errs.Peer(r.Address))}
	}
	if err := x.readHead(r.Method); err != nil {
		x.Close()
		return nil, &Failure{MaybeSent: true, Err: errs.Wrap(cause(ctx, err), stepHead, errs.Peer(r.Address))}
	}
	return x, nil
}

// cause prefers the end of the context to the error that it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// inlineBodyBytes is the largest body that is sent before the answer is awaited;
// it fits the send buffer of a connection, so that an upstream that answers
// without reading can't block the exchange.
const inlineBodyBytes = 8 << 10

func (x *Exchange) send(r Request) (sent bool, err error) {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	h := r.Header
	h.Del("Host")
	h.Del("Content-Length")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if err := h.Write(&head); err != nil {
		return false, err
	}
	head.WriteString("\r\n")
	if len(r.Body) <= inlineBodyBytes {
		head.Write(r.Body)
		n, err := x.conn.Write(head.Bytes())
		x.written <- err
		return n > 0, err
	}
	n, err := x.conn.Write(head.Bytes())
	if err != nil {
		return n > 0, err
	}
	go func() {
		_, err := x.conn.Write(r.Body)
		x.written <- err
	}()
	return true, nil
}

func (x *Exchange) readHead(method string) error {
	x.conn.head.left = maxHeadBytes
	for {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.Response = response
			x.conn.head.left = -1
			return nil
		}
	}
}

// Read reads the body. It returns io.EOF only where the answer is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		x.whole = true
		return n, io.EOF
	}
	if x.closed.Load() && err != nil {
		return n, net.ErrClosed
	}
	return n, err
}

// Close ends the exchange. The connection is kept only after a whole answer to a
// request that was sent whole.
func (x *Exchange) Close() {
	if !x.closed.CompareAndSwap(false, true) {
		return
	}
	alive := x.stop()
	if alive && x.whole && !x.Response.Close && x.isSent() && x.conn.reader.Buffered() == 0 {
		x.pool.keep(x.address, x.conn, x.Response)
		return
	}
	_ = x.conn.Close()
}

func (x *Exchange) isSent() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}
