package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxExcess is how far above the limit the head of a request may be before it must be refused.
const maxExcess = 8 << 10

// headOfSize returns a request whose head has the given size in bytes.
func headOfSize(size int) string {
	const start = "POST /a/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\nPadding: "
	const end = "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end + "x"
}

// readStatus reads a whole response and returns its status.
func (k *keptConn) readStatus() (int, error) {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (k *keptConn) mustRead(t *testing.T, status int) {
	t.Helper()
	assert.NilError(t, k.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, err := k.readStatus()
	assert.NilError(t, err)
	assert.Equal(t, got, status)
}

func (k *keptConn) mustWrite(t *testing.T, data string) {
	t.Helper()
	_, err := io.WriteString(k, data)
	assert.NilError(t, err)
}

// mustBeRefused checks that the instance refuses the head that was sent and ends the connection.
func (k *keptConn) mustBeRefused(t *testing.T) {
	t.Helper()
	assert.NilError(t, k.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(k.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Assert(t, response.Close, "the response doesn't announce the end of the connection")
	_, err = io.Copy(io.Discard, k.reader)
	assert.NilError(t, err)
}

func (i *instance) mustDial(t *testing.T) *keptConn {
	t.Helper()
	conn, err := i.dialKept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// startInstanceWithLimits starts an instance with limits in force.
func startInstanceWithLimits(t *testing.T, l callerLimits) (*cluster, *instance) {
	t.Helper()
	c := startCluster(t, respondSealed)
	i := c.startInstance(t, "i1")
	t.Cleanup(func() { i.terminate(t) })
	c.applyLimits(t, i, 1, l)
	return c, i
}

// A head of exactly the limit must be served on new and on kept connections, and one well beyond
// it must be refused on both.
func TestHeadIsServedUpToHeaderLimitAndRefusedWellBeyond(t *testing.T) {
	limits := usualLimits
	limits.headerBytes = 4096
	_, i := startInstanceWithLimits(t, limits)
	conn := i.mustDial(t)
	for range 20 { // heads before this one must not count
		conn.mustWrite(t, headOfSize(limits.headerBytes))
		conn.mustRead(t, http.StatusOK)
	}
	for _, kept := range []bool{false, true} {
		conn := i.mustDial(t)
		if kept {
			conn.mustServe(t)
		}
		conn.mustWrite(t, headOfSize(limits.headerBytes+maxExcess+1))
		conn.mustBeRefused(t)
	}
}

// A head that has no end must be refused although it comes slowly, before its header timeout.
func TestEndlessHeadIsRefused(t *testing.T) {
	limits := usualLimits
	limits.headerBytes, limits.headerTimeout = 4096, time.Minute
	_, i := startInstanceWithLimits(t, limits)
	for _, piece := range []int{300, 4096, 64 << 10} {
		for _, kept := range []bool{false, true} {
			conn := i.mustDial(t)
			if kept {
				conn.mustServe(t)
			}
			conn.mustWrite(t, "POST /a/1 HTTP/1.1\r\nHost: h\r\n")
			for sent := 0; sent <= limits.headerBytes+maxExcess; sent += piece {
				conn.mustWrite(t, "Padding: "+strings.Repeat("x", piece)+"\r\n")
				time.Sleep(time.Millisecond)
			}
			conn.mustBeRefused(t)
		}
	}
}

// Heads that are sent before the earlier response has been read are each judged by their own size.
func TestHeaderLimitAppliesToEachPipelinedHead(t *testing.T) {
	limits := usualLimits
	limits.headerBytes = 4096
	_, i := startInstanceWithLimits(t, limits)
	whole, small := headOfSize(limits.headerBytes), headOfSize(200)
	conn := i.mustDial(t)
	conn.mustWrite(t, strings.Repeat(whole, 8)+strings.Repeat(small+whole, 4)+small+headOfSize(limits.headerBytes+2*maxExcess))
	for range 17 {
		conn.mustRead(t, http.StatusOK)
	}
	conn.mustBeRefused(t)
}

// A body does not count as part of a head, neither its own nor that of the request before.
func TestBodiesDoNotCountTowardHeaderLimit(t *testing.T) {
	limits := usualLimits
	limits.headerBytes = 4096
	_, i := startInstanceWithLimits(t, limits)
	conn := i.mustDial(t)
	for range 3 {
		body := strings.Repeat("x", limits.bodyBytes)
		conn.mustWrite(t, fmt.Sprintf("POST /a/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		conn.mustRead(t, http.StatusOK)
		conn.mustWrite(t, headOfSize(limits.headerBytes))
		conn.mustRead(t, http.StatusOK)
	}
}

// A head that was begun under a smaller limit may use the one in force while it is read.
func TestRaisedHeaderLimitAppliesToHeadThatIsBeingRead(t *testing.T) {
	limits := usualLimits
	limits.headerBytes = 4096
	c, i := startInstanceWithLimits(t, limits)
	fresh, kept := i.mustDial(t), i.mustDial(t)
	kept.mustServe(t)
	head := headOfSize(usualLimits.headerBytes)
	for _, conn := range []*keptConn{fresh, kept} {
		conn.mustWrite(t, head[:2000])
	}
	c.applyLimits(t, i, 2, usualLimits)
	for _, conn := range []*keptConn{fresh, kept} {
		conn.mustWrite(t, head[2000:])
		conn.mustRead(t, http.StatusOK)
	}
}

// A lowered limit must apply to open connections too, else each keeps the memory of the former one.
func TestLoweredHeaderLimitAppliesToOpenConnections(t *testing.T) {
	limits := usualLimits
	limits.headerTimeout = 200 * time.Millisecond
	c, i := startInstanceWithLimits(t, limits)
	conn := i.mustDial(t)
	conn.mustServe(t)
	limits.headerBytes = 4096
	c.applyLimits(t, i, 2, limits)
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		conn.mustWrite(t, headOfSize(usualLimits.headerBytes))
		status, err := conn.readStatus()
		assert.NilError(t, err)
		if status == http.StatusRequestHeaderFieldsTooLarge {
			conn = i.mustDial(t)
			conn.mustWrite(t, headOfSize(limits.headerBytes))
			conn.mustRead(t, http.StatusOK)
			return
		}
		assert.Equal(t, status, http.StatusOK)
	}
	t.Fatal("the former limit still applied 5 s after the change")
}

// Heads within the former limit that were sent just before it was lowered may be read after the
// change, also on connections that are accepted after it.
func TestHeadSentBeforeHeaderLimitIsLoweredIsServed(t *testing.T) {
	c, i := startInstanceWithLimits(t, usualLimits)
	begun, idle, keptBegun := i.mustDial(t), i.mustDial(t), i.mustDial(t)
	idle.mustServe(t)
	keptBegun.mustServe(t)
	head := headOfSize(usualLimits.headerBytes)
	begun.mustWrite(t, head[:100])
	keptBegun.mustWrite(t, head[:8000])
	lowered := usualLimits
	lowered.headerBytes = 4096
	c.applyLimits(t, i, 2, lowered)
	accepted := i.mustDial(t)
	begun.mustWrite(t, head[100:])
	keptBegun.mustWrite(t, head[8000:])
	idle.mustWrite(t, head)
	accepted.mustWrite(t, head)
	for _, conn := range []*keptConn{begun, keptBegun, idle, accepted} {
		conn.mustRead(t, http.StatusOK)
	}
}

// Callers that stay within the limit in force must never be refused while the limit changes.
func TestNoHeadWithinLimitIsRefusedWhileHeaderLimitChanges(t *testing.T) {
	c, i := startInstanceWithLimits(t, usualLimits)
	var allowed, served, refused atomic.Int64
	allowed.Store(int64(usualLimits.headerBytes))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 32 {
		callers.Go(func() {
			conn, err := i.dialKept()
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = conn.Close() }()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(conn, headOfSize(int(allowed.Load()))); !assert.Check(t, err) {
					return
				}
				status, err := conn.readStatus()
				if status != http.StatusOK {
					refused.Add(1)
					assert.Check(t, err)
					return
				}
				served.Add(1)
			}
		})
	}
	sizes := []int{4096, 8192, 16384, 6000, 32768, 5000}
	for n := range 12 {
		limits := usualLimits
		limits.headerBytes = sizes[n%len(sizes)]
		c.applyLimits(t, i, uint64(n+2), limits)
		allowed.Store(int64(limits.headerBytes)) // callers use a raised limit after the change and a lowered one not before it
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d requests served, %d refused", served.Load(), refused.Load())
	assert.Equal(t, refused.Load(), int64(0))
	assert.Assert(t, served.Load() > 100, "%d requests are too few to show anything", served.Load())
}

// An endless head must not take more memory than the limit in force, also when that is lowered.
func TestEndlessHeadIsReadUpToHeaderLimitInForceOnly(t *testing.T) {
	for name, test := range map[string]struct{ begin, end, want int }{
		"unchanged":                  {20000, 20000, 20000 + headerSlop},
		"raised":                     {4096, 20000, 20000 + headerSlop},
		"lowered":                    {20000, 12000, 12000 + headerSlop},
		"lowered below what is read": {20000, 2000, 10000},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp4", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = caller.Close() }()
			accepted, err := l.Accept()
			assert.NilError(t, err)
			limit := test.begin
			conn := &callerConn{TCPConn: accepted.(*net.TCPConn), headerLimit: func() int { return limit }, idleTimeout: func() time.Duration { return time.Minute }, readsHead: true}
			defer func() { _ = conn.Close() }()
			_, err = caller.Write(make([]byte, 64<<10))
			assert.NilError(t, err)
			read, err := io.ReadFull(conn, make([]byte, min(10000, test.begin)))
			assert.NilError(t, err)
			limit = test.end
			rest, err := io.ReadAll(conn)
			assert.ErrorIs(t, err, errHeadTooLarge)
			assert.Equal(t, read+len(rest), test.want)
		})
	}
}

// A caller that takes as long for a head as the header timeout in force allows must not be cut
// by a shorter one of an earlier configuration.
func TestSlowHeadIsReadWithinRaisedHeaderTimeout(t *testing.T) {
	const short = 300 * time.Millisecond
	limits := usualLimits
	limits.headerTimeout = short
	c, i := startInstanceWithLimits(t, limits)
	conn := i.mustDial(t)
	conn.mustServe(t)
	c.applyLimits(t, i, 2, usualLimits)
	head := headOfSize(500)
	conn.mustWrite(t, head[:200])
	time.Sleep(2 * short)
	conn.mustWrite(t, head[200:])
	conn.mustRead(t, http.StatusOK)
}

// A head that stops coming must still be cut at the header timeout.
func TestConnectionOfUnfinishedHeadEndsAtHeaderTimeout(t *testing.T) {
	limits := usualLimits
	limits.headerTimeout = 300 * time.Millisecond
	_, i := startInstanceWithLimits(t, limits)
	fresh, silent, kept := i.mustDial(t), i.mustDial(t), i.mustDial(t)
	kept.mustServe(t)
	fresh.mustWrite(t, headOfSize(500)[:200])
	kept.mustWrite(t, headOfSize(500)[:200])
	for _, conn := range []*keptConn{fresh, silent, kept} {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, err := io.Copy(io.Discard, conn.reader)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(0))
	}
}
