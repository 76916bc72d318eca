package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

const (
	processMemoryMB = 184 // of the smallest instances
	heavyRequests   = 120 // at once
	heavyBodyBytes  = 4 << 20
)

// startProgram builds the program and starts it as a process with the memory limit in its settings.
func (c *cluster) startProgram(t *testing.T, grace string) (i *instance, process *os.Process) {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "savoryweir-node")
	out, err := exec.Command("go", "build", "-o", program, "savoryweir/cmd/savoryweir-node").CombinedOutput()
	assert.NilError(t, err, string(out))
	i = &instance{settingsFile: filepath.Join(folder, "node.ini"), callersAddress: fmt.Sprintf("127.0.0.1:%d", freePort(t))}
	i.writeSettings(t, c, "i1", grace)
	data, err := os.ReadFile(i.settingsFile)
	assert.NilError(t, err)
	text := strings.Replace(string(data), "[bounds]\n", fmt.Sprintf("[bounds]\nmemory-mb = %d\n", processMemoryMB), 1)
	assert.Assert(t, text != string(data))
	assert.NilError(t, os.WriteFile(i.settingsFile, []byte(text), 0o600))
	command := exec.Command(program, "--settings="+i.settingsFile)
	command.Env = append(os.Environ(), "GOMAXPROCS=1") // instances have one core
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return i, command.Process
}

// peakMemoryMB returns the largest resident size of a process so far, 0 if it has ended.
func peakMemoryMB(t *testing.T, p *os.Process) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest + " 0")[0])
	assert.NilError(t, err)
	return kilobytes >> 10
}

// startHeavyUpstream starts an upstream that sends what the path of a request says, without end.
func startHeavyUpstream(t *testing.T) net.Listener {
	t.Helper()
	parts := map[string]string{
		"event": "data: x", "comment": ": x\n", "body": "x", "error": "x", "head": "X-Filler: x\r\n", "informational": "HTTP/1.1 103 X\r\n\r\n", "junk": "x",
	}
	begin := map[string]string{
		"event": "HTTP/1.1 200 X\r\n", "comment": "HTTP/1.1 200 X\r\n", "body": "HTTP/1.1 200 X\r\n", "error": "HTTP/1.1 500 X\r\n", "head": "HTTP/1.1 200 X\r\n",
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		id := "Request-Id: " + r.Header.Get("Request-Id") + "\r\nResponse-Seal: s\r\n"
		if kind == "sound" || parts[kind] == "" {
			respondSealed(w, r)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if begin[kind] != "" {
			_, _ = io.WriteString(conn, begin[kind]+id)
		}
		if kind == "event" || kind == "comment" || kind == "body" || kind == "error" {
			_, _ = io.WriteString(conn, "\r\n")
		}
		filler := strings.Repeat(parts[kind], 32<<10/len(parts[kind]))
		for err == nil {
			_, err = io.WriteString(conn, filler)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// heavyRequest sends a request with a body and reads its response slowly for a while. It returns the status.
func heavyRequest(t *testing.T, i *instance, id, path string, body io.Reader, length int64) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.callersAddress+path, body)
	assert.NilError(t, err)
	r.Host, r.ContentLength = "h", length
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(500 * time.Millisecond) // a slow caller
	_, _ = io.CopyN(io.Discard, response.Body, 64<<10)
	return response.StatusCode
}

// Faulty upstreams send bytes without end, and callers send large bodies, many at once. The process kept them all
// and ran out of memory, which ended the requests of all other callers.
func TestMemoryIsBoundedOverAllRequests(t *testing.T) {
	c := startCluster(t, respondSealed)
	heavy := startHeavyUpstream(t)
	for _, service := range []string{"s", "streams"} {
		for n := range 3 {
			c.put(t, platform.KindUpstreams, object.Name(fmt.Sprint(service, "-heavy", n)), fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":64,"state":"ready","born":1}`, service, heavy.Addr().String()))
		}
	}
	c.put(t, platform.KindConfig, platform.NameConfig, `{"version":1,"routes":[`+
		`{"name":"a","host":"h","pathPrefix":"/stream/","kind":"stream","resumable":true,"timeoutMs":4000,"targetLatencyMs":1000,"gapAimMs":1000,"service":"streams","maxAttempts":2},`+
		`{"name":"b","host":"h","pathPrefix":"/order/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":1000,"service":"s","maxAttempts":2}],`+
		`"services":[{"name":"s","healthPath":"/h","maxConns":400},{"name":"streams","healthPath":"/h","maxConns":400}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	i, process := c.startProgram(t, "8s")
	eventually(t, "a served request", func() bool { return heavyRequest(t, i, "first", "/order/sound", nil, 0) == http.StatusOK })
	paths := []string{"/stream/event", "/stream/comment", "/stream/error", "/stream/head", "/stream/junk", "/order/body", "/order/error", "/order/informational", "/order/sound"}
	for _, path := range paths {
		var group sync.WaitGroup
		var served atomic.Int64
		for n := range heavyRequests {
			group.Go(func() {
				if path == "/order/sound" {
					heavyRequest(t, i, fmt.Sprint(path, n), path, io.LimitReader(filler{}, heavyBodyBytes), heavyBodyBytes)
					return
				}
				heavyRequest(t, i, fmt.Sprint(path, n), path, nil, 0)
			})
		}
		const sound = 20
		for n := range sound {
			group.Go(func() {
				if heavyRequest(t, i, fmt.Sprint(path, "sound", n), "/order/sound", nil, 0) == http.StatusOK {
					served.Add(1)
				}
			})
		}
		group.Wait()
		assert.NilError(t, process.Signal(syscall.Signal(0)), "the process has ended")
		peak := peakMemoryMB(t, process)
		t.Logf("%s: peak %d MB, %d of %d sound requests served beside", path, peak, served.Load(), sound)
		assert.Check(t, peak < processMemoryMB, "%s: %d MB", path, peak)
		assert.Check(t, served.Load() >= sound/2, "%s: %d of %d sound requests were served", path, served.Load(), sound)
	}
}

// filler is an endless body.
type filler struct{}

// Read implements io.Reader.
func (filler) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = 'x'
	}
	return len(p), nil
}
