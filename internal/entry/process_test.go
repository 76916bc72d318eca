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

// output collects what a process writes.
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

// process is a started binary.
type process struct {
	command *exec.Cmd
	output  *output
	exited  chan error
}

func buildBinaries(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	build := exec.Command("go", "build", "-o", directory+"/", "savoryweir/cmd/savoryweir-entry", "savoryweir/internal/standin/cmd/engine")
	text, err := build.CombinedOutput()
	assert.NilError(t, err, string(text))
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

// processes is one deployment of two engines and two entries.
type processes struct {
	engines [2]*process
	running [2]*process
	entries [2]*testEntry
}

func startProcesses(t *testing.T) *processes {
	t.Helper()
	binaries := buildBinaries(t)
	d := &processes{}
	data := viewOf()
	for i, id := range []bundle.UpstreamID{"e1", "e2"} {
		var address string
		d.engines[i], address = startEngineProcess(t, binaries)
		data.Bundle.Upstreams = append(data.Bundle.Upstreams, bundle.Upstream{ID: id, Service: "tagger", Address: address})
		data.Replicas = append(data.Replicas, Replica{Upstream: id, Model: testModel, Ready: true})
	}
	view := filepath.Join(t.TempDir(), "view.json")
	text, err := json.Marshal(data)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(view, text, 0o600))
	for i := range d.entries {
		d.running[i], d.entries[i] = startEntryProcess(t, binaries, view)
	}
	return d
}

// begin opens a stream and reads its first events.
func (e *testEntry) begin(t *testing.T, got *streamed, tokens, first int) *http.Response {
	t.Helper()
	response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody("hello", tokens, true),
		header{httpapi.HeaderRequestID, "r1"}, header{httpapi.HeaderResumeOffset, itoa(got.last)}))
	assert.NilError(t, err)
	got.open(response.Body)
	readStream(t, "r1", got, got.last+first)
	return response
}

// Each case does something to a process while a stream is in progress.
func TestStreamsSurviveSignalsToProcesses(t *testing.T) {
	const tokens = 400
	t.Run("engine killed", func(t *testing.T) {
		d := startProcesses(t)
		var got streamed
		response := d.entries[0].begin(t, &got, tokens, 10)
		defer response.Body.Close()
		d.busyEngine(t).signal(t, syscall.SIGKILL)
		readStream(t, "r1", &got, 1<<20)
		assertWhole(t, got, "hello", tokens)
	})
	t.Run("engine frozen", func(t *testing.T) {
		d := startProcesses(t)
		var got streamed
		response := d.entries[0].begin(t, &got, tokens, 10)
		defer response.Body.Close()
		frozen := d.busyEngine(t)
		frozen.signal(t, syscall.SIGSTOP)
		readStream(t, "r1", &got, 1<<20)
		assertWhole(t, got, "hello", tokens)
		frozen.signal(t, syscall.SIGCONT)
	})
	t.Run("entry killed, caller goes to the other", func(t *testing.T) {
		d := startProcesses(t)
		var got streamed
		response := d.entries[0].begin(t, &got, tokens, 10)
		d.running[0].signal(t, syscall.SIGKILL)
		readStream(t, "r1", &got, 1<<20)
		assert.Assert(t, !got.ended)
		_ = response.Body.Close()
		response = d.entries[1].begin(t, &got, tokens, 1<<20)
		defer response.Body.Close()
		assertWhole(t, got, "hello", tokens)
	})
	t.Run("entry told to stop", func(t *testing.T) {
		d := startProcesses(t)
		var got streamed
		response := d.entries[0].begin(t, &got, tokens, 10)
		defer response.Body.Close()
		d.running[0].signal(t, syscall.SIGTERM)
		readStream(t, "r1", &got, 1<<20)
		assertWhole(t, got, "hello", tokens)
		assert.NilError(t, <-d.running[0].exited)
	})
	t.Run("entry told to stop twice", func(t *testing.T) {
		d := startProcesses(t)
		var got streamed
		response := d.entries[0].begin(t, &got, 100_000, 10)
		defer response.Body.Close()
		d.running[0].signal(t, syscall.SIGTERM)
		eventually(t, "it stops", func() bool { return strings.Contains(d.running[0].output.String(), "Readiness is gone") })
		d.running[0].signal(t, syscall.SIGTERM)
		assert.ErrorContains(t, <-d.running[0].exited, "exit status 1")
		assert.Assert(t, strings.Contains(d.running[0].output.String(), "Request cut."), d.running[0].output.String())
	})
}

// busyEngine returns the engine that runs a request.
func (d *processes) busyEngine(t *testing.T) *process {
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
	t.Fatal("no engine is busy")
	return nil
}
