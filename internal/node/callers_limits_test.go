package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/platform"
)

// callerLimits are the limits of a configuration that the tests change.
type callerLimits struct {
	headerBytes, bodyBytes     int
	headerTimeout, idleTimeout time.Duration
}

var usualLimits = callerLimits{headerBytes: 16 << 10, bodyBytes: 64 << 10, headerTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}

// applyLimits puts a configuration in force at an instance.
func (c *cluster) applyLimits(t *testing.T, i *instance, version uint64, l callerLimits) {
	t.Helper()
	c.put(t, platform.KindConfig, platform.NameConfig, fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"service":"s","maxAttempts":1}],`+
			`"services":[{"name":"s","healthPath":"/h","maxConns":99}],"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d}}`,
		version, l.headerBytes, l.bodyBytes, l.headerTimeout.Milliseconds(), l.idleTimeout.Milliseconds()))
	eventually(t, "the configuration in force", func() bool {
		config := i.node.gateway.Config()
		return config != nil && config.Version == version && i.node.readinessError() == nil
	})
}

// keptConn is a connection on which a caller sends one request after the other.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (i *instance) dialKept() (*keptConn, error) {
	conn, err := net.Dial("tcp4", i.callersAddress)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// isOpen reports whether the instance has left the idle connection open so far.
func (k *keptConn) isOpen() bool {
	_ = k.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := k.reader.Peek(1)
	_ = k.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// send sends a request with further header lines and returns the status of a whole response.
func (k *keptConn) send(path, id string, lines ...string) (int, error) {
	if _, err := fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n%s\r\nx", path, id, strings.Join(lines, "")); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// mustServe sends a request that the upstream has to answer.
func (k *keptConn) mustServe(t *testing.T) {
	t.Helper()
	status, err := k.send("/a/1", "r1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// limitChurn counts what callers saw while the limits changed.
type limitChurn struct {
	t        *testing.T
	instance *instance
	ran      sync.Map     // IDs of the requests that reached the upstream
	idle     atomic.Int64 // idle timeout by which callers reuse their connections
	answered, reused, closedIdle, closedUnderRequest,
	lost atomic.Int64
}

// call sends requests on kept connections until stop is closed.
func (l *limitChurn) call(name int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(name), 1))
	var conn *keptConn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if conn != nil && !conn.isOpen() {
			l.closedIdle.Add(1)
			_ = conn.Close()
			conn = nil
		} else if conn != nil {
			l.reused.Add(1)
		}
		if conn == nil {
			var err error
			if conn, err = l.instance.dialKept(); !assert.Check(l.t, err) {
				return
			}
		}
		path := "/a/1"
		if random.IntN(4) == 0 {
			path = "/a/slow"
		}
		id := fmt.Sprintf("%d-%d", name, n)
		sent := time.Now()
		status, err := conn.send(path, id)
		if err == nil {
			assert.Check(l.t, status == http.StatusOK, "request %s got %d", id, status)
			l.answered.Add(1)
			time.Sleep(time.Duration(random.Int64N(l.idle.Load() * 4 / 5)))
			continue
		}
		_, ran := l.ran.Load(id)
		l.closedUnderRequest.Add(1)
		if ran || time.Since(sent) > 200*time.Millisecond {
			l.lost.Add(1)
			assert.Check(l.t, err, "request %s ended %v after it was sent, run: %v", id, time.Since(sent), ran)
		}
		_ = conn.Close()
		conn = nil
	}
}

// A change of the limits replaces the server for callers. Requests on connections of the
// earlier servers must still be answered once they have been read.
func TestNoRequestReadIsLostWhileLimitsChange(t *testing.T) {
	l := &limitChurn{t: t}
	c := startCluster(t, func(w http.ResponseWriter, r *http.Request) {
		l.ran.Store(r.Header.Get("Request-Id"), true)
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(400 * time.Millisecond)
		}
		respondSealed(w, r)
	})
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	l.instance = i
	idleTimeouts := []time.Duration{300, 1200, 200, 900, 500, 250, 1500}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 16 {
		limits := usualLimits
		limits.idleTimeout = idleTimeouts[n%len(idleTimeouts)] * time.Millisecond
		limits.headerTimeout = time.Duration(200+100*(n%3)) * time.Millisecond
		limits.headerBytes, limits.bodyBytes = 4096<<(n%3), 1024<<(n%4)
		l.idle.Store(min(max(l.idle.Load(), 1), int64(limits.idleTimeout))) // lowered before the change
		c.applyLimits(t, i, uint64(n+1), limits)
		l.idle.Store(int64(limits.idleTimeout))
		if n == 0 {
			for name := range 32 {
				callers.Go(func() { l.call(name, stop) })
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d answered, %d on reused connections; %d connections closed while idle, %d under a request; %d requests lost",
		l.answered.Load(), l.reused.Load(), l.closedIdle.Load(), l.closedUnderRequest.Load(), l.lost.Load())
	assert.Assert(t, l.reused.Load() > 50, "%d reused connections are too few to show anything", l.reused.Load())
}

// A caller reuses its connections by the idle timeout in force. One that was opened under a
// shorter timeout must not close before the time that the caller counts on.
func TestRaisedIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	const short, long = 500 * time.Millisecond, 10 * time.Second
	c := startCluster(t, respondSealed)
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	limits := usualLimits
	limits.idleTimeout = short
	c.applyLimits(t, i, 1, limits)
	unused, err := i.dialKept()
	assert.NilError(t, err)
	idle, err := i.dialKept()
	assert.NilError(t, err)
	idle.mustServe(t)
	raised := *i.node.gateway.Config()
	raised.Version, raised.Limits.IdleTimeout = 2, long
	i.node.gateway.ApplyConfig(&raised) // without the way through the store, which may take longer than short
	unused.mustServe(t)
	time.Sleep(short * 3 / 2)
	assert.Check(t, unused.isOpen(), "closed within %v of its first response", short*3/2)
	assert.Check(t, idle.isOpen(), "closed within %v of the change", short*3/2)
}

// A connection that was opened under a longer idle timeout must not close under a caller that
// reuses it by the shorter one in force.
func TestConnectionsStayOpenForCallersWhenIdleTimeoutIsLowered(t *testing.T) {
	c := startCluster(t, respondSealed)
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	c.applyLimits(t, i, 1, usualLimits)
	conn, err := i.dialKept()
	assert.NilError(t, err)
	limits := usualLimits
	limits.idleTimeout = 500 * time.Millisecond
	c.applyLimits(t, i, 2, limits)
	for range 3 {
		conn.mustServe(t)
		time.Sleep(limits.idleTimeout * 4 / 5)
	}
	assert.Assert(t, conn.isOpen())
}

// A request within the limits in force must not be refused by those of an earlier configuration.
func TestRaisedHeaderLimitAppliesToOpenConnections(t *testing.T) {
	c := startCluster(t, respondSealed)
	i := c.startInstance(t, "i1")
	defer i.terminate(t)
	limits := usualLimits
	limits.headerBytes = 4096
	c.applyLimits(t, i, 1, limits)
	conn, err := i.dialKept()
	assert.NilError(t, err)
	conn.mustServe(t)
	c.applyLimits(t, i, 2, usualLimits)
	status, err := conn.send("/a/1", "r2", "Padding: "+strings.Repeat("x", 14000)+"\r\n")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// The header timeout of the configuration under which the connection was opened ended the request.
func TestRaisedHeaderTimeoutAppliesToOpenConnections(t *testing.T) {
	const short, long = 400 * time.Millisecond, 5 * time.Second
	for name, isUsed := range map[string]bool{"new connection": false, "used connection": true} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, respondSealed)
			i := c.startInstance(t, "i1")
			defer i.terminate(t)
			limits := usualLimits
			limits.headerTimeout = short
			c.applyLimits(t, i, 1, limits)
			conn, err := i.dialKept()
			assert.NilError(t, err)
			if isUsed {
				conn.mustServe(t)
			}
			raised := *i.node.gateway.Config()
			raised.Version, raised.Limits.HeaderTimeout = 2, long
			i.node.gateway.ApplyConfig(&raised) // without the way through the store, which may take longer than short
			_, err = io.WriteString(conn, "POST /a/1 HTTP/1.1\r\nHost: h\r\n")
			assert.NilError(t, err)
			time.Sleep(short * 3 / 2)
			_, err = io.WriteString(conn, "Request-Id: r1\r\nContent-Length: 1\r\n\r\nx")
			assert.NilError(t, err)
			response, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}
