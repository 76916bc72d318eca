package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// unframed is an answer with neither a length nor chunks: the end of its connection is the end of
// the answer. It implements http.ResponseWriter.
type unframed struct {
	conn     net.Conn
	header   http.Header
	hasBegun bool
}

// hijack takes the connection of a request over. It calls gone once the peer has closed it.
func hijack(w http.ResponseWriter, gone context.CancelFunc) (*unframed, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		gone()
	}()
	return &unframed{conn: conn, header: w.Header()}, nil
}

// Header implements http.ResponseWriter.
func (a *unframed) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *unframed) WriteHeader(status int) {
	if a.hasBegun {
		return
	}
	a.hasBegun = true
	_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	a.header.Del("Content-Length")
	_ = a.header.Write(a.conn)
	_, _ = io.WriteString(a.conn, "\r\n")
}

// Write implements http.ResponseWriter.
func (a *unframed) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.conn.Write(p)
}

// FlushError serves http.ResponseController; nothing is buffered.
func (a *unframed) FlushError() error { return nil }

// reset sends half of a body and resets the connection: without a length, a body whose connection
// is closed in the usual way looks whole.
func (a *unframed) reset(body string) {
	_, _ = io.WriteString(a, body[:len(body)/2])
	if conn, ok := a.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	a.end()
}

// end closes the connection, also when the answer is broken off: nobody else does that.
func (a *unframed) end() { _ = a.conn.Close() }
