package hangup

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (peer, own *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestCloseIsSeenBehindUnreadBytes(t *testing.T) {
	cases := map[string]struct {
		unread string
		close  func(*net.TCPConn) error
		want   bool
	}{
		"open":             {"", func(*net.TCPConn) error { return nil }, false},
		"open, with bytes": {"GET", func(*net.TCPConn) error { return nil }, false},
		"closed":           {"", (*net.TCPConn).Close, true},
		"closed behind":    {"GET", (*net.TCPConn).Close, true},
		"half closed":      {"GET", (*net.TCPConn).CloseWrite, true},
		"reset": {"GET", func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			peer, own := connect(t)
			_, err := peer.Write([]byte(test.unread))
			assert.NilError(t, err)
			assert.NilError(t, test.close(peer))
			ctx := NewContext(t.Context(), own)
			for end := time.Now().Add(time.Second); test.want && !IsSeen(ctx) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, IsSeen(ctx), test.want)
		})
	}
}

// The check must not wait for a read of the connection that goes on meanwhile, as that of net/http does.
func TestCheckDoesNotWaitForRead(t *testing.T) {
	_, own := connect(t)
	go func() { _, _ = own.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	assert.Assert(t, !IsSeen(NewContext(t.Context(), own)))
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestContextWithoutConnectionIsOpen(t *testing.T) {
	assert.Assert(t, !IsSeen(t.Context()))
	_, own := connect(t)
	assert.NilError(t, own.Close())
	assert.Assert(t, IsSeen(NewContext(t.Context(), own)), "closed by this process")
}

func TestConnectionIsResetOnCloseOnlyIfAsked(t *testing.T) {
	for name, isAsked := range map[string]bool{"asked": true, "not asked": false} {
		t.Run(name, func(t *testing.T) {
			peer, own := connect(t)
			ctx := NewContext(t.Context(), own)
			if isAsked {
				ResetOnClose(ctx)
			}
			assert.NilError(t, own.Close())
			_, err := io.ReadAll(peer)
			assert.Equal(t, errors.Is(err, syscall.ECONNRESET), isAsked, "%v", err)
		})
	}
	ResetOnClose(t.Context()) // carries no connection
}
