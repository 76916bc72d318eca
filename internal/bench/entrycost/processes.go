// Package entrycost measures what the entry process adds to requests: time,
// processor time for streamed tokens, and memory for open streams.
package entrycost

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"savoryweir/internal/entry"
	"savoryweir/internal/state/bundle"
)

const (
	model           = "small"
	engineService   = "tagger"
	plainService    = "booking"
	engineUpstreams = 200 // names of the one engine, so that no limit towards an upstream binds
	startTimeout    = 10 * time.Second
)

var errNotStarted = errors.New("the process did not start in time")

// deployment is one entry before one engine and one plain service.
type deployment struct {
	directory                            string
	commands                             []*exec.Cmd
	engine, service, callers, operations string
	entryPID                             int
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startDeployment starts the binaries of a folder. Step is the time of an engine's step.
func startDeployment(binaries string, step time.Duration) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.directory, err = os.MkdirTemp("", "entrycost"); err != nil {
		return d, err
	}
	for _, address := range []*string{&d.engine, &d.service, &d.callers, &d.operations} {
		if *address, err = freeAddress(); err != nil {
			return d, err
		}
	}
	view, err := d.writeView()
	if err != nil {
		return d, err
	}
	err = errors.Join(
		d.start(filepath.Join(binaries, "engine"), "--address="+d.engine, "--models="+model, "--max-batch=4096",
			"--step-base="+step.String(), "--step-per-run=0s", "--prefill=0s"),
		d.start(filepath.Join(binaries, "service"), "--address="+d.service),
		d.start(filepath.Join(binaries, "savoryweir-entry"), "--instance-id=i1", "--instance-zone=a", "--view-file="+view,
			"--callers-address="+d.callers, "--operations-address="+d.operations, "--upstreams-idle-timeout=60s",
			"--upstreams-first-byte-timeout=60s", "--queue-length=4096", "--queue-max-wait=60s"),
	)
	if err != nil {
		return d, err
	}
	d.entryPID = d.commands[len(d.commands)-1].Process.Pid
	return d, d.waitReady()
}

func (d *deployment) writeView() (string, error) {
	data := entry.ViewData{Bundle: bundle.Bundle{
		Generation: 1,
		Services:   []bundle.Service{{Name: engineService, Kind: bundle.KindGeneration}, {Name: plainService, Kind: bundle.KindPlain}},
		Models:     []bundle.Model{{ID: model, Service: engineService}},
		Upstreams:  []bundle.Upstream{{ID: "s1", Service: plainService, Address: d.service}},
	}}
	for i := range engineUpstreams {
		id := bundle.UpstreamID(fmt.Sprintf("e%d", i))
		data.Bundle.Upstreams = append(data.Bundle.Upstreams, bundle.Upstream{ID: id, Service: engineService, Address: d.engine})
		data.Replicas = append(data.Replicas, entry.Replica{Upstream: id, Model: model, Ready: true})
	}
	text, err := json.Marshal(data)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.directory, "view.json")
	return path, os.WriteFile(path, text, 0o600)
}

func (d *deployment) start(program string, args ...string) error {
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	d.commands = append(d.commands, command)
	return nil
}

func (d *deployment) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isUp("http://"+d.operations+"/readyz") && isUp("http://"+d.engine+"/healthz") && isUp("http://"+d.service+"/healthz") {
			return nil
		}
	}
	return errNotStarted
}

func isUp(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) stop() {
	for _, command := range d.commands {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait() // reports the kill
	}
	_ = os.RemoveAll(d.directory)
}

// ticksPerSecond is the unit of processor times in /proc on all supported machines.
const ticksPerSecond = 100

// entryCPU returns the processor time that the entry has used.
func (d *deployment) entryCPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.entryPID))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

// gauge returns one value of the entry's metrics.
func (d *deployment) gauge(name string) (float64, error) {
	response, err := http.Get("http://" + d.operations + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("no metric %s", name)
}
