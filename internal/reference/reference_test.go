package reference_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryweir/internal/control"
	"savoryweir/internal/ctl"
	"savoryweir/internal/entry"
	"savoryweir/internal/node"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/reference"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/approval"
)

const (
	entryName   = "savoryweir-entry"
	controlName = "savoryweir-control"
	nodeName    = "savoryweir-node"
	ctlName     = "savoryweirctl"
	anyPort     = "127.0.0.1:0"
)

// page is the absolute path of an operators' page, so that golden leaves it as it is.
func page(t *testing.T, name string) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", "..", "docs", "operators", name))
	assert.NilError(t, err)
	return path
}

func describe(t *testing.T, name string, target any) reference.Program {
	t.Helper()
	program, err := reference.Describe(name, target)
	assert.NilError(t, err)
	return program
}

func TestSettingsPageMatchesTheCode(t *testing.T) {
	programs := []reference.Program{
		describe(t, entryName, &entry.Settings{}),
		describe(t, controlName, &control.Settings{}),
		describe(t, nodeName, &node.Settings{}),
		describe(t, ctlName, &ctl.CommandLine{}),
	}
	golden.Assert(t, reference.SettingsPage(programs), page(t, "SETTINGS.md"))
}

func TestMetricsPageMatchesTheCode(t *testing.T) {
	parts := []reference.Part{
		{Process: entryName, Metrics: metricsOf(t, newEntry(t))},
		{Process: controlName, Metrics: metricsOf(t, newControl(t))},
		{Process: nodeName, Metrics: metricsOf(t, telemetry.New(func() uint64 { return 0 }).Registry)},
	}
	text, err := reference.MetricsPage(parts, reference.Advices())
	assert.NilError(t, err)
	golden.Assert(t, text, page(t, "METRICS.md"))
}

func metricsOf(t *testing.T, process reference.Describer) []reference.Metric {
	t.Helper()
	metrics, err := reference.Metrics(process)
	assert.NilError(t, err)
	return metrics
}

// parse fills target with its defaults.
func parse(t *testing.T, target any) {
	t.Helper()
	_, err := settings.Parse(settings.Program{Name: "test"}, target, []string{"--instance-id=a1", "--instance-zone=a"})
	assert.NilError(t, err)
}

func newEntry(t *testing.T) *entry.Server {
	t.Helper()
	var s entry.Settings
	parse(t, &s)
	server, err := entry.New(s, entry.Dependencies{
		Views: entry.StaticSource{}, Claims: entry.NoClaims{}, Log: zerolog.Nop(),
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func newControl(t *testing.T) *control.Process {
	t.Helper()
	var s control.Settings
	parse(t, &s)
	s.Bundles.TrustedKeys = trustedKeys(t)
	s.Peers.Port = 0
	s.Local.Address, s.Operations.Address = anyPort, anyPort
	process, err := control.New(s, zerolog.Nop())
	assert.NilError(t, err)
	t.Cleanup(func() {
		ended, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
		defer cancel()
		_ = process.Run(ended) // closes the ports
	})
	return process
}

func trustedKeys(t *testing.T) string {
	t.Helper()
	_, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	key := approval.Key{Operator: "anna", Private: private}
	text := fmt.Sprintf("[policy]\ndeployment = test\nrequired-signatures = 1\n%s", approvalfile.EncodeTrustedKey(key))
	path := filepath.Join(t.TempDir(), "trusted.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// sample has one setting with all tags, to show what a page says of it.
type sample struct {
	Queue struct {
		MaxWait time.Duration `help:"Longest wait." default:"5s" min:"0s" max:"10m"`
	} `embed:"" prefix:"queue-"`
}

func TestSettingIsDescribedByItsTags(t *testing.T) {
	program := describe(t, "sample", &sample{})
	want := reference.Setting{
		Section: "queue", Key: "max-wait", Type: "duration", Range: "0s to 10m", Default: "5s", Description: "Longest wait.",
	}
	assert.Equal(t, program.Settings[len(program.Settings)-1], want)
}

func TestMetricsAndAdviceMustMatch(t *testing.T) {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savoryweir_x_total", Help: "Things."}, []string{"a", "b"})
	metrics := metricsOf(t, vector)
	assert.DeepEqual(t, metrics, []reference.Metric{{Name: "savoryweir_x_total", Labels: []string{"a", "b"}, Meaning: "Things."}})
	parts := []reference.Part{{Process: "p", Metrics: metrics}}
	_, err := reference.MetricsPage(parts, nil)
	assert.ErrorContains(t, err, "has no advice")
	_, err = reference.MetricsPage(nil, []reference.Advice{{Metric: "savoryweir_gone", Text: "Look."}})
	assert.ErrorContains(t, err, "which no process has")
}
