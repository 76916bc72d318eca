package rawhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// earlyReceiveBytes bounds what the kernel takes of a body that an Early server does not read.
const earlyReceiveBytes = 16 << 10

// Early is a server that responds to the head of a request, whatever is missing of its body.
type Early struct {
	ReadBytes int64 // of the body, read before the response
	Respond   func(*http.Request) string
	End       End // ends the connection; nil to close it
}

// End ends a connection after a response. The rest of the request can be read from rest.
type End func(conn *net.TCPConn, rest io.Reader)

// ListenEarly listens on a free port of the loopback interface. Connections have a small receive buffer.
func ListenEarly(ctx context.Context) (net.Listener, error) {
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyReceiveBytes)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	return (&net.ListenConfig{Control: control}).Listen(ctx, "tcp4", "127.0.0.1:0")
}

// Serve serves one request on each connection that arrives at a listener. It returns when the listener is closed.
func (e Early) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn.(*net.TCPConn))
	}
}

func (e Early) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, min(e.ReadBytes, max(request.ContentLength, 0))); err != nil {
		return
	}
	if _, err := io.WriteString(conn, e.Respond(request)); err != nil {
		return
	}
	if e.End != nil {
		e.End(conn, request.Body)
	}
}

// ResetAfter returns an End that resets the connection after a time.
func ResetAfter(d time.Duration) End {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(d)
		_ = conn.SetLinger(0)
	}
}

// CloseThenResetAfter returns an End that closes the connection in an orderly way, and reads nothing more, so that it is
// reset after a time.
func CloseThenResetAfter(d time.Duration) End {
	return func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.CloseWrite()
		ResetAfter(d)(conn, rest)
	}
}

// CloseThenRead ends the connection in an orderly way and reads the rest of the request.
func CloseThenRead(conn *net.TCPConn, rest io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
}

// Unframed returns responses without a length or chunks that end with their connection.
func (r Response) Unframed() map[string]string {
	return map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\n" + r.Fields + "\r\n" + r.Body,
		"closing":             "HTTP/1.1 200 OK\r\n" + r.Fields + "Connection: close\r\n\r\n" + r.Body,
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + r.Fields + "\r\n" + r.Body,
		"HTTP/1.0 kept alive": "HTTP/1.0 200 OK\r\n" + r.Fields + "Connection: keep-alive\r\n\r\n" + r.Body,
		"informational first": "HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + r.Fields + "\r\n" + r.Body,
		"status 201":          "HTTP/1.1 201 X\r\n" + r.Fields + "\r\n" + r.Body,
		"status 404":          "HTTP/1.1 404 X\r\n" + r.Fields + "\r\n" + r.Body,
		"status 500":          "HTTP/1.1 500 X\r\n" + r.Fields + "\r\n" + r.Body,
		"events":              "HTTP/1.1 200 OK\r\n" + r.Fields + "Content-Type: text/event-stream\r\n\r\n" + r.Body,
		"head alone":          "HTTP/1.1 200 OK\r\n" + r.Fields + "\r\n",
	}
}

// Framed returns the response with a length and in chunks.
func (r Response) Framed() map[string]string {
	return map[string]string{
		"length": r.Sound(),
		"chunks": "HTTP/1.1 200 OK\r\n" + r.Fields + "Transfer-Encoding: chunked\r\n\r\n" + r.chunks(),
	}
}
