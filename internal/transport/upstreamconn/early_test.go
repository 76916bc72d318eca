package upstreamconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// uploadBytes is more than the socket buffers of both ends hold, so that the write of the body waits.
const uploadBytes = 8 << 20

// earlyEnds are the ways in which a server may end its connection, each after several times.
func earlyEnds(end func(time.Duration) rawhttp.End) map[string]rawhttp.End {
	ends := make(map[string]rawhttp.End)
	for _, d := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond} {
		ends[fmt.Sprint("after ", d)] = end(d)
	}
	return ends
}

// exchangeEarly sends an upload to a server that responds early, and reads the response after a pause.
func exchangeEarly(t *testing.T, server rawhttp.Early, readAfter time.Duration) (body string, err error) {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go server.Serve(listener)
	r := newRequest(listener.Addr().String())
	r.Body = bytes.Repeat([]byte("x"), uploadBytes)
	x, err := NewPool(func() {}).Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	time.Sleep(readAfter)
	read, err := io.ReadAll(x)
	return string(read), err
}

// forEachEarly calls check for each of some responses, ways to end the connection, parts of the body that are read before
// and pauses before the response is read.
func forEachEarly(t *testing.T, responses map[string]string, ends map[string]rawhttp.End, check func(t *testing.T, name string, body string, err error)) {
	for name, text := range responses {
		for endName, end := range ends {
			for _, readBytes := range []int64{0, 100 << 10, uploadBytes / 2} {
				for _, readAfter := range []time.Duration{0, 60 * time.Millisecond} {
					t.Run(fmt.Sprint(name, " ends ", endName, ", read ", readBytes, ", ", readAfter), func(t *testing.T) {
						t.Parallel()
						body, err := exchangeEarly(t, rawhttp.Early{ReadBytes: readBytes, Respond: func(*http.Request) string { return text }, End: end}, readAfter)
						check(t, name, body, err)
					})
				}
			}
		}
	}
}

// The kernel reports a reset once. A write that waits for room takes the report, and the read that follows gets the end
// of the file, which ended a body without a length as if it were complete.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	half := rawhttp.Response{Body: "half"}
	forEachEarly(t, half.Unframed(), earlyEnds(rawhttp.ResetAfter), func(t *testing.T, _, body string, err error) {
		assert.Assert(t, err != nil, "%q looks complete", body)
	})
}

// A server may end its response in an orderly way and close the connection before it has read the body. The reset by
// which it turns away the rest of the body says nothing about the response.
func TestEarlyResponseWithOrderlyEndIsComplete(t *testing.T) {
	whole := rawhttp.Response{Body: strings.Repeat("whole", 2000)}
	ends := earlyEnds(rawhttp.CloseThenResetAfter)
	ends["by reading"] = rawhttp.CloseThenRead
	forEachEarly(t, whole.Unframed(), ends, func(t *testing.T, name, body string, err error) {
		assert.NilError(t, err)
		assert.Assert(t, body == whole.Body || name == "head alone" && body == "", "%d bytes", len(body))
	})
}

func TestEarlyFramedResponseIsCompleteHoweverItEnds(t *testing.T) {
	whole := rawhttp.Response{Body: "whole"}
	ends := earlyEnds(rawhttp.CloseThenResetAfter)
	for name, end := range earlyEnds(rawhttp.ResetAfter) {
		ends["by reset "+name] = end
	}
	forEachEarly(t, whole.Framed(), ends, func(t *testing.T, _, body string, err error) {
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	})
}

// silence is longer than the time for which sent bytes may stay unacknowledged.
const silence = 3 * time.Second

// An upstream that reads an upload slowly closes its receive window, for longer than the kernel waits for
// acknowledgements. It is sound, and may have begun its response.
func TestUpstreamThatReadsUploadSlowlyIsAwaited(t *testing.T) {
	whole := rawhttp.Response{Body: strings.Repeat("whole", 2000)}
	responses := whole.Framed()
	responses["no length"] = whole.Unframed()["no length"]
	for name, text := range responses {
		for begun, sent := range map[string]int{"not begun": 0, "begun": len(text) / 2} {
			t.Run(name+" "+begun, func(t *testing.T) {
				t.Parallel()
				server := rawhttp.Early{Respond: func(*http.Request) string { return text[:sent] }, End: func(conn *net.TCPConn, rest io.Reader) {
					time.Sleep(silence)
					_, _ = io.Copy(io.Discard, rest)
					_, _ = io.WriteString(conn, text[sent:])
				}}
				body, err := exchangeEarly(t, server, 0)
				assert.NilError(t, err)
				assert.Equal(t, len(body), len(whole.Body))
			})
		}
	}
}

// dropPackets makes the kernel drop all packets that arrive for a connection, as a path that is cut does.
func dropPackets(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	return errors.Join(err, filterErr)
}

// An upload whose path is cut fails long before its deadline, so that it may be sent to another upstream.
func TestUploadOnUnresponsivePathFails(t *testing.T) {
	dropped := make(chan error, 1)
	server := rawhttp.Early{Respond: func(*http.Request) string { return "" }, End: func(conn *net.TCPConn, rest io.Reader) {
		dropped <- dropPackets(conn)
		_, _ = io.Copy(io.Discard, rest)
		time.Sleep(2 * silence)
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 2*silence)
	defer cancel()
	listener, err := rawhttp.ListenEarly(ctx)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go server.Serve(listener)
	r := newRequest(listener.Addr().String())
	r.Body = make([]byte, uploadBytes)
	_, err = NewPool(func() {}).Do(ctx, r)
	assert.NilError(t, <-dropped)
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err())
}

// An upstream may respond early, keep the connection and read on later. A request on that connection would wait behind
// the rest of the upload.
func TestConnectionIsNotReusedWhileUploadIsUnread(t *testing.T) {
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	readOn := make(chan struct{})
	defer close(readOn)
	go rawhttp.Early{Respond: func(*http.Request) string { return rawhttp.Response{Body: "early"}.Sound() }, End: func(_ *net.TCPConn, rest io.Reader) {
		<-readOn
		_, _ = io.Copy(io.Discard, rest)
	}}.Serve(listener)
	p := NewPool(func() {})
	for range 2 {
		r := newRequest(listener.Addr().String())
		r.Body = make([]byte, 512<<10)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		x, err := p.Do(ctx, r)
		assert.NilError(t, err)
		body, err := io.ReadAll(x)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "early")
		time.Sleep(50 * time.Millisecond) // the kernel has taken all of the upload
		x.Close()
	}
}
