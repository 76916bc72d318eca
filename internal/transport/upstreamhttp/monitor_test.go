package upstreamhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testPing = 100 * time.Millisecond

// cuttablePath forwards connections to a server. It can drop the bytes of the connections that
// are open, as a path does that has forgotten them.
type cuttablePath struct {
	address string
	opened  atomic.Int32 // connections so far

	mu    sync.Mutex
	links []*atomic.Bool // whether the bytes of a connection are dropped
}

func startCuttablePath(t *testing.T, target string) *cuttablePath {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &cuttablePath{address: listener.Addr().String()}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			p.opened.Add(1)
			dropped := new(atomic.Bool)
			p.mu.Lock()
			p.links = append(p.links, dropped)
			p.mu.Unlock()
			go forward(far, near, dropped)
			go forward(near, far, dropped)
		}
	}()
	return p
}

func forward(to, from net.Conn, dropped *atomic.Bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if dropped.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// forgetConnections drops the bytes of all connections that are open, from now on.
func (p *cuttablePath) forgetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, dropped := range p.links {
		dropped.Store(true)
	}
}

// startH2Server starts a server that answers /slow when release is closed, and all other paths at once.
func startH2Server(t *testing.T) (address string, release chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release = make(chan struct{})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), release
}

func newMonitoredClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(Settings{Protocol: ProtocolH2C, ConnectTimeout: time.Second, PingAfter: testPing, PingTimeout: testPing})
	t.Cleanup(client.CloseIdle)
	return client
}

func get(c *Client, address, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, _, err := c.Do(ctx, Request{Method: http.MethodGet, Address: address, Path: path, Header: make(http.Header)})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// The path to an upstream forgets a connection. It must be found by the pings, since all further
// requests would be sent on it.
func TestDeadHTTP2ConnectionIsClosedWhileUpstreamAnswers(t *testing.T) {
	address, release := startH2Server(t)
	defer close(release)
	path := startCuttablePath(t, address)
	client := newMonitoredClient(t)
	assert.NilError(t, get(client, path.address, "/"))
	path.forgetConnections()
	err := get(client, path.address, "/slow")
	assert.ErrorContains(t, err, "use of closed network connection")
	assert.NilError(t, get(client, path.address, "/"))
}

// An answer that takes long is no silence of the connection, since its pings are answered.
func TestHTTP2ConnectionOfSlowAnswerIsKept(t *testing.T) {
	address, release := startH2Server(t)
	path := startCuttablePath(t, address)
	client := newMonitoredClient(t)
	time.AfterFunc(10*testPing, func() { close(release) })
	assert.NilError(t, get(client, path.address, "/slow"))
	assert.Equal(t, path.opened.Load(), int32(1), "no probe is needed")
}

// A sentinel connection carries nothing, and must not be taken for dead.
func TestSilentSentinelOverHTTP2IsKept(t *testing.T) {
	address, release := startH2Server(t)
	defer close(release)
	client := newMonitoredClient(t)
	sentinel, err := client.OpenSentinel(t.Context(), address)
	assert.NilError(t, err)
	defer sentinel.Close()
	select {
	case <-sentinel.Broken():
		t.Fatal("sentinel broke while the upstream was running")
	case <-time.After(10 * testPing):
	}
}
