package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/platform"
)

// upstreamRestartTime is how long a crashed upstream accepts no connections.
const upstreamRestartTime = 200 * time.Millisecond

// crashCluster is a cluster whose upstream crashes at each request with a certain part in its prompt:
// it closes all connections and, for a while, its port.
type crashCluster struct {
	*cluster
	crashes atomic.Int64
	sent    int
}

func startCrashCluster(t *testing.T) *crashCluster {
	t.Helper()
	c := &crashCluster{cluster: startCluster(t, respondSealed)}
	c.serve(t, "127.0.0.1:0")
	c.applyConfig(t, 1, "a")
	return c
}

// serve starts the upstream at an address and registers it.
func (c *crashCluster) serve(t *testing.T, address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil || t.Context().Err() != nil {
		return // the port is taken by now, or the test has ended
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), "dead:") {
			respondSealed(w, r)
			return
		}
		c.crashes.Add(1)
		_ = server.Close()
		time.AfterFunc(upstreamRestartTime, func() { c.serve(t, listener.Addr().String()) })
		panic(http.ErrAbortHandler)
	})
	context.AfterFunc(t.Context(), func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	if strings.HasSuffix(address, ":0") {
		c.put(t, platform.KindUpstreams, "u1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","born":1}`, listener.Addr()))
	}
}

// start starts an instance that stops at the end of the test, and waits until it serves.
func (c *crashCluster) start(t *testing.T, id string) *instance {
	t.Helper()
	i := c.startInstance(t, id)
	t.Cleanup(func() {
		i.signals <- syscall.SIGTERM
		assert.Check(t, <-i.runErr)
	})
	eventually(t, "instance serves", func() bool { status, _ := i.send("/a/1"); return status == http.StatusOK })
	return i
}

// sendPrompt sends a request of its own content with a shared first part and another part.
func (c *crashCluster) sendPrompt(t *testing.T, i *instance, part string) int {
	t.Helper()
	c.sent++
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/a/%d", i.callersAddress, c.sent), strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Request-Id", fmt.Sprint("r", c.sent))
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("a1:10,%s:10,%x:10", part, 0xf0000+c.sent))
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// crash sends requests that crash the upstream, each after it has had time to start again.
func (c *crashCluster) crash(t *testing.T, count int, instances ...*instance) {
	t.Helper()
	for n := range count {
		assert.Equal(t, c.sendPrompt(t, instances[n%len(instances)], "dead"), http.StatusBadGateway)
		time.Sleep(600 * time.Millisecond)
	}
}

// crashesWhileLearning are needed until instances that have just started block a part.
const crashesWhileLearning = 5

func TestPartThatCrashesUpstreamsIsBlockedAtAllInstances(t *testing.T) {
	c := startCrashCluster(t)
	one, two := c.start(t, "i1"), c.start(t, "i2")
	awaitPeers(t, one, two)
	c.crash(t, crashesWhileLearning, one, two)
	for range 3 {
		assert.Equal(t, c.sendPrompt(t, one, "dead"), http.StatusServiceUnavailable)
		assert.Equal(t, c.sendPrompt(t, two, "dead"), http.StatusServiceUnavailable)
		assert.Equal(t, c.sendPrompt(t, two, "b2"), http.StatusOK)
	}
	assert.Equal(t, c.crashes.Load(), int64(crashesWhileLearning))
}

func TestStartedInstanceBlocksPartThatOthersBlock(t *testing.T) {
	c := startCrashCluster(t)
	one := c.start(t, "i1")
	c.crash(t, crashesWhileLearning, one)
	two := c.start(t, "i2")
	awaitPeers(t, one, two)
	time.Sleep(300 * time.Millisecond) // the first reports
	assert.Equal(t, c.sendPrompt(t, two, "dead"), http.StatusServiceUnavailable)
	assert.Equal(t, c.sendPrompt(t, two, "b2"), http.StatusOK)
	assert.Equal(t, c.crashes.Load(), int64(crashesWhileLearning))
}
