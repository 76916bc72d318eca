package eofcheck

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// connect returns both ends of a connection. The peer takes a few bytes only until it reads.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = peer.Close()
	})
	return New(raw), peer.(*net.TCPConn)
}

// startWrite writes more than the socket buffers hold, and returns once the write waits for room.
func startWrite(t *testing.T, c *Conn) (result <-chan error) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(bytes.Repeat([]byte("x"), 8<<20))
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the write did not wait: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	return done
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// The second read asks again, as a buffered reader may.
func TestResetThatWriteWasToldOfIsReadAsReset(t *testing.T) {
	for name, isReading := range map[string]bool{"read before reset": true, "read after reset": false} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			written := startWrite(t, c)
			_, err := io.WriteString(peer, "half")
			assert.NilError(t, err)
			if isReading {
				time.AfterFunc(20*time.Millisecond, func() { reset(peer) })
			} else {
				reset(peer)
				assert.Assert(t, <-written != nil)
			}
			for _, want := range []string{"half", ""} {
				read, err := io.ReadAll(c)
				assert.Equal(t, string(read), want)
				assert.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

func TestResetAfterOrderlyEndIsReadAsEnd(t *testing.T) {
	c, peer := connect(t)
	written := startWrite(t, c)
	_, err := io.WriteString(peer, "whole")
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	time.Sleep(20 * time.Millisecond)
	reset(peer)
	assert.ErrorIs(t, <-written, syscall.EPIPE)
	read, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(read), "whole")
}

// A peer that has ended its bytes may still read, so that a write goes on as long as it takes.
func TestOrderlyEndIsReadWhileWriteWaits(t *testing.T) {
	c, peer := connect(t)
	written := startWrite(t, c)
	assert.NilError(t, peer.CloseWrite())
	_, err := io.ReadAll(c)
	assert.NilError(t, err)
	select {
	case err := <-written:
		t.Fatalf("the write has ended: %v", err)
	default:
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	assert.NilError(t, <-written)
}

// A write that ends for its deadline was told nothing of the connection.
func TestDeadlineOfWriteDoesNotBreakConnection(t *testing.T) {
	c, peer := connect(t)
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(150*time.Millisecond)))
	assert.ErrorIs(t, <-startWrite(t, c), os.ErrDeadlineExceeded)
	assert.NilError(t, peer.CloseWrite())
	_, err := io.ReadAll(c)
	assert.NilError(t, err)
}
