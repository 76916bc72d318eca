package engineclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/engineclient"
)

// An engine in trouble may send bytes without end.
func TestEndlessReportFailsAndConnectionIsClosed(t *testing.T) {
	fill := strings.Repeat(" ", 4096)
	for name, begin := range map[string]string{
		"garbage":      "\x00",
		"header line":  "HTTP/1.1 200 X\r\nX-Fill: ",
		"body":         "HTTP/1.1 200 X\r\n\r\n{\"boot\":\"b\"",
		"known length": "HTTP/1.1 200 X\r\nContent-Length: 1099511627776\r\n\r\n{\"boot\":\"b\"",
	} {
		t.Run(name, func(t *testing.T) { assertEndlessReportFails(t, begin, fill) })
	}
}

// A report that was cut off is none, even if its beginning can be decoded.
func TestReportWithEndlessBlanksFails(t *testing.T) {
	assertEndlessReportFails(t, "HTTP/1.1 200 X\r\n\r\n{\"boot\":\"b\"}", strings.Repeat(" ", 4096))
}

// assertEndlessReportFails reads the report of an engine that sends begin, and then fill for ever.
func assertEndlessReportFails(t *testing.T, begin, fill string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	closed := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for data := begin; err == nil; data = fill {
			_, err = io.WriteString(conn, data)
		}
		close(closed)
	}()
	session, err := engineclient.Dial(t.Context(), bundle.Upstream{ID: "e", Address: listener.Addr().String()}, nil)
	assert.NilError(t, err)
	defer session.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = session.Report(ctx)
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the engine is still open after 500 ms")
	}
}
