package upstreamconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/transport/keepalive"
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
	AtMostOnce bool // the request must not be sent again if its outcome is unknown
	// IsAbandoned reports whether nobody waits for the response any more. It is asked right before
	// the request is written, unless it is nil.
	IsAbandoned func() bool
}

// ErrAbandoned is the cause of a Failure of a request that was not sent because it was abandoned.
var ErrAbandoned = errors.New("request was abandoned before it was sent")

func (r Request) isAbandoned(ctx context.Context) bool {
	return ctx.Err() != nil || r.IsAbandoned != nil && r.IsAbandoned()
}

// Failure is the error of an exchange that failed before the head of a response arrived.
type Failure struct {
	MaybeSent bool // some byte of the request may have reached the upstream
	Err       error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Exchange is a request whose response head has arrived. The caller reads the body by
// Read and must call Close.
type Exchange struct {
	Response *http.Response

	pool          *Pool
	address       string
	conn          *conn
	written       chan error  // receives the result of sending the request
	bodyComplete  bool        // the response body was read to its end
	detachContext func() bool // stops ctx from closing the connection; false if ctx has ended
	endSlowRead   func()      // ends the time in which the upstream may read slowly
	closed        atomic.Bool
}

// Do sends a request and waits for the head of the response. If ctx ends before the
// exchange is closed, the connection is closed. Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.get(ctx, r.Address, r.AtMostOnce)
	if err != nil {
		return nil, &Failure{Err: errs.Wrap(err, stepConnect, errs.Peer(r.Address))}
	}
	isNew := c.idleSince.IsZero()
	if r.isAbandoned(ctx) {
		p.putUnused(r.Address, c)
		return nil, &Failure{Err: errs.Wrap(cause(ctx, ErrAbandoned), stepSend, errs.Peer(r.Address))}
	}
	x := &Exchange{pool: p, address: r.Address, conn: c, written: make(chan error, 1), endSlowRead: func() {}}
	x.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	maybeSent, err := x.send(r)
	if err != nil {
		p.observeBroken(ctx, r.Address, isNew)
		x.Close()
		return nil, &Failure{MaybeSent: maybeSent, Err: errs.Wrap(cause(ctx, err), stepSend, errs.Peer(r.Address))}
	}
	if err := x.readHead(r.Method); err != nil {
		p.observeBroken(ctx, r.Address, isNew)
		x.Close()
		return nil, &Failure{MaybeSent: true, Err: errs.Wrap(cause(ctx, err), stepHead, errs.Peer(r.Address))}
	}
	p.observe(r.Address, Reached)
	return x, nil
}

// observeBroken reports that a connection ended before a response, unless ctx ended it. One that was
// idle before may end for other reasons than the path.
func (p *Pool) observeBroken(ctx context.Context, address string, isNew bool) {
	if isNew && ctx.Err() == nil {
		p.observe(address, BrokenEarly)
	}
}

// cause adds the reason why ctx ended, if it has ended, to the error that this led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// maxInlineBodyBytes is the size of the largest body that is sent completely before the
// response is awaited. It fits into the send buffer of a connection, so that an
// upstream that responds without reading the body can't block the exchange.
const maxInlineBodyBytes = 8 << 10

// send writes the request to the connection. A body above maxInlineBodyBytes is
// written in the background. maybeSent reports whether any byte may have reached the
// upstream.
func (x *Exchange) send(r Request) (maybeSent bool, err error) {
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
	if len(r.Body) <= maxInlineBodyBytes {
		head.Write(r.Body)
		n, err := x.conn.Write(head.Bytes())
		x.written <- err
		return n > 0, err
	}
	n, err := x.conn.Write(head.Bytes())
	if err != nil {
		return n > 0, err
	}
	x.endSlowRead = keepalive.AllowSlowReader(x.conn)
	go func() {
		_, err := x.conn.Write(r.Body)
		x.written <- err
	}()
	return true, nil
}

// readHead reads the head of the final response and skips informational responses.
func (x *Exchange) readHead(method string) error {
	head := &x.conn.head
	head.begin()
	for {
		if err := x.awaitStatusLine(); err != nil {
			return err
		}
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err := head.fault(err); err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.Response = response
			head.end()
			return nil
		}
	}
}

var (
	statusLinePrefix = []byte("HTTP/1.")
	errNoStatusLine  = fmt.Errorf("%w: its bytes begin no HTTP/1 response", responsehead.ErrMalformed)
)

// awaitStatusLine waits for the first bytes of a status line. It returns errNoStatusLine as
// soon as a byte differs, because an upstream may send others for ever without a line break.
func (x *Exchange) awaitStatusLine() error {
	for n := 1; n <= len(statusLinePrefix); n++ {
		start, err := x.conn.reader.Peek(n)
		if err != nil {
			return err
		}
		if !bytes.HasPrefix(statusLinePrefix, start) {
			return errNoStatusLine
		}
	}
	return nil
}

// Read reads the response body. It returns io.EOF only if the response is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		if err := responsehead.CheckTrailer(x.Response.Trailer); err != nil {
			return n, err
		}
		x.bodyComplete = true
		return n, io.EOF
	}
	if x.closed.Load() && err != nil {
		return n, net.ErrClosed
	}
	return n, err
}

// Close ends the exchange. The connection is reused only if the upstream has got the whole
// request and the response was read completely.
func (x *Exchange) Close() {
	if !x.closed.CompareAndSwap(false, true) {
		return
	}
	isOpen := x.detachContext()
	x.endSlowRead()
	if isOpen && x.bodyComplete && !x.Response.Close && x.isSent() && x.conn.reader.Buffered() == 0 {
		x.conn.idleSince, x.conn.idleTimeout = x.pool.now(), safeIdleTimeout(x.Response.Header)
		x.pool.put(x.address, x.conn)
		return
	}
	_ = x.conn.Close()
}

// isSent reports whether the request was written completely and without an error, and the upstream
// has acknowledged all of it. A request behind one that the upstream reads later would wait.
func (x *Exchange) isSent() bool {
	select {
	case err := <-x.written:
		return err == nil && x.conn.isAcknowledged()
	default:
		return false
	}
}
