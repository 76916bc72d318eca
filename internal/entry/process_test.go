package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/state/bundle"
)

// output collects the standard output and error of a process.
type output struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a running binary.
type process struct {
	command *exec.Cmd
	output  *output
	exited  chan error
}

// buildBinaries builds the entry and the simulated engine and returns their directory.
func buildBinaries(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	build := exec.Command("go", "build", "-o", directory+"/", "savoryweir/cmd/savoryweir-entry", "savoryweir/internal/standin/cmd/engine")
	buildOutput, err := build.CombinedOutput()
	assert.NilError(t, err, string(buildOutput))
	return directory
}

func startProcess(t *testing.T, path string, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(path, args...), output: &output{}, exited: make(chan error, 1)}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	assert.NilError(t, p.command.Start())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.exited <- p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-done
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

func startEngineProcess(t *testing.T, binaries string) (*process, string) {
	t.Helper()
	address := closedAddress(t)
	p := startProcess(t, filepath.Join(binaries, "engine"), "--address="+address, "--models="+testModel, "--step-base=2ms")
	eventually(t, "the engine listens", func() bool { return strings.Contains(p.output.String(), "listens") })
	return p, address
}

func startEntryProcess(t *testing.T, binaries, view string) (*process, *testEntry) {
	t.Helper()
	e := &testEntry{url: closedAddress(t), operations: closedAddress(t)}
	p := startProcess(t, filepath.Join(binaries, "savoryweir-entry"),
		"--instance-id=i1", "--instance-zone=a", "--view-file="+view,
		"--callers-address="+e.url, "--operations-address="+e.operations, "--shutdown-balancer-lag=0s",
		"--upstreams-idle-timeout=300ms", "--upstreams-probe-timeout=300ms", "--upstreams-retry-share=1")
	e.url, e.operations = "http://"+e.url, "http://"+e.operations
	eventually(t, "the entry is ready", func() bool { return e.readiness(t) == http.StatusOK })
	return p, e
}

// deployment consists of two engine processes and two entry processes.
type deployment struct {
	engines        [2]*process
	entryProcesses [2]*process
	entries        [2]*testEntry
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	binaries := buildBinaries(t)
	d := &deployment{}
	data := viewWithUpstreams()
	for i, id := range []bundle.UpstreamID{"e1", "e2"} {
		var address string
		d.engines[i], address = startEngineProcess(t, binaries)
		data.Bundle.Upstreams = append(data.Bundle.Upstreams, bundle.Upstream{ID: id, Service: "tagger", Address: address})
		data.Replicas = append(data.Replicas, Replica{Upstream: id, Model: testModel, Ready: true})
	}
	view := filepath.Join(t.TempDir(), "view.json")
	encoded, err := json.Marshal(data)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(view, encoded, 0o600))
	for i := range d.entries {
		d.entryProcesses[i], d.entries[i] = startEntryProcess(t, binaries, view)
	}
	return d
}

// openStream opens a stream after the offset of got and reads the given number of events.
func (e *testEntry) openStream(t *testing.T, got *streamResult, tokens, events int) *http.Response {
	t.Helper()
	response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody("hello", tokens, true),
		header{httpapi.HeaderRequestID, "r1"}, header{httpapi.HeaderResumeOffset, itoa(got.lastOffset)}))
	assert.NilError(t, err)
	got.attach(response.Body)
	readStream(t, "r1", got, got.lastOffset+events)
	return response
}

// Each case sends a signal to a process while a stream is in progress.
func TestStreamsCompleteWhenProcessesAreSignalled(t *testing.T) {
	const tokens = 400
	t.Run("engine killed", func(t *testing.T) {
		d := startDeployment(t)
		var got streamResult
		response := d.entries[0].openStream(t, &got, tokens, 10)
		defer response.Body.Close()
		d.busyEngine(t).signal(t, syscall.SIGKILL)
		readStream(t, "r1", &got, 1<<20)
		assertCompleteStream(t, got, "hello", tokens)
	})
	t.Run("engine frozen", func(t *testing.T) {
		d := startDeployment(t)
		var got streamResult
		response := d.entries[0].openStream(t, &got, tokens, 10)
		defer response.Body.Close()
		frozen := d.busyEngine(t)
		frozen.signal(t, syscall.SIGSTOP)
		readStream(t, "r1", &got, 1<<20)
		assertCompleteStream(t, got, "hello", tokens)
		frozen.signal(t, syscall.SIGCONT)
	})
	t.Run("entry killed, caller resumes at the other", func(t *testing.T) {
		d := startDeployment(t)
		var got streamResult
		response := d.entries[0].openStream(t, &got, tokens, 10)
		d.entryProcesses[0].signal(t, syscall.SIGKILL)
		readStream(t, "r1", &got, 1<<20)
		assert.Assert(t, !got.complete)
		_ = response.Body.Close()
		response = d.entries[1].openStream(t, &got, tokens, 1<<20)
		defer response.Body.Close()
		assertCompleteStream(t, got, "hello", tokens)
	})
	t.Run("entry terminated", func(t *testing.T) {
		d := startDeployment(t)
		var got streamResult
		response := d.entries[0].openStream(t, &got, tokens, 10)
		defer response.Body.Close()
		d.entryProcesses[0].signal(t, syscall.SIGTERM)
		readStream(t, "r1", &got, 1<<20)
		assertCompleteStream(t, got, "hello", tokens)
		assert.NilError(t, <-d.entryProcesses[0].exited)
	})
	t.Run("entry terminated twice", func(t *testing.T) {
		d := startDeployment(t)
		var got streamResult
		response := d.entries[0].openStream(t, &got, 100_000, 10)
		defer response.Body.Close()
		d.entryProcesses[0].signal(t, syscall.SIGTERM)
		eventually(t, "the shutdown has begun", func() bool {
			return strings.Contains(d.entryProcesses[0].output.String(), "Shutting down; the readiness check fails from now on.")
		})
		d.entryProcesses[0].signal(t, syscall.SIGTERM)
		assert.ErrorContains(t, <-d.entryProcesses[0].exited, "exit status 1")
		assert.Assert(t, strings.Contains(d.entryProcesses[0].output.String(), "Request aborted by shutdown."), d.entryProcesses[0].output.String())
	})
}

// busyEngine returns the engine that has started a request.
func (d *deployment) busyEngine(t *testing.T) *process {
	t.Helper()
	for _, p := range d.engines {
		address := strings.TrimPrefix(p.command.Args[1], "--address=")
		response, err := client.Get("http://" + address + "/admin/started")
		assert.NilError(t, err)
		var text bytes.Buffer
		_, err = text.ReadFrom(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		if strings.TrimSpace(text.String()) != "0" {
			return p
		}
	}
	t.Fatal("no engine has started a request")
	return nil
}
